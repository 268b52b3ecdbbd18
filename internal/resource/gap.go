package resource

// RevisionGap is a range of revisions of a source that a view skipped. Resources may have been
// added and removed in it without the view seeing them.
type RevisionGap struct {
	From int64 `json:"from"`
	To   int64 `json:"to"`
}

// maxGaps bounds the gaps that are remembered; beyond it, the two oldest are merged.
const maxGaps = 32

// addGap records a gap, unless it is empty.
func (v *View) addGap(s Source, g RevisionGap) {
	if g.To <= g.From {
		return
	}
	v.gaps[s] = append(v.gaps[s], g)
	if l := v.gaps[s]; len(l) > maxGaps {
		l[1].From = l[0].From
		v.gaps[s] = l[1:]
	}
}

// gapsAfter returns the gaps of a source that end after a revision.
func (v *View) gapsAfter(s Source, r int64) []RevisionGap {
	var l []RevisionGap
	for _, g := range v.gaps[s] {
		if g.To > r {
			l = append(l, g)
		}
	}
	return l
}

// lacksRemovals reports whether changes after a revision may lack removals of resources that a view
// at that revision holds: the revision lies inside a gap, or tombstones were dropped since.
func (v *View) lacksRemovals(s Source, r int64) bool {
	if r < v.tombstoneFloors[s] {
		return true
	}
	for _, g := range v.gaps[s] {
		if g.From < r && r < g.To {
			return true
		}
	}
	return false
}

// recordGaps records the gaps that the view takes over with a complete batch, as it advances to the
// revision of the batch. A snapshot is a gap as a whole.
func (v *View) recordGaps(b *Batch) {
	v.floors[b.Source] = max(v.floors[b.Source], b.Revision)
	from := v.revisions[b.Source]
	if b.Snapshot || !b.GapsListed {
		v.addGap(b.Source, RevisionGap{from, b.Revision})
		return
	}
	for _, g := range b.Gaps {
		v.addGap(b.Source, RevisionGap{max(from, g.From), min(b.Revision, g.To)})
	}
}
