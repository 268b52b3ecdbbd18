package resource

// revisionGap is a range of revisions of a source that the view skipped. Resources may have been
// added and removed in it without the view seeing them.
type revisionGap struct{ from, to int64 }

// maxGaps bounds the gaps that are remembered; beyond it, the two oldest are merged.
const maxGaps = 32

// inGap reports whether a revision of a source lies inside a gap of the view.
func (v *View) inGap(s Source, r int64) bool {
	for _, l := range v.gaps[s] {
		if l.from < r && r < l.to {
			return true
		}
	}
	return false
}

// recordGap records that the view advances to revision r of a source in one step.
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
