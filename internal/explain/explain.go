// Package explain tells the story of one request from the logs of boxes.
package explain

import (
	"bufio"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"slices"
	"strings"
	"time"

	"github.com/linetiller/linetiller/internal/event"
)

// Line is one line of a log, with the fields that a story needs.
type Line struct {
	Box     string         `json:"box"`
	Event   int            `json:"event"`
	Fields  map[string]any `json:"fields,omitempty"` // all others
	Message string         `json:"msg"`
	Request string         `json:"request,omitempty"`
	Time    time.Time      `json:"time"`
}

// Step is one step of a story.
type Step struct {
	After time.Duration `json:"afterNanoseconds"` // since the first step
	Box   string        `json:"box"`
	Event int           `json:"event"`
	Text  string        `json:"text"`
	Time  time.Time     `json:"time"`
}

// Story is what became of one request.
type Story struct {
	Cause   string `json:"cause"` // of its end, in one sentence
	Request string `json:"request"`
	Steps   []Step `json:"steps"`
}

// ErrUnknown says that no line tells of the request.
var ErrUnknown = errors.New("no line tells of the request")

const maxLineBytes = 1 << 20

// Read reads the lines of a log that tell of a request, or of what a box believed.
// Lines that are no JSON, and what stands before the first brace of a line, are
// passed over.
func Read(r io.Reader) ([]Line, error) {
	var l []Line
	s := bufio.NewScanner(r)
	s.Buffer(nil, maxLineBytes)
	for s.Scan() {
		b := s.Bytes()
		i := slices.Index(b, '{')
		if i < 0 {
			continue
		}
		m := make(map[string]any)
		if json.Unmarshal(b[i:], &m) != nil {
			continue
		}
		l = append(l, lineOf(m))
	}
	return l, s.Err()
}

// Tell tells the story of a request from the lines of all boxes.
func Tell(lines []Line, request string) (*Story, error) {
	var own []Line
	for _, x := range lines {
		if x.Request == request {
			own = append(own, x)
		}
	}
	if len(own) == 0 {
		return nil, ErrUnknown
	}
	slices.SortStableFunc(own, func(a, b Line) int { return a.Time.Compare(b.Time) })
	s := &Story{Request: request}
	first := own[0].Time
	for _, x := range own {
		s.Steps = append(s.Steps, Step{After: x.Time.Sub(first), Box: x.Box, Event: x.Event, Text: textOf(&x), Time: x.Time})
	}
	s.Cause = causeOf(own, lines)
	return s, nil
}

// String returns the story in plain words, a step a line.
func (s *Story) String() string {
	var b strings.Builder
	_, _ = fmt.Fprintf(&b, "request %s\n", s.Request)
	for _, x := range s.Steps {
		_, _ = fmt.Fprintf(&b, "  %8.3f s  %s: %s\n", x.After.Seconds(), x.Box, x.Text)
	}
	_, _ = fmt.Fprintf(&b, "cause: %s\n", s.Cause)
	return b.String()
}

// about returns the last line before a time that tells of an upstream leaving.
func about(lines []Line, upstream string, before time.Time) *Line {
	var best *Line
	for i := range lines {
		x := &lines[i]
		if x.Event != event.UpstreamLeaving.Number && x.Event != event.LeavingHeard.Number && x.Event != event.UpstreamLapsed.Number {
			continue
		}
		if x.text("upstream") == upstream && !x.Time.After(before) && (best == nil || x.Time.After(best.Time)) {
			best = x
		}
	}
	return best
}

// causeOf tells why a request ended as it did.
func causeOf(own, all []Line) string {
	end := endOf(own)
	if end == nil {
		return "its end is not in these logs: the box that held it may have been lost, or the logs are not whole"
	}
	switch end.Event {
	case event.RequestFinished.Number:
		return finishedCause(own, end)
	case event.CallerGone.Number:
		return fmt.Sprintf("the caller left after %s ms", end.text("took_ms"))
	case event.RequestRefused.Number:
		return fmt.Sprintf("it was refused and did not run: %s (%s at %s)", reasonText(end.text("reason")), end.text("step"), end.text("peer"))
	}
	c := fmt.Sprintf("%s (%s at %s)", reasonText(end.text("reason")), end.text("step"), end.text("peer"))
	if x := about(all, end.text("upstream"), end.Time); x != nil {
		c += fmt.Sprintf("; %s had given notice %.3f s before", end.text("upstream"), end.Time.Sub(x.Time).Seconds())
	} else if strings.HasPrefix(end.text("reason"), "stream_") {
		c += "; no notice of its upstream's leaving was heard"
	}
	return c
}

