package account

import (
	"cmp"
	"net/http"
	"slices"
	"time"

	"github.com/linetiller/linetiller/internal/event"
	"github.com/linetiller/linetiller/internal/explain"
)

// Attempt is one try of a caller that did not go well.
type Attempt struct {
	Cause    Cause
	Ended    time.Time // the last word of it
	Hall     string    // of its box
	Class    string    // of request
	Sent     bool      // it was sent to an upstream
	Request  string
	Duration time.Duration // until its end; 0 where it has none
}

// unsuccessfulAttempts returns the tries that did not go well, of the routes whose kind is known.
func (l *Log) unsuccessfulAttempts(targets map[string]latencyTarget) []Attempt {
	var all []Attempt
	for id, lines := range l.requests {
		a := targets[routeOf(lines)]
		if a.class == "" {
			continue
		}
		last := lines[len(lines)-1]
		if c := l.causeOf(lines, &a); c != "" {
			t := Attempt{Cause: c, Ended: last.Time, Hall: l.halls[last.Box], Class: a.class, Request: id}
			t.Sent = slices.ContainsFunc(lines, func(x *explain.Line) bool { return x.Event == event.RequestPlaced.Number })
			if end := endOf(lines); end != nil {
				t.Duration = milliseconds(number(end, "took_ms"))
			}
			all = append(all, t)
		}
	}
	slices.SortFunc(all, func(a, b Attempt) int { return cmp.Or(a.Ended.Compare(b.Ended), cmp.Compare(a.Request, b.Request)) })
	return all
}

// causeOf tells why a try did not go well, or "".
func (l *Log) causeOf(lines []*explain.Line, a *latencyTarget) Cause {
	end := endOf(lines)
	if end == nil {
		last := lines[len(lines)-1]
		switch died, all := l.boxDiedAfter(last.Box, last.Time); {
		case all:
			return CauseAllBoxesDied
		case died:
			return CauseBoxDied
		}
		return "" // it was still under way
	}
	switch end.Event {
	case event.RequestFinished.Number:
		return finishedCause(lines, end, a)
	case event.RequestRefused.Number:
		return refusedCause(end)
	case event.CallerDisconnected.Number:
		for _, t := range l.incompleteStops[end.Box] {
			if end.Time.Sub(t).Abs() < time.Second {
				return CauseBoxStopped
			}
		}
		return "" // the caller's own will
	}
	return l.interruptedCause(lines, end)
}

// interruptedCause tells why an answer broke off or did not come.
func (l *Log) interruptedCause(lines []*explain.Line, end *explain.Line) Cause {
	if text(end, "reason") == "deadline" {
		return CauseNoAnswer
	}
	at := text(end, "upstream")
	for _, x := range lines {
		switch x.Event {
		case event.UpstreamLeaving.Number:
			if text(x, "upstream") == at {
				return CauseReclaimed
			}
		case event.MoveDone.Number:
			at = text(x, "to")
		}
	}
	if l.halls[at] != l.halls[end.Box] {
		return CauseHallLost
	}
	return CauseEngineGone
}

// finishedCause tells why an answer that was passed on whole was worth less, or "".
func finishedCause(lines []*explain.Line, end *explain.Line, a *latencyTarget) Cause {
	if number(end, "status") >= http.StatusInternalServerError {
		return CauseFailed
	}
	for _, x := range lines {
		if x.Event == event.MoveDone.Number && a.pause > 0 && milliseconds(number(x, "pause_ms")) > a.pause {
			return CauseLateMove
		}
	}
	if a.pause == 0 && milliseconds(number(end, "took_ms")) > a.response {
		return CauseLate
	}
	if a.pause > 0 {
		return lateStreamCause(lines, end, a)
	}
	return ""
}

// lateStreamCause tells why a stream was late, or "": its first event came late, mostly after
// a wait for a place or mostly while its prompt was read, or a pause was too long.
func lateStreamCause(lines []*explain.Line, end *explain.Line, a *latencyTarget) Cause {
	first := milliseconds(number(end, "first_ms"))
	if first <= a.response {
		if milliseconds(number(end, "pause_ms")) > a.pause {
			return CauseLateStall
		}
		return ""
	}
	for _, x := range slices.Backward(lines) {
		if x.Event == event.RequestPlaced.Number && 2*milliseconds(number(x, "waited_ms")) > first {
			return CauseLateWait
		}
	}
	return CauseLatePrefill
}

// endOf returns the line that tells how a try ended, or nil.
func endOf(lines []*explain.Line) *explain.Line {
	for _, x := range slices.Backward(lines) {
		switch x.Event {
		case event.RequestFinished.Number, event.RequestRefused.Number, event.RequestInterrupted.Number, event.CallerDisconnected.Number:
			return x
		}
	}
	return nil
}

// refusedCause tells why a request was refused, or "" where that was as the configuration
// has it.
func refusedCause(end *explain.Line) Cause {
	switch text(end, "reason") {
	case "key_unknown", "route_unknown":
		return ""
	}
	return CauseRefused
}

// routeOf returns the route of a try.
func routeOf(lines []*explain.Line) string {
	for _, x := range lines {
		if r := text(x, "route"); r != "" {
			return r
		}
	}
	return ""
}
