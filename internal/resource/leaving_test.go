package resource

import (
	"encoding/json"
	"fmt"
	"testing"
	"time"
)

// putUpstream takes in an entry of upstream u, of a source.
func putUpstream(v *View, s Source, revision int64, name, spec string, deleted bool) {
	c := Change{Deleted: deleted, Revision: revision, Resource: &Resource{Kind: KindUpstream, Metadata: Metadata{Name: name}, Spec: json.RawMessage(spec)}}
	v.Merge(&Batch{Changes: []Change{c}, Revision: revision, Source: s})
}

// TestWordOfLeavingHolds takes in what an upstream says of itself and what its entry says, in
// orders in which they may come: once it told that it leaves, only a later start of it, or an
// operator, brings it back.
func TestWordOfLeavingHolds(t *testing.T) {
	entryReady := func(born int) func(v *View, revision int64) {
		return func(v *View, revision int64) {
			putUpstream(v, SourceUpstreams, revision, "u", fmt.Sprintf(`{"hall":"a","born":%d,"coldMilliseconds":%d}`, born, revision), false)
		}
	}
	entryLeaving := func(v *View, revision int64) {
		putUpstream(v, SourceUpstreams, revision, "u", `{"hall":"a","born":5,"leaving":true}`, false)
	}
	removed := func(v *View, revision int64) { putUpstream(v, SourceUpstreams, revision, "u", `{}`, true) }
	announces := func(born int64) func(v *View, _ int64) {
		return func(v *View, _ int64) { v.NoteLeaving("u", born) }
	}
	declared := func(leaving bool) func(v *View, revision int64) {
		return func(v *View, revision int64) {
			putUpstream(v, SourceResources, revision, "u", fmt.Sprintf(`{"hall":"a","leaving":%v}`, leaving), false)
		}
	}
	type step = func(v *View, revision int64)
	for _, x := range []struct {
		name  string
		steps []step
		takes bool
	}{
		{"it tells", []step{entryReady(5), announces(5)}, false},
		{"an entry written before comes later", []step{entryReady(5), announces(5), entryReady(5)}, false},
		{"its entry goes and comes back", []step{entryReady(5), announces(5), removed, entryReady(5)}, false},
		{"it tells before its entry comes", []step{announces(5), entryReady(5)}, false},
		{"it tells after its entry went, which comes back", []step{entryReady(5), removed, announces(5), entryReady(5)}, false},
		{"it tells no birth", []step{entryReady(0), announces(0), entryReady(0)}, false},
		{"its entry says so, and one written before comes later", []step{entryReady(5), entryLeaving, entryReady(5)}, false},
		{"its entry says so, and it starts again", []step{entryReady(5), entryLeaving, entryReady(6)}, true},
		{"it starts again", []step{entryReady(5), announces(5), entryReady(6)}, true},
		{"it starts again after its entry went", []step{entryReady(5), announces(5), removed, entryReady(6)}, true},
		{"the word of the start before comes late", []step{entryReady(5), entryReady(6), announces(5)}, true},
		{"the later start leaves, too", []step{entryReady(5), announces(5), entryReady(6), announces(6)}, false},
		{"the later start tells before its entry comes", []step{entryReady(5), announces(6), entryReady(6)}, false},
		{"it begins to tell its birth", []step{entryReady(0), announces(0), entryReady(6)}, true},
		{"an operator takes it back", []step{declared(true), announces(0), declared(false)}, true},
		{"an operator changes something else", []step{declared(false), announces(0), declared(false)}, false},
	} {
		v := NewView()
		for i, s := range x.steps {
			s(v, int64(i+1))
		}
		u := v.Upstream("u")
		if u == nil || u.AcceptsWork(time.Now()) != x.takes {
			t.Errorf("%s: got %+v, want that it takes new work: %v", x.name, u, x.takes)
		}
	}
}

// TestWordsOfUnlistedUpstreamsAreBounded has more upstreams tell that they leave than are
// remembered once their entries have gone. Those that are listed are remembered.
func TestWordsOfUnlistedUpstreamsAreBounded(t *testing.T) {
	v := NewView()
	putUpstream(v, SourceUpstreams, 1, "listed", `{"hall":"a"}`, false)
	v.NoteLeaving("listed", 0)
	for i := range maxUnlisted + 100 {
		v.NoteLeaving(fmt.Sprint("u-", i), 0)
	}
	if got, want := len(v.index.leaving.startedAt), maxUnlisted+1; got != want {
		t.Errorf("words: got %d, want %d", got, want)
	}
	putUpstream(v, SourceUpstreams, 2, "listed", `{"hall":"a","coldMilliseconds":5}`, false)
	if v.Upstream("listed").AcceptsWork(time.Now()) {
		t.Error("a listed upstream that told that it leaves takes new work")
	}
}