// endOf returns the line that tells how a request ended, or nil.
func endOf(own []Line) *Line {
	for i := len(own) - 1; i >= 0; i-- {
		switch own[i].Event {
		case event.RequestFinished.Number, event.RequestRefused.Number, event.RequestInterrupted.Number, event.CallerGone.Number:
			return &own[i]
		}
	}
	return nil
}

// finishedCause tells what made a request that was answered late, where something did.
func finishedCause(own []Line, end *Line) string {
	c := fmt.Sprintf("it was answered with status %s after %s ms", end.text("status"), end.text("took_ms"))
	for i := range own {
		x := &own[i]
		switch {
		case x.Event == event.RequestPlaced.Number && x.number("waited_ms") >= longWait:
			c += fmt.Sprintf("; it had waited %s ms for a place at %s", x.text("waited_ms"), x.text("upstream"))
		case x.Event == event.MoveDone.Number:
			c += fmt.Sprintf("; it paused %s ms as it moved from %s to %s", x.text("pause_ms"), x.text("from"), x.text("to"))
		}
	}
	return c
}

// longWait is from how many milliseconds on the wait for a place is worth a word.
const longWait = 100

// lineOf takes the fields that every line has out of m.
func lineOf(m map[string]any) Line {
	x := Line{Fields: m}
	x.Box, x.Message, x.Request = x.text("box"), x.text("msg"), x.text("request")
	x.Event = int(x.number("event"))
	x.Time, _ = time.Parse(time.RFC3339Nano, x.text("time")) // a line without a time stands first
	for _, k := range []string{"box", "event", "level", "msg", "request", "time"} {
		delete(m, k)
	}
	return x
}

// textOf tells one line in plain words.
func textOf(x *Line) string {
	f := x.text
	switch x.Event {
	case event.RequestPlaced.Number:
		return fmt.Sprintf("try %s goes to %s in %s after %s ms, with %s ms left (configuration %s, upstreams %s)",
			f("try"), f("upstream"), f("hall"), f("waited_ms"), f("left_ms"), f("configuration"), f("upstreams"))
	case event.UpstreamLeaving.Number:
		return fmt.Sprintf("%s is leaving; %s events had come", f("upstream"), f("events"))
	case event.MoveStarted.Number:
		return fmt.Sprintf("its memory is being copied from %s to %s", f("from"), f("to"))
	case event.MoveCopied.Number:
		return fmt.Sprintf("copied in %s ms while it ran and %s ms while it stood still", f("first_ms"), f("rest_ms"))
	case event.MoveDone.Number:
		return fmt.Sprintf("it goes on at %s after a pause of %s ms", f("to"), f("pause_ms"))
	case event.MoveFailed.Number:
		return fmt.Sprintf("it was not moved away from %s: %s", f("from"), reasonText(f("reason")))
	case event.RequestRetried.Number:
		return fmt.Sprintf("another upstream is tried: %s", reasonText(f("reason")))
	}
	return strings.TrimSpace(x.Message + " " + rest(x.Fields))
}

// rest returns the fields of a line in order of name.
func rest(m map[string]any) string {
	var l []string
	for k, v := range m {
		l = append(l, fmt.Sprintf("%s=%v", k, v))
	}
	slices.Sort(l)
	return strings.Join(l, " ")
}

func (x *Line) number(k string) float64 {
	n, _ := x.Fields[k].(float64)
	return n
}

func (x *Line) text(k string) string {
	v, ok := x.Fields[k]
	if !ok {
		return ""
	}
	if n, ok := v.(float64); ok {
		return fmt.Sprintf("%.0f", n)
	}
	return fmt.Sprint(v)
}
