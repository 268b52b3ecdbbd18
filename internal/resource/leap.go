package resource

// leap is a step from one revision of a source to another between which something
// may have come and gone that the view never knew.
type leap struct{ from, to int64 }

// maxLeaps bounds the leaps that are remembered; the oldest are taken together.
const maxLeaps = 32

// leap takes in that the view goes to revision r of a source in one step.
func (v *View) leap(s Source, r int64) {
	v.floors[s] = max(v.floors[s], r)
	from := v.revisions[s]
	if r <= from {
		return
	}
	v.leaps[s] = append(v.leaps[s], leap{from, r})
	if l := v.leaps[s]; len(l) > maxLeaps {
		l[1].from = l[0].from
		v.leaps[s] = l[1:]
	}
}

// leapt reports whether a revision of a source lies inside a leap of the view.
func (v *View) leapt(s Source, r int64) bool {
	for _, l := range v.leaps[s] {
		if l.from < r && r < l.to {
			return true
		}
	}
	return false
}
