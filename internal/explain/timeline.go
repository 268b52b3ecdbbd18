// Package explain reconstructs what happened to a request from the logs of the boxes.
package explain

import (
	"errors"
	"fmt"
	"slices"
	"strings"
	"time"

	"github.com/linetiller/linetiller/internal/event"
)

// Step is one step of a timeline.
type Step struct {
	After time.Duration `json:"afterNanoseconds"` // since the first step
	Box   string        `json:"box"`
	Event int           `json:"event"`
	Text  string        `json:"text"`
	Time  time.Time     `json:"time"`
}

// Timeline is what happened to one request, in order of time.
type Timeline struct {
	Cause      string   `json:"cause"` // why the request ended as it did
	Request    string   `json:"request"`
	Reconnects []string `json:"returns,omitempty"` // IDs of the requests with which its caller probably resumed the stream
	Steps      []Step   `json:"steps"`
}

// ErrNotFound is returned if the logs have no line of the request.
var ErrNotFound = errors.New("the logs have no line of the request")

// NewTimeline builds the timeline of a request from the lines of all boxes, in any order. It returns
// ErrNotFound if no line carries the ID of the request.
func NewTimeline(lines []Line, request string) (*Timeline, error) {
	var own []Line
	for _, x := range lines {
		if x.Request == request {
			own = append(own, x)
		}
	}
	if len(own) == 0 {
		return nil, ErrNotFound
	}
	slices.SortStableFunc(own, func(a, b Line) int { return a.Time.Compare(b.Time) })
	t := &Timeline{Request: request}
	first := own[0].Time
	for _, x := range own {
		t.Steps = append(t.Steps, Step{After: x.Time.Sub(first), Box: x.Box, Event: x.Event, Text: stepText(&x), Time: x.Time})
	}
	t.Cause = causeText(own, lines)
	t.Reconnects = findReconnects(own, lines)
	return t, nil
}

// String returns the timeline as text: a line for each step, then the cause and the reconnects.
func (t *Timeline) String() string {
	var b strings.Builder
	_, _ = fmt.Fprintf(&b, "request %s\n", t.Request)
	for _, x := range t.Steps {
		_, _ = fmt.Fprintf(&b, "  %8.3f s  %s: %s\n", x.After.Seconds(), x.Box, x.Text)
	}
	_, _ = fmt.Fprintf(&b, "cause: %s\n", t.Cause)
	for _, id := range t.Reconnects {
		_, _ = fmt.Fprintf(&b, "its caller probably resumed the stream as request %s\n", id)
	}
	return b.String()
}

// afterEvent names the event of its stream after which a request resumes. It is empty for a request that
// starts from the beginning.
func afterEvent(x *Line) string {
	if id := x.text("last_event"); id != "" {
		return ", after event " + id
	}
	return ""
}

// stepText describes a line. A line of an event without a description of its own is shown as its
// message and fields.
func stepText(x *Line) string {
	f := x.text
	switch x.Event {
	case event.RequestPlaced.Number:
		return fmt.Sprintf("attempt %s is sent to %s in hall %s after %s ms, with %s ms left%s (configuration %s, upstreams %s)",
			f("try"), f("upstream"), f("hall"), f("waited_ms"), f("left_ms"), afterEvent(x), f("configuration"), f("upstreams"))
	case event.UpstreamLeaving.Number:
		return fmt.Sprintf("%s is leaving; %s events were received", f("upstream"), f("events"))
	case event.MoveStarted.Number:
		return fmt.Sprintf("its memory is being copied from %s to %s", f("from"), f("to"))
	case event.MemoryCopied.Number:
		return fmt.Sprintf("its memory was copied in %s ms while it ran and %s ms while it was stopped", f("first_ms"), f("rest_ms"))
	case event.MoveCompleted.Number:
		return fmt.Sprintf("it continues at %s after a pause of %s ms", f("to"), f("pause_ms"))
	case event.MoveFailed.Number:
		return fmt.Sprintf("it could not be moved from %s: %s", f("from"), reasonText(f("reason")))
	case event.StreamResumed.Number:
		return fmt.Sprintf("a new run at %s continues the stream%s: %s", f("upstream"), afterEvent(x), reasonText(f("reason")))
	case event.RequestRetried.Number:
		return fmt.Sprintf("it is retried at another upstream: %s", reasonText(f("reason")))
	case event.RetryOverBudget.Number:
		return fmt.Sprintf("it is not retried after %q: %s (%s retries of %s, with %s allowed)", reasonText(f("reason")), reasonText("retry_budget"), f("retries"), f("service"), f("allowed"))
	}
	return strings.TrimSpace(x.Message + " " + formatFields(x.Fields))
}
