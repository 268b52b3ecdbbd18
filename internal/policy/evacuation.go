package policy

import (
	"cmp"
	"time"
)

// shortestNotice is the minimum time between an engine's notice that it is leaving and its end.
const shortestNotice = 1500 * time.Millisecond

// CompareRuns orders the runs to be moved away from an engine that is leaving. Higher priorities
// go first. Then come runs that will not complete within the notice, the smaller ones first because
// more of them can be moved before the engine ends, and after them the other runs, those with
// the most remaining output first. The duration of a decoding step is step.
func CompareRuns(a, b *Run, step time.Duration) int {
	outlastsNotice := func(r *Run) bool { return time.Duration(r.Left)*step > shortestNotice }
	if c := cmp.Compare(b.Priority, a.Priority); c != 0 {
		return c
	}
	outlastsA, outlastsB := outlastsNotice(a), outlastsNotice(b)
	switch {
	case outlastsA && !outlastsB:
		return -1
	case outlastsB && !outlastsA:
		return 1
	case outlastsA:
		return cmp.Or(cmp.Compare(a.Tokens, b.Tokens), cmp.Compare(a.ID, b.ID))
	}
	return cmp.Or(cmp.Compare(b.Left, a.Left), cmp.Compare(a.ID, b.ID))
}
