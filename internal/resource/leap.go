package resource

// revisionGap is a step from one revision of a source to another between which something
// may have come and gone that the view never knew.
type revisionGap struct{ from, to int64 }

// maxGaps bounds the leaps that are remembered; the oldest are taken together.
const maxGaps = 32

// recordGap takes in that the view goes to revision r of a source in one step.
func (v *View) recordGap(s Source, r int64) {
	v.floors[s] = max(v.floors[s], r)
	from := v.revisions[s]
	if r <= from {
		return
	}
	v.gaps[s] = append(v.gaps[s], revisionGap{from, r})
	if l := v.gaps[s]; len(l) > maxGaps {
		l[1].from = l[0].from
		v.gaps[s] = l[1:]
	}
}

// inGap reports whether a revision of a source lies inside a leap of the view.
func (v *View) inGap(s Source, r int64) bool {
	for _, l := range v.gaps[s] {
		if l.from < r && r < l.to {
			return true
		}
	}
	return false
}
