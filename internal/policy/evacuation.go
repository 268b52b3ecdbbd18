package policy

import (
	"cmp"
	"time"
)

// shortestNotice is the shortest notice that engines were seen to give: 1.5 s.
const shortestNotice = 1500 * time.Millisecond

// CompareRuns orders runs that are to be moved away from an engine that is
// leaving: the more urgent first; then those that will not end by themselves
// within a notice; of these the smaller first, since more of them get away before
// the engine goes; of the others those with most left first.
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
