package resource

import (
	"encoding/json"
	"testing"
	"testing/synctest"
	"time"

	"github.com/linetiller/linetiller/internal/revision"
)

// upstreamChange returns a change of the entry of upstream u.
func upstreamChange(spec string, r int64, tentative bool) Change {
	return Change{Resource: &Resource{Kind: KindUpstream, Metadata: Metadata{Name: "u"}, Spec: json.RawMessage(spec)}, Revision: r, Tentative: tentative}
}

// restoredSnapshot returns what a read of the list of upstreams brings right after the store came back
// from a copy.
func restoredSnapshot(version int64, changes ...Change) *Batch {
	return &Batch{Changes: changes, Revision: revision.Of(1, version), Source: SourceUpstreams, Tentative: true, Snapshot: true}
}

// TestWhatTheCopyTellsWaits gives a view entries of upstreams, and then what the store tells
// from a copy of before: what would take one back waits, what goes forward does not, and what
// is written under the later era is taken in at once.
func TestWhatTheCopyTellsWaits(t *testing.T) {
	const ready, leaving = `{"born":5,"models":["m"]}`, `{"born":5,"leaving":true}`
	for _, x := range []struct {
		name   string
		before []Change // at era 0
		copied []Change // tentative, at era 1
		now    string   // the entry's spec at once; "" is none
		later  string   // the same once all has waited long enough
		wait   time.Duration
	}{
		{"an older entry", []Change{upstreamChange(leaving, 9, false)}, []Change{upstreamChange(ready, revision.Of(1, 4), true)}, leaving, ready, returnHoldPeriod},
		{"a newer entry", []Change{upstreamChange(leaving, 3, false)}, []Change{upstreamChange(ready, revision.Of(1, 4), true)}, ready, ready, 0},
		{"an older entry of one that leaves", []Change{upstreamChange(ready, 9, false)}, []Change{upstreamChange(leaving, revision.Of(1, 4), true)}, leaving, leaving, 0},
		{"an entry of a later start", []Change{upstreamChange(leaving, 9, false)}, []Change{upstreamChange(`{"born":6}`, revision.Of(1, 4), true)}, `{"born":6}`, `{"born":6}`, 0},
		{"one that had gone", []Change{upstreamChange(ready, 8, false), {Deleted: true, Resource: &Resource{Kind: KindUpstream, Metadata: Metadata{Name: "u"}}, Revision: 9}}, []Change{upstreamChange(ready, revision.Of(1, 4), true)}, "", ready, returnHoldPeriod},
		{"one that is lacking", []Change{upstreamChange(ready, 9, false)}, nil, ready, "", LapseGracePeriod},
		{"the entry as it stands", []Change{upstreamChange(ready, 4, false)}, []Change{upstreamChange(ready, revision.Of(1, 4), true)}, ready, ready, 0},
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
				v.Merge(restoredSnapshot(6, x.copied...))
				for _, b := range v.Missing(have) {
					peer.Merge(&b)
				}
				check("at once", v, x.now)
				check("at once, at a box that was told", peer, x.now)
				if x.wait > 0 {
					time.Sleep(x.wait - time.Millisecond)
					check("a moment before its time", v, x.now)
				}
				time.Sleep(time.Second)
				check("later", v, x.later)
				check("later, at a box that was told", peer, x.later)
				if got := v.CountHeld(SourceUpstreams); got != 0 {
					t.Errorf("changes that wait later: got %d, want none", got)
				}
			})
		})
	}
}

// TestWhatIsWrittenAgainIsTakenAtOnce has an upstream write its entry under the later era
// while the one of the copy waits: it is taken in, and the other one is dropped.
func TestWhatIsWrittenAgainIsTakenAtOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		v := NewView()
		c := upstreamChange(`{"models":["new"]}`, 9, false)
		v.Merge(&Batch{Changes: []Change{c}, Revision: 9, Source: SourceUpstreams})
		v.Merge(restoredSnapshot(6, upstreamChange(`{"models":["old"]}`, revision.Of(1, 4), true)))
		if !v.IsHeld(KindUpstream, "u") {
			t.Error("the entry of the copy: got taken in, want it to wait")
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
			t.Error("the entry of the copy: got it waiting still, want it dropped")
		}
	})
}

// TestWhatWaitsGoesByTheNewestWord has changes wait, and then a whole batch tell otherwise: what
// it names as it stands stays, and what it does not name does not come back.
func TestWhatWaitsGoesByTheNewestWord(t *testing.T) {
	const ready = `{"born":5,"models":["m"]}`
	removed := Change{Deleted: true, Resource: &Resource{Kind: KindUpstream, Metadata: Metadata{Name: "u"}}, Revision: 9}
	for _, x := range []struct {
		name   string
		before []Change
		first  *Batch // has a change wait
		second *Batch
		want   bool // the upstream is there later
	}{
		{"lacking, then there as it stands", []Change{upstreamChange(ready, 9, false)}, restoredSnapshot(6), restoredSnapshot(8, upstreamChange(ready, revision.Of(1, 7), true)), true},
		{"lacking, then there by an older row", []Change{upstreamChange(ready, 9, false)}, restoredSnapshot(6), restoredSnapshot(8, upstreamChange(ready, revision.Of(1, 5), true)), true},
		{"there again, then lacking", []Change{upstreamChange(ready, 8, false), removed}, restoredSnapshot(6, upstreamChange(ready, revision.Of(1, 4), true)), restoredSnapshot(8), false},
		{
			"gone, and lapsed at another box",
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
					t.Errorf("got there %v, want %v", got, x.want)
				}
			})
		})
	}
}

// TestEachCopyIsWaitedFor has the store come back from a copy a second time while a change of
// the first one waits: the time begins anew.
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

// TestBoxBehindBringsNothingBack has a view read a whole table that holds nothing, and then hear
// from a box that is behind that read of what was there before.
func TestBoxBehindBringsNothingBack(t *testing.T) {
	behind, v := NewView(), NewView()
	behind.Merge(&Batch{Changes: []Change{upstreamChange("{}", 3, false)}, Revision: 3, Source: SourceUpstreams})
	v.Merge(&Batch{Revision: 16, Source: SourceUpstreams, Snapshot: true})
	for _, b := range behind.Missing(v.Revisions()) {
		v.Merge(&b)
	}
	if have := v.Revisions(); have.Behind(behind.Revisions()) {
		t.Errorf("having heard it: got behind a box at 3, at %v, so that it is asked again and again", have)
	}
	if v.Get(KindUpstream, "u") != nil {
		t.Error("got an upstream that had gone, want none")
	}
}

// TestWholeReadTellsOthersWhatItNeverKnew has a view read a whole table in which an upstream is no
// longer, that it never knew, and hear of a later change: a box that knows the upstream and is
// behind that read hears from it that the upstream has gone.
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
		t.Errorf("at %v: got an upstream that had gone, want none", peer.Revisions())
	}
}
