package resource

import (
	"encoding/json"
	"testing"
	"testing/synctest"
	"time"

	"github.com/linetiller/linetiller/internal/revision"
)

// upstreamChange returns a change of the entry of the upstream "u".
func upstreamChange(spec string, r int64, tentative bool) Change {
	return Change{Resource: &Resource{Kind: KindUpstream, Metadata: Metadata{Name: "u"}, Spec: json.RawMessage(spec)}, Revision: r, Tentative: tentative}
}

// restoredSnapshot returns a snapshot of the list of upstreams as read just after the store was
// restored from a backup.
func restoredSnapshot(version int64, changes ...Change) *Batch {
	return &Batch{Changes: changes, Revision: revision.Of(1, version), Source: SourceUpstreams, Tentative: true, Snapshot: true}
}

// TestWhatTheCopyTellsWaits merges entries of an upstream and then a snapshot of a restored store.
// A change that would revert the entry must be held; one that is provably newer must be applied at
// once. A peer that catches up from the view must see the same.
func TestWhatTheCopyTellsWaits(t *testing.T) {
	const ready, leaving = `{"born":5,"models":["m"]}`, `{"born":5,"leaving":true}`
	for _, x := range []struct {
		name     string
		before   []Change      // at era 0
		restored []Change      // tentative, at era 1
		now      string        // the entry's spec right after the merge; empty if there is none
		later    string        // the same after the hold period
		wait     time.Duration // the hold period; 0 if the change is applied at once
	}{
		{"an older entry", []Change{upstreamChange(leaving, 9, false)}, []Change{upstreamChange(ready, revision.Of(1, 4), true)}, leaving, ready, returnHoldPeriod},
		{"a newer entry", []Change{upstreamChange(leaving, 3, false)}, []Change{upstreamChange(ready, revision.Of(1, 4), true)}, ready, ready, 0},
		{"an older entry that announces leaving", []Change{upstreamChange(ready, 9, false)}, []Change{upstreamChange(leaving, revision.Of(1, 4), true)}, leaving, leaving, 0},
		{"an entry of a restarted process", []Change{upstreamChange(leaving, 9, false)}, []Change{upstreamChange(`{"born":6}`, revision.Of(1, 4), true)}, `{"born":6}`, `{"born":6}`, 0},
		{"an entry that had been removed", []Change{upstreamChange(ready, 8, false), {Deleted: true, Resource: &Resource{Kind: KindUpstream, Metadata: Metadata{Name: "u"}}, Revision: 9}}, []Change{upstreamChange(ready, revision.Of(1, 4), true)}, "", ready, returnHoldPeriod},
		{"a missing entry", []Change{upstreamChange(ready, 9, false)}, nil, ready, "", LapseGracePeriod},
		{"an unchanged entry", []Change{upstreamChange(ready, 4, false)}, []Change{upstreamChange(ready, revision.Of(1, 4), true)}, ready, ready, 0},
	} {
		t.Run(x.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				v, peer := NewView(), NewView()
				check := func(when string, v *View, want string) {
					t.Helper()
					got := ""
					if r := v.Get(KindUpstream, "u"); r != nil {
						got = string(r.Spec)
					}
					if got != want {
						t.Errorf("%s: got %q, want %q", when, got, want)
					}
				}
				for _, c := range x.before {
					v.Merge(&Batch{Changes: []Change{c}, Revision: c.Revision, Source: SourceUpstreams})
					peer.Merge(&Batch{Changes: []Change{c}, Revision: c.Revision, Source: SourceUpstreams})
				}
				have := peer.Revisions()
				v.Merge(restoredSnapshot(6, x.restored...))
				for _, b := range v.Missing(have) {
					peer.Merge(&b)
				}
				check("at once", v, x.now)
				check("at once, at the peer", peer, x.now)
				if x.wait > 0 {
					time.Sleep(x.wait - time.Millisecond)
					check("just before the hold period ends", v, x.now)
				}
				time.Sleep(time.Second)
				check("later", v, x.later)
				check("later, at the peer", peer, x.later)
				if got := v.CountHeld(SourceUpstreams); got != 0 {
					t.Errorf("held changes later: got %d, want none", got)
				}
			})
		})
	}
}

// TestWhatIsWrittenAgainIsTakenAtOnce has an upstream write its entry under the new era while the
// one from the backup is held. The new entry must be applied at once and the held one dropped.
func TestWhatIsWrittenAgainIsTakenAtOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		v := NewView()
		c := upstreamChange(`{"models":["new"]}`, 9, false)
		v.Merge(&Batch{Changes: []Change{c}, Revision: 9, Source: SourceUpstreams})
		v.Merge(restoredSnapshot(6, upstreamChange(`{"models":["old"]}`, revision.Of(1, 4), true)))
		if !v.IsHeld(KindUpstream, "u") {
			t.Error("the entry from the backup: got it applied, want it held")
		}
		again := revision.Of(1, 7)
		v.Merge(&Batch{Changes: []Change{upstreamChange(`{"models":["again"]}`, again, false)}, Revision: again, Source: SourceUpstreams})
		for _, d := range []time.Duration{0, returnHoldPeriod + time.Second} {
			time.Sleep(d)
			if got, want := string(v.Get(KindUpstream, "u").Spec), `{"models":["again"]}`; got != want {
				t.Errorf("%v later: got %s, want %s", d, got, want)
			}
		}
		if v.IsHeld(KindUpstream, "u") {
			t.Error("the entry from the backup: got it still held, want it dropped")
		}
	})
}

