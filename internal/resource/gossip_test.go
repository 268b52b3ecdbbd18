package resource

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
)

// rowStore is a table of a store with its history, as far as it is kept.
type rowStore struct {
	rows     map[string]Change // the newest change of each row
	revision int64
}

func (s *rowStore) write(r *rand.Rand, names int) {
	s.revision++
	n := fmt.Sprint("u", r.IntN(names))
	s.rows[n] = Change{Deleted: r.IntN(2) == 0, Revision: s.revision, Resource: &Resource{
		Kind: KindUpstream, Metadata: Metadata{Name: n}, Spec: []byte(fmt.Sprintf(`{"address":"http://10.0.0.1:%d","hall":"a","models":["m"],"type":"engine"}`, s.revision)),
	}}
}

// read returns what a feed or, from revision 0, a reading of the whole table returns.
func (s *rowStore) read(after int64) *Batch {
	b := &Batch{Revision: s.revision, Snapshot: after == 0, Source: SourceUpstreams}
	for _, c := range s.rows {
		if c.Revision > after && (!c.Deleted || !b.Snapshot) {
			b.Changes = append(b.Changes, c)
		}
	}
	return b
}

// readPages returns what a reading of the whole table in several pages returns. between is called between two pages.
func (s *rowStore) readPages(limit int, between func()) *Batch {
	b := &Batch{Revision: s.revision, Snapshot: true, Source: SourceUpstreams}
	for after := ""; ; between() {
		l, next := page(s.read(0).Changes, after, limit)
		b.Changes = append(b.Changes, l...)
		if after = next; next == "" {
			return b
		}
	}
}

func (s *rowStore) live() []string {
	var l []string
	for n, c := range s.rows {
		if !c.Deleted {
			l = append(l, n+string(c.Resource.Spec))
		}
	}
	slices.Sort(l)
	return l
}

func liveOf(v *View) []string {
	var l []string
	for _, x := range v.List(KindUpstream) {
		l = append(l, x.Metadata.Name+string(x.Spec))
	}
	slices.Sort(l)
	return l
}

// fetchChanges makes a view fetch what it lacks from another, which may be an older build that does not
// list its gaps.
func fetchChanges(to, from *View, older bool) (snapshots int) {
	if !older && len(from.Missing(to.Revisions())) > 0 {
		return fetchPages(to, from, 7, func() {})
	}
	for _, b := range from.Missing(to.Revisions()) {
		if older {
			b.Gaps, b.GapsListed = nil, false
		}
		if b.Snapshot {
			snapshots++
		}
		to.Merge(&b)
	}
	return snapshots
}

// fetchPages makes a view fetch what it lacks from another in pages. between is called between two
// pages.
func fetchPages(to, from *View, limit int, between func()) (snapshots int) {
	have, pending := to.Revisions(), (*Batch)(nil)
	for after := ""; ; between() {
		l, next := from.MissingPage(have, after, limit)
		for i := range l {
			if pending == nil {
				pending = &l[i]
			} else if !pending.Append(&l[i]) {
				return snapshots // the next exchange repeats it
			}
		}
		if after = next; next == "" {
			break
		}
	}
	if pending == nil {
		return 0
	}
	if pending.Snapshot {
		snapshots++
	}
	to.Merge(pending)
	return snapshots
}

// TestPagesOfAChangingList guards against a change or removal that is lost because the sender's list
// changes between two pages.
func TestPagesOfAChangingList(t *testing.T) {
	for seed := range uint64(60) {
		r := rand.New(rand.NewPCG(seed, 7))
		s := &rowStore{rows: make(map[string]Change)}
		from, to := NewView(), NewView()
		for range 100 {
			s.write(r, 60)
			if r.IntN(10) == 0 {
				from.Merge(s.read(from.Revisions()[SourceUpstreams] * int64(r.IntN(2))))
			}
			if r.IntN(15) == 0 {
				to.Merge(s.read(to.Revisions()[SourceUpstreams] * int64(r.IntN(2))))
			}
		}
		from.Merge(s.read(from.Revisions()[SourceUpstreams]))
		fetchPages(to, from, 1+r.IntN(9), func() {
			s.write(r, 60)
			from.Merge(s.read(from.Revisions()[SourceUpstreams] * int64(min(1, r.IntN(8)))))
		})
		for range 3 {
			fetchChanges(to, from, false)
		}
		if got, want := liveOf(to), s.live(); !slices.Equal(got, want) {
			t.Errorf("seed %d: got %d upstreams, want %d", seed, len(got), len(want))
		}
	}
}

