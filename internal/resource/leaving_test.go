package resource

import (
	"encoding/json"
	"fmt"
	"testing"
	"time"
)

// putUpstream merges one change of the entry of an upstream.
func putUpstream(v *View, s Source, revision int64, name, spec string, deleted bool) {
	c := Change{Deleted: deleted, Revision: revision, Resource: &Resource{Kind: KindUpstream, Metadata: Metadata{Name: name}, Spec: json.RawMessage(spec)}}
	v.Merge(&Batch{Changes: []Change{c}, Revision: revision, Source: s})
}

// TestWordOfLeavingHolds delivers an upstream's announcements that it is leaving, and its entries,
// in various orders. Once announced, only a later start of its process, or an operator, may make
// it accept work again.
func TestWordOfLeavingHolds(t *testing.T) {
	entryReady := func(startedAtMS int) func(v *View, revision int64) {
		return func(v *View, revision int64) {
			putUpstream(v, SourceUpstreams, revision, "u", fmt.Sprintf(`{"hall":"a","born":%d,"coldMilliseconds":%d}`, startedAtMS, revision), false)
		}
	}
	entryLeaving := func(v *View, revision int64) {
		putUpstream(v, SourceUpstreams, revision, "u", `{"hall":"a","born":5,"leaving":true}`, false)
	}
	removed := func(v *View, revision int64) { putUpstream(v, SourceUpstreams, revision, "u", `{}`, true) }
	announces := func(startedAtMS int64) func(v *View, _ int64) {
		return func(v *View, _ int64) { v.RecordLeaving("u", startedAtMS) }
	}
	declared := func(leaving bool) func(v *View, revision int64) {
		return func(v *View, revision int64) {
			putUpstream(v, SourceResources, revision, "u", fmt.Sprintf(`{"hall":"a","leaving":%v}`, leaving), false)
		}
	}
	type step = func(v *View, revision int64)
	for _, x := range []struct {
		name        string
		steps       []step
		wantAccepts bool
	}{
		{"it announces", []step{entryReady(5), announces(5)}, false},
		{"an entry written earlier arrives afterwards", []step{entryReady(5), announces(5), entryReady(5)}, false},
		{"its entry is removed and returns", []step{entryReady(5), announces(5), removed, entryReady(5)}, false},
		{"it announces before its entry arrives", []step{announces(5), entryReady(5)}, false},
		{"it announces after its entry was removed, and the entry returns", []step{entryReady(5), removed, announces(5), entryReady(5)}, false},
		{"its start time is unknown", []step{entryReady(0), announces(0), entryReady(0)}, false},
		{"its entry announces it, and one written earlier arrives afterwards", []step{entryReady(5), entryLeaving, entryReady(5)}, false},
		{"its entry announces it, and it restarts", []step{entryReady(5), entryLeaving, entryReady(6)}, true},
		{"it restarts", []step{entryReady(5), announces(5), entryReady(6)}, true},
		{"it restarts after its entry was removed", []step{entryReady(5), announces(5), removed, entryReady(6)}, true},
		{"the announcement of the previous process arrives late", []step{entryReady(5), entryReady(6), announces(5)}, true},
		{"the restarted process announces, too", []step{entryReady(5), announces(5), entryReady(6), announces(6)}, false},
		{"the restarted process announces before its entry arrives", []step{entryReady(5), announces(6), entryReady(6)}, false},
		{"its start time becomes known", []step{entryReady(0), announces(0), entryReady(6)}, true},
		{"an operator withdraws it", []step{declared(true), announces(0), declared(false)}, true},
		{"an operator changes another field", []step{declared(false), announces(0), declared(false)}, false},
	} {
		v := NewView()
		for i, s := range x.steps {
			s(v, int64(i+1))
		}
		u := v.Upstream("u")
		if u == nil || u.AcceptsWork(time.Now()) != x.wantAccepts {
			t.Errorf("%s: got %+v, want accepts work %v", x.name, u, x.wantAccepts)
		}
	}
}

// TestWordsOfUnlistedUpstreamsAreBounded has more unlisted upstreams announce that they are
// leaving than are remembered. The announcement of a listed upstream must not be evicted.
func TestWordsOfUnlistedUpstreamsAreBounded(t *testing.T) {
	v := NewView()
	putUpstream(v, SourceUpstreams, 1, "listed", `{"hall":"a"}`, false)
	v.RecordLeaving("listed", 0)
	for i := range maxUnlisted + 100 {
		v.RecordLeaving(fmt.Sprint("u-", i), 0)
	}
	if got, want := len(v.index.leaving.startedAtMS), maxUnlisted+1; got != want {
		t.Errorf("notices: got %d, want %d", got, want)
	}
	putUpstream(v, SourceUpstreams, 2, "listed", `{"hall":"a","coldMilliseconds":5}`, false)
	if v.Upstream("listed").AcceptsWork(time.Now()) {
		t.Error("a listed upstream that announced that it is leaving accepts new work")
	}
}