// TestWhatWaitsGoesByTheNewestWord merges a snapshot that contradicts a held change. A resource
// that the snapshot names unchanged must stay, and one that it does not name must not return.
func TestWhatWaitsGoesByTheNewestWord(t *testing.T) {
	const ready = `{"born":5,"models":["m"]}`
	removed := Change{Deleted: true, Resource: &Resource{Kind: KindUpstream, Metadata: Metadata{Name: "u"}}, Revision: 9}
	for _, x := range []struct {
		name   string
		before []Change
		first  *Batch // causes a change to be held
		second *Batch
		want   bool // whether the upstream exists in the end
	}{
		{"missing, then present unchanged", []Change{upstreamChange(ready, 9, false)}, restoredSnapshot(6), restoredSnapshot(8, upstreamChange(ready, revision.Of(1, 7), true)), true},
		{"missing, then present by an older row", []Change{upstreamChange(ready, 9, false)}, restoredSnapshot(6), restoredSnapshot(8, upstreamChange(ready, revision.Of(1, 5), true)), true},
		{"present again, then missing", []Change{upstreamChange(ready, 8, false), removed}, restoredSnapshot(6, upstreamChange(ready, revision.Of(1, 4), true)), restoredSnapshot(8), false},
		{
			"removed, and lapsed at another box",
			[]Change{upstreamChange(ready, 8, false), removed},
			restoredSnapshot(6),
			&Batch{Changes: []Change{upstreamChange(`{"born":5,"lapsed":true}`, revision.Of(1, 7), false)}, Revision: revision.Of(1, 7), FromView: true, Source: SourceUpstreams}, false,
		},
	} {
		t.Run(x.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				v := NewView()
				for _, c := range x.before {
					v.Merge(&Batch{Changes: []Change{c}, Revision: c.Revision, Source: SourceUpstreams})
				}
				v.Merge(x.first)
				time.Sleep(time.Second)
				v.Merge(x.second)
				time.Sleep(2 * returnHoldPeriod)
				if got := v.Get(KindUpstream, "u") != nil; got != x.want {
					t.Errorf("got upstream present %v, want %v", got, x.want)
				}
			})
		})
	}
}

// TestEachCopyIsWaitedFor has the store restored a second time while a change of the first restore
// is held. The hold period must start again.
func TestEachCopyIsWaitedFor(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		v := NewView()
		v.Merge(&Batch{Changes: []Change{upstreamChange(`{"models":["new"]}`, 9, false)}, Revision: 9, Source: SourceUpstreams})
		old := func(era int64) {
			v.Merge(&Batch{Changes: []Change{upstreamChange(`{"models":["old"]}`, revision.Of(era, 4), true)}, Revision: revision.Of(era, 6), Source: SourceUpstreams, Tentative: true, Snapshot: true})
		}
		old(1)
		time.Sleep(returnHoldPeriod - time.Second)
		old(2)
		time.Sleep(returnHoldPeriod - time.Second)
		if got, want := string(v.Get(KindUpstream, "u").Spec), `{"models":["new"]}`; got != want {
			t.Errorf("got %s, want %s", got, want)
		}
	})
}

// TestBoxBehindBringsNothingBack merges an empty snapshot, and then older data of a box that is
// behind it. The removed upstream must not return.
func TestBoxBehindBringsNothingBack(t *testing.T) {
	behind, v := NewView(), NewView()
	behind.Merge(&Batch{Changes: []Change{upstreamChange("{}", 3, false)}, Revision: 3, Source: SourceUpstreams})
	v.Merge(&Batch{Revision: 16, Source: SourceUpstreams, Snapshot: true})
	for _, b := range behind.Missing(v.Revisions()) {
		v.Merge(&b)
	}
	if have := v.Revisions(); have.Behind(behind.Revisions()) {
		t.Errorf("after the merge: got %v, behind a box at 3, so that it would be asked again and again", have)
	}
	if v.Get(KindUpstream, "u") != nil {
		t.Error("got an upstream that had been removed, want none")
	}
}

// TestWholeReadTellsOthersWhatItNeverKnew checks that a peer learns of the removal of an upstream
// from a view that never knew the upstream: the view read a snapshot without it and then a later
// change.
func TestWholeReadTellsOthersWhatItNeverKnew(t *testing.T) {
	peer, v := NewView(), NewView()
	peer.Merge(&Batch{Changes: []Change{upstreamChange("{}", 11, false)}, Revision: 11, Source: SourceUpstreams})
	v.Merge(&Batch{Revision: 16, Source: SourceUpstreams, Snapshot: true})
	later := Change{Resource: &Resource{Kind: KindUpstream, Metadata: Metadata{Name: "later"}, Spec: json.RawMessage("{}")}, Revision: 20}
	v.Merge(&Batch{Changes: []Change{later}, Revision: 20, Source: SourceUpstreams})
	for _, b := range v.Missing(peer.Revisions()) {
		peer.Merge(&b)
	}
	if peer.Get(KindUpstream, "u") != nil {
		t.Errorf("at %v: got an upstream that had been removed, want none", peer.Revisions())
	}
}
