package explain

import (
	"fmt"
	"strings"
	"time"

	"github.com/linetiller/linetiller/internal/event"
	"github.com/linetiller/linetiller/internal/policy"
)

// minReportedWaitMS is the shortest wait for a place, in milliseconds, that the cause mentions.
const minReportedWaitMS = 100

// leavingNotice returns the last line, at or before a time, by which a box learned that an upstream
// is leaving or was removed from the configuration; nil if there is none.
func leavingNotice(lines []Line, upstream string, before time.Time) *Line {
	var best *Line
	for i := range lines {
		x := &lines[i]
		if x.Event != event.UpstreamLeaving.Number && x.Event != event.LeavingNoticeReceived.Number && x.Event != event.UpstreamEntryRemoved.Number {
			continue
		}
		if x.text("upstream") == upstream && !x.Time.After(before) && (best == nil || x.Time.After(best.Time)) {
			best = x
		}
	}
	return best
}

// causeText explains why a request ended as it did. own are the lines of the request; all are the lines
// of every request and box, among which may be the notice that its upstream was leaving.
func causeText(own, all []Line) string {
	end := endLine(own)
	if end == nil {
		return "its end is not in these logs: the box that handled it may have been lost, or the logs are incomplete"
	}
	switch end.Event {
	case event.RequestFinished.Number:
		return finishedText(own, end)
	case event.CallerDisconnected.Number:
		return fmt.Sprintf("the caller disconnected after %s ms", end.text("took_ms"))
	case event.RequestRefused.Number:
		return "it was refused and did not run: " + failureText(end) + shortageText(end)
	}
	c := failureText(end)
	if x := leavingNotice(all, end.text("upstream"), end.Time); x != nil {
		c += fmt.Sprintf("; %s was known to be leaving %.3f s earlier", end.text("upstream"), end.Time.Sub(x.Time).Seconds())
	} else if strings.HasPrefix(end.text("reason"), "stream_") {
		c += "; no notice that its upstream was leaving was received"
	}
	return c
}

// endLine returns the last line that reports the end of the request, or nil.
func endLine(own []Line) *Line {
	for i := len(own) - 1; i >= 0; i-- {
		switch own[i].Event {
		case event.RequestFinished.Number, event.RequestRefused.Number, event.RequestInterrupted.Number, event.CallerDisconnected.Number:
			return &own[i]
		}
	}
	return nil
}

// failureText describes the failure that a line reports, with its step and peer.
func failureText(x *Line) string {
	return fmt.Sprintf("%s (%s at %s)", reasonText(x.text("reason")), x.text("step"), x.text("peer"))
}

// shortageText describes what a refused request was waiting for. It is empty if the line does not say.
func shortageText(x *Line) string {
	if s := x.text("short_of"); s != "" {
		return "; it had waited for " + shortages[policy.Shortage(s)]
	}
	return ""
}

// finishedText describes the response to a request, with the long waits and the moves that delayed it.
func finishedText(own []Line, end *Line) string {
	c := fmt.Sprintf("it was answered with status %s after %s ms", end.text("status"), end.text("took_ms"))
	for i := range own {
		x := &own[i]
		switch {
		case x.Event == event.RequestPlaced.Number && x.number("waited_ms") >= minReportedWaitMS:
			c += fmt.Sprintf("; it had waited %s ms for a place at %s", x.text("waited_ms"), x.text("upstream"))
		case x.Event == event.MoveCompleted.Number:
			c += fmt.Sprintf("; it paused %s ms while it was moved from %s to %s", x.text("pause_ms"), x.text("from"), x.text("to"))
		}
	}
	return c
}
