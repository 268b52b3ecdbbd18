package explain

import (
	"time"

	"github.com/linetiller/linetiller/internal/event"
)

// returnPeriod is how long after a request was placed its caller's return is looked for: a
// day's longest route holds a request for less.
const returnPeriod = 2 * time.Minute

// returnsOf returns the ids of the requests with which the caller of a request seems to have
// gone on with its stream. Each try has an id of its own, so that they are known by what the
// caller asks for: the same route, workspace, prompt and estimate, after an event.
func returnsOf(own, all []Line) []string {
	p := placedOf(own)
	if p == nil {
		return nil
	}
	var l []string
	seen := map[string]bool{p.Request: true}
	for i := range all {
		x := &all[i]
		if seen[x.Request] || x.Event != event.RequestPlaced.Number || x.text("last_event") == "" || !sameAsked(p, x) {
			continue
		}
		if d := x.Time.Sub(p.Time); d > 0 && d < returnPeriod {
			seen[x.Request] = true
			l = append(l, x.Request)
		}
	}
	return l
}

// placedOf returns the line of a request's first send, or nil.
func placedOf(own []Line) *Line {
	for i := range own {
		if own[i].Event == event.RequestPlaced.Number {
			return &own[i]
		}
	}
	return nil
}

// sameAsked reports whether two sends are of what one caller asks for.
func sameAsked(a, b *Line) bool {
	for _, k := range []string{"route", "workspace", "prompt_tokens", "hint"} {
		if a.text(k) != b.text(k) {
			return false
		}
	}
	return true
}