// TestChangesBetweenPagesAreRead guards against changes that no box ever reads, because they were made between two pages
// of a whole reading and a later page had newer ones.
func TestChangesBetweenPagesAreRead(t *testing.T) {
	for seed := range uint64(60) {
		r := rand.New(rand.NewPCG(seed, 8))
		s := &rowStore{rows: make(map[string]Change)}
		for range 200 {
			s.write(r, 60)
		}
		reader, other := NewView(), NewView()
		for range 1 + r.IntN(3) {
			b := s.readPages(1+r.IntN(9), func() { s.write(r, 60) })
			reader.Merge(b)
			if got, maxWant := reader.Revisions()[SourceUpstreams], b.Revision; got > maxWant {
				t.Errorf("seed %d: revision of the view: got %d, want at most %d, up to which the reading is complete", seed, got, maxWant)
			}
			fetchChanges(other, reader, false)
			reader.Merge(s.read(reader.Revisions()[SourceUpstreams]))
		}
		fetchChanges(other, reader, false)
		for name, v := range map[string]*View{"reader": reader, "other": other} {
			if got, want := liveOf(v), s.live(); !slices.Equal(got, want) {
				t.Errorf("seed %d, %s: got %d upstreams, want %d", seed, name, len(got), len(want))
			}
		}
	}
}

// TestViewsConverge guards against an upstream that stays in a view for good, because changes which
// boxes fetched from each other, from feeds and from whole readings lacked its removal.
func TestViewsConverge(t *testing.T) {
	for seed := range uint64(40) {
		r := rand.New(rand.NewPCG(seed, 4))
		s := &rowStore{rows: make(map[string]Change)}
		views := make([]*View, 5)
		for i := range views {
			views[i] = NewView()
		}
		absent := r.IntN(len(views)) // reads and fetches nothing for the middle of the run
		steps := 400
		if seed == 0 {
			steps = 12 * maxTombstones // so that tombstones are dropped
		}
		for i := range steps {
			s.write(r, 30)
			n := r.IntN(len(views))
			if n == absent && i > steps/10 && i < steps*9/10 {
				continue
			}
			v := views[n]
			switch r.IntN(8) {
			case 0:
				v.Merge(s.read(0)) // the history was gone
			case 1, 2:
				v.Merge(s.read(v.Revisions()[SourceUpstreams]))
			default:
				if from := r.IntN(len(views)); from != absent {
					fetchChanges(v, views[from], r.IntN(4) == 0)
				}
			}
		}
		reader := r.IntN(len(views))
		views[reader].Merge(s.read(views[reader].Revisions()[SourceUpstreams]))
		for range 3 {
			for i := range views {
				fetchChanges(views[(reader+i+1)%len(views)], views[(reader+i)%len(views)], false)
			}
		}
		for i, v := range views {
			if got, want := liveOf(v), s.live(); !slices.Equal(got, want) {
				t.Errorf("seed %d, view %d, absent %d: got %d upstreams, want %d", seed, i, absent, len(got), len(want))
			}
		}
	}
}

// TestChangesThatSkipRevisionsAreNoSnapshots guards against boxes that get the whole list from each
// other all the time: where changes come faster than they are passed on, every box skips revisions
// that its peers have.
func TestChangesThatSkipRevisionsAreNoSnapshots(t *testing.T) {
	r := rand.New(rand.NewPCG(1, 5))
	s := &rowStore{rows: make(map[string]Change)}
	reader, views := NewView(), make([]*View, 8)
	for i := range views {
		views[i] = NewView()
	}
	for range 50 {
		s.write(r, 200)
	}
	reader.Merge(s.read(0))
	for i := range views {
		fetchChanges(views[i], reader, false)
	}
	snapshots := 0
	for range 500 {
		s.write(r, 200)
		reader.Merge(s.read(reader.Revisions()[SourceUpstreams]))
		snapshots += fetchChanges(views[r.IntN(2)], reader, false)
		snapshots += fetchChanges(views[r.IntN(len(views))], views[r.IntN(len(views))], false)
	}
	if snapshots > 0 {
		t.Errorf("whole lists among 1000 exchanges of changes: got %d, want none", snapshots)
	}
}

// TestGapOfASenderIsTakenOver guards against a removal that nobody passes on: a box that fetched the
// changes of one which skipped the removal must know that it lacks it, too.
func TestGapOfASenderIsTakenOver(t *testing.T) {
	upstream := func(revision int64, deleted bool) Change {
		c := upstreamAt(1, revision)
		c.Deleted = deleted
		return c
	}
	reader, between, ahead := NewView(), NewView(), NewView()
	for _, v := range []*View{reader, between, ahead} {
		v.Merge(&Batch{Revision: 10, Source: SourceUpstreams, Changes: []Change{upstreamAt(2, 10)}})
	}
	ahead.Merge(&Batch{Revision: 12, Source: SourceUpstreams, Changes: []Change{upstream(12, false)}})
	reader.Merge(&Batch{Revision: 20, Source: SourceUpstreams, Snapshot: true, Changes: []Change{upstreamAt(2, 20)}}) // the upstream was removed at 18
	fetchChanges(between, reader, false)
	fetchChanges(ahead, between, false)
	if ahead.Upstream("u1") != nil {
		t.Error("the upstream is still listed after its removal")
	}
}
