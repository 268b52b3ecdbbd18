package account

import (
	"cmp"
	"net/http"
	"slices"
	"time"

	"github.com/linetiller/linetiller/internal/event"
	"github.com/linetiller/linetiller/internal/explain"
)

// Attempt is an attempt of a caller that was unsuccessful or late. It has a request ID of its own.
type Attempt struct {
	Cause    Cause
	EndedAt  time.Time     // time of its last line
	Hall     string        // hall of its box
	Class    string        // class of its request
	Sent     bool          // whether it was sent to an upstream
	Request  string        // request ID
	Duration time.Duration // until its end; 0 if the logs have none
}

// causeOf returns why an attempt was unsuccessful or late. It is "" if the attempt was in order, ended
// by its caller or still running at the end of the logs.
func (l *Log) causeOf(lines []*explain.Line, a *latencyTarget) Cause {
	end := endOf(lines)
	if end == nil {
		last := lines[len(lines)-1]
		switch died, allDied := l.boxDiedAfter(last.Box, last.Time); {
		case allDied:
			return CauseAllBoxesDied
		case died:
			return CauseBoxDied
		}
		return "" // still running
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
		return "" // the caller disconnected of its own accord
	}
	return l.interruptedCause(lines, end)
}

// interruptedCause returns why a response broke off or did not come. It follows the moves of the
// generation to find the upstream at which it was lost.
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
		case event.MoveCompleted.Number:
			at = text(x, "to")
		}
	}
	if l.halls[at] != l.halls[end.Box] {
		return CauseHallLost
	}
	return CauseEngineLost
}

// unsuccessfulAttempts returns the unsuccessful and late attempts, in order of their end. It leaves
// out the routes whose class is unknown.
func (l *Log) unsuccessfulAttempts(targets map[string]latencyTarget) []Attempt {
	var all []Attempt
	for id, lines := range l.requests {
		a := targets[routeOf(lines)]
		if a.class == "" {
			continue
		}
		last := lines[len(lines)-1]
		if c := l.causeOf(lines, &a); c != "" {
			t := Attempt{Cause: c, EndedAt: last.Time, Hall: l.halls[last.Box], Class: a.class, Request: id}
			t.Sent = slices.ContainsFunc(lines, func(x *explain.Line) bool { return x.Event == event.RequestPlaced.Number })
			if end := endOf(lines); end != nil {
				t.Duration = milliseconds(number(end, "took_ms"))
			}
			all = append(all, t)
		}
	}
	slices.SortFunc(all, func(a, b Attempt) int { return cmp.Or(a.EndedAt.Compare(b.EndedAt), cmp.Compare(a.Request, b.Request)) })
	return all
}

// finishedCause returns why a response that was complete earned less than its full worth, or "".
func finishedCause(lines []*explain.Line, end *explain.Line, a *latencyTarget) Cause {
	if number(end, "status") >= http.StatusInternalServerError {
		return CauseFailed
	}
	for _, x := range lines {
		if x.Event == event.MoveCompleted.Number && a.gap > 0 && milliseconds(number(x, "pause_ms")) > a.gap {
			return CauseLateMove
		}
	}
	if a.gap == 0 && milliseconds(number(end, "took_ms")) > a.response {
		return CauseLate
	}
	if a.gap > 0 {
		return lateStreamCause(lines, end, a)
	}
	return ""
}

// lateStreamCause returns why a stream was late, or "". If the first event was late, the cause is the
// wait for a place if that took more than half of the time, and the prefill otherwise. If the first
// event was in time, the cause may be a long gap between two events.
func lateStreamCause(lines []*explain.Line, end *explain.Line, a *latencyTarget) Cause {
	first := milliseconds(number(end, "first_ms"))
	if first <= a.response {
		if milliseconds(number(end, "pause_ms")) > a.gap {
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

// endOf returns the last line that reports the end of an attempt, or nil.
func endOf(lines []*explain.Line) *explain.Line {
	for _, x := range slices.Backward(lines) {
		switch x.Event {
		case event.RequestFinished.Number, event.RequestRefused.Number, event.RequestInterrupted.Number, event.CallerDisconnected.Number:
			return x
		}
	}
	return nil
}

// refusedCause returns CauseRefused, or "" if the configuration has no such key or route, so that the
// refusal is no loss.
func refusedCause(end *explain.Line) Cause {
	switch text(end, "reason") {
	case "key_unknown", "route_unknown":
		return ""
	}
	return CauseRefused
}

// routeOf returns the route of an attempt, or "" if no line names it.
func routeOf(lines []*explain.Line) string {
	for _, x := range lines {
		if r := text(x, "route"); r != "" {
			return r
		}
	}
	return ""
}
