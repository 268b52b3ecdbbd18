package explain

import (
	"time"

	"github.com/linetiller/linetiller/internal/event"
)

// reconnectWindow is how long after a request was placed its caller's return is looked for: a
// day's longest route holds a request for less.
const reconnectWindow = 2 * time.Minute

// findReconnects returns the ids of the requests with which the caller of a request seems to have
// gone on with its stream. Each try has an id of its own, so that they are known by what the
// caller asks for: the same route, workspace, prompt and estimate, after an event.
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

// firstPlacement returns the line of a request's first send, or nil.
func firstPlacement(own []Line) *Line {
	for i := range own {
		if own[i].Event == event.RequestPlaced.Number {
			return &own[i]
		}
	}
	return nil
}

// sameRequestFields reports whether two sends are of what one caller asks for.
func sameRequestFields(a, b *Line) bool {
	for _, k := range []string{"route", "workspace", "prompt_tokens", "hint"} {
		if a.text(k) != b.text(k) {
			return false
		}
	}
	return true
}
