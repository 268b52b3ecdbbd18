package explain

import (
	"time"

	"github.com/linetiller/linetiller/internal/event"
)

// reconnectWindow limits how long after the placement of a request its caller may have reconnected.
// It exceeds the timeouts that routes usually have.
const reconnectWindow = 2 * time.Minute

// findReconnects returns the IDs of the requests with which the caller of a request probably resumed
// its stream. Every attempt of a caller has its own request ID, so the match is a heuristic: a later
// request that resumes after an event and has the same route, workspace, prompt length and length
// estimate.
func findReconnects(own, all []Line) []string {
	p := firstPlacement(own)
	if p == nil {
		return nil
	}
	var l []string
	seen := map[string]bool{p.Request: true}
	for i := range all {
		x := &all[i]
		if seen[x.Request] || x.Event != event.RequestPlaced.Number || x.text("last_event") == "" || !sameRequestFields(p, x) {
			continue
		}
		if d := x.Time.Sub(p.Time); d > 0 && d < reconnectWindow {
			seen[x.Request] = true
			l = append(l, x.Request)
		}
	}
	return l
}

// firstPlacement returns the line of the first time that a request was sent to an upstream, or nil.
func firstPlacement(own []Line) *Line {
	for i := range own {
		if own[i].Event == event.RequestPlaced.Number {
			return &own[i]
		}
	}
	return nil
}

// sameRequestFields reports whether two placements agree in the fields that identify a caller's request.
func sameRequestFields(a, b *Line) bool {
	for _, k := range []string{"route", "workspace", "prompt_tokens", "hint"} {
		if a.text(k) != b.text(k) {
			return false
		}
	}
	return true
}
