package resource

import (
	"encoding/json"
	"fmt"
	"strings"
	"testing"

	"pgregory.net/rapid"
)

func TestCheckNamesEveryFault(t *testing.T) {
	for _, x := range []struct {
		kind       Kind
		name, spec string
		want       string
	}{
		{KindModel, "m", `{"maxTokens":10}`, ""},
		{KindModel, "M!", `{"maxTokens":0}`, "metadata.name,spec.maxTokens"},
		{KindModel, "m", `{"maxTokens":10,"size":2}`, "spec"},
		{"Car", "c", `{}`, "kind"},
		{KindPriority, "p", `{"value":1000}`, "spec.value"},
		{KindVersion, "v", `{}`, "spec.model,spec.weights"},
		{KindWorkspace, "w", `{"keyHashes":["zz"],"weight":-1}`, "spec.keyHashes[0],spec.weight"},
		{KindWorkspace, "w", `{}`, "spec.keyHashes"},
		{KindUpstream, "u", `{"address":"ftp://x","type":"boat"}`, "spec.address,spec.hall,spec.type"},
		{KindUpstream, "u", `{"address":"http://127.0.0.1:1","hall":"a","type":"service"}`, "spec.service"},
		{KindUpstream, "u", `{"address":"http://127.0.0.1:1","hall":"a","type":"engine","kvTokens":1,"maxBatch":1,"models":["m"]}`, ""},
	} {
		f := Check(&Resource{Kind: x.kind, Metadata: Metadata{Name: x.name}, Spec: json.RawMessage(x.spec)})
		var got []string
		for _, v := range f {
			got = append(got, v.Field)
		}
		if strings.Join(got, ",") != x.want {
			t.Errorf("%s %s: got %s, want %s", x.kind, x.spec, strings.Join(got, ","), x.want)
		}
	}
}

func TestReadTellsLines(t *testing.T) {
	_, f := Read([]byte(`{"kind":"Model","metadata":{"name":"m"},"spec":{"maxTokens":1}}
[
  {
    "kind": "Priority",
    "metadata": {"name": "p"},
    "spec": {
      "value": 999
    }
  },
  {"kind": "Model", "colour": 1}
]
{"kind":`))
	var got []string
	for _, x := range f {
		got = append(got, fmt.Sprintf("%d %s", x.Line, x.Field))
	}
	if want := "7 spec.value,10 ,12 "; strings.Join(got, ",") != want {
		t.Errorf("got %s, want %s", strings.Join(got, ","), want)
	}
}

func TestWorkspaceKeysFollowChanges(t *testing.T) {
	v := NewView()
	change := func(revision int64, key string, deleted bool) {
		s := fmt.Sprintf(`{"keyHashes":[%q]}`, HashKey(key))
		v.Apply([]Change{{Deleted: deleted, Revision: revision, Resource: &Resource{
			Kind: KindWorkspace, Metadata: Metadata{Name: "w"}, Spec: json.RawMessage(s),
		}}}, revision)
	}
	check := func(key string, want bool) {
		t.Helper()
		if got := v.WorkspaceByKey(key) != nil; got != want {
			t.Errorf("key %s: got %v, want %v", key, got, want)
		}
	}
	change(1, "old", false)
	check("old", true)
	change(2, "new", false)
	check("old", false)
	check("new", true)
	change(3, "new", true)
	check("new", false)
	check("", false)
}

// TestViewAgainstNaive merges changes in random order, with repetitions, and compares the view
// with a map of the newest change of each resource.
func TestViewAgainstNaive(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		v := NewView()
		naive := make(map[string]Change)
		top := int64(0)
		for range rapid.IntRange(1, 40).Draw(t, "changes") {
			n := rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "name")
			r := int64(rapid.IntRange(1, 60).Draw(t, "revision"))
			c := Change{Deleted: rapid.Bool().Draw(t, "deleted"), Revision: r, Resource: &Resource{Kind: KindPriority, Metadata: Metadata{Name: n}, Spec: []byte("{}")}}
			v.Apply([]Change{c}, r)
			top = max(top, r)
			if naive[n].Revision < r {
				naive[n] = c
			}
			after := int64(rapid.IntRange(0, 60).Draw(t, "after"))
			got, revision := v.Since(after)
			if revision != top {
				t.Fatalf("revision: got %d, want %d", revision, top)
			}
			newest := make(map[string]int64)
			for _, x := range got {
				if x.Revision <= after {
					t.Fatalf("since %d: got revision %d", after, x.Revision)
				}
				newest[x.Resource.Metadata.Name] = x.Revision
			}
			for n, x := range naive {
				if x.Revision > after && newest[n] != x.Revision {
					t.Fatalf("since %d: %s: got %d, want %d", after, n, newest[n], x.Revision)
				}
				if g := v.Get(KindPriority, n); (g == nil) != x.Deleted {
					t.Fatalf("%s: got %v, want deleted %v", n, g, x.Deleted)
				}
			}
		}
	})
}

// FuzzRead checks that Read does not panic on any input.
func FuzzRead(f *testing.F) {
	f.Add([]byte(`[{"kind":"Model","metadata":{"name":"m"},"spec":{"maxTokens":1}}]`))
	f.Add([]byte(`{"kind":"Upstream","spec":{"address":"http://[::1]:1"}} {`))
	f.Add([]byte(`[[[1,null,"x"]]]`))
	f.Fuzz(func(t *testing.T, b []byte) {
		l, faults := Read(b)
		if len(faults) > 0 && faults.ErrorIn("f").Error() == "" {
			t.Error("got faults without a message")
		}
		for _, r := range l {
			if r == nil {
				t.Error("got a nil resource")
			}
		}
	})
}

// TestRemovalsReachBoxesThroughThoseThatNeverSawThem checks that a box learns of a removal from a
// box that never saw the removed resource: it read the source only before the resource was added
// and after it was removed.
func TestRemovalsReachBoxesThroughThoseThatNeverSawThem(t *testing.T) {
	snapshot := func(s Source, revision int64, names ...string) *Batch {
		b := &Batch{Revision: revision, Source: s, Snapshot: true}
		for _, n := range names {
			b.Changes = append(b.Changes, Change{Revision: revision, Resource: &Resource{Kind: KindPriority, Metadata: Metadata{Name: n}, Spec: json.RawMessage(`{"value":1}`)}})
		}
		return b
	}
	for _, s := range []Source{SourceConfiguration, SourceUpstreams} {
		behind, ahead := NewView(), NewView()
		behind.Merge(snapshot(s, 5, "stays", "goes"))
		ahead.Merge(snapshot(s, 3, "stays")) // before "goes" was added
		ahead.Merge(snapshot(s, 9, "stays"))
		ahead.Merge(&Batch{Revision: 12, Source: s, Changes: []Change{{Revision: 12, Resource: &Resource{Kind: KindPriority, Metadata: Metadata{Name: "comes"}, Spec: json.RawMessage(`{"value":1}`)}}}})
		l := ahead.Missing(behind.Revisions())
		for i := range l {
			behind.Merge(&l[i])
		}
		for n, want := range map[string]bool{"stays": true, "goes": false, "comes": true} {
			if got := behind.Get(KindPriority, n) != nil; got != want {
				t.Errorf("%s: %s: got %v, want %v", s, n, got, want)
			}
		}
		if got, want := behind.Revisions()[s], int64(12); got != want {
			t.Errorf("%s: revision: got %d, want %d", s, got, want)
		}
	}
}

// TestCatchingUpEnds checks that a box that has merged all that another one sent is not behind it
// any longer, even if the last change was a removal that it never saw.
func TestCatchingUpEnds(t *testing.T) {
	ahead, behind := NewView(), NewView()
	snapshot := func(names ...string) *Batch {
		b := &Batch{Source: SourceUpstreams, Snapshot: true}
		for i, n := range names {
			b.Changes = append(b.Changes, Change{Revision: int64(i + 1), Resource: &Resource{Kind: KindPriority, Metadata: Metadata{Name: n}, Spec: json.RawMessage(`{"value":1}`)}})
		}
		return b
	}
	first, second := snapshot("a", "b"), snapshot("a")
	first.Revision, second.Revision = 20, 30
	ahead.Merge(first)
	ahead.Merge(second)
	l := ahead.Missing(behind.Revisions())
	for i := range l {
		behind.Merge(&l[i])
	}
	if behind.Revisions().Behind(ahead.Revisions()) {
		t.Errorf("got revisions %v, want %v", behind.Revisions(), ahead.Revisions())
	}
}

// TestViewsAgreeWhicheverWayNewsComes gives random boxes some versions of a configuration and lets
// random pairs catch up. In the end, each box must hold exactly the newest version, however many
// it missed.
func TestViewsAgreeWhicheverWayNewsComes(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const boxes = 4
		views := make([]*View, boxes)
		for i := range views {
			views[i] = NewView()
		}
		var newest map[string]int
		revision := int64(0)
		for range rapid.IntRange(1, 12).Draw(t, "versions") {
			revision += int64(rapid.IntRange(1, 5).Draw(t, "step"))
			newest = rapid.MapOfN(rapid.SampledFrom([]string{"a", "b", "c", "d"}), rapid.IntRange(0, 1), 1, 4).Draw(t, "configuration")
			b := &Batch{Revision: revision, Source: SourceConfiguration, Snapshot: true}
			for n, value := range newest {
				b.Changes = append(b.Changes, Change{Revision: revision, Resource: &Resource{
					Kind: KindPriority, Metadata: Metadata{Name: n}, Spec: json.RawMessage(fmt.Sprintf(`{"value":%d}`, value)),
				}})
			}
			views[rapid.IntRange(0, boxes-1).Draw(t, "reader")].Merge(b)
			for range rapid.IntRange(0, 3).Draw(t, "catch-ups") {
				catchUp(views[rapid.IntRange(0, boxes-1).Draw(t, "from")], views[rapid.IntRange(0, boxes-1).Draw(t, "to")])
			}
		}
		for range boxes { // spread the newest version around the ring
			for i := range views {
				catchUp(views[i], views[(i+1)%boxes])
			}
		}
		for i, v := range views {
			if got := len(v.List(KindPriority)); got != len(newest) {
				t.Errorf("box %d: got %d resources, want %d", i, got, len(newest))
			}
			for n, value := range newest {
				if r := v.Get(KindPriority, n); r == nil || string(r.Spec) != fmt.Sprintf(`{"value":%d}`, value) {
					t.Errorf("box %d: %s: got %+v, want value %d", i, n, r, value)
				}
			}
			if got := v.Revisions()[SourceConfiguration]; got != revision {
				t.Errorf("box %d: revision: got %d, want %d", i, got, revision)
			}
		}
	})
}

func catchUp(from, to *View) {
	if !to.Revisions().Behind(from.Revisions()) {
		return
	}
	l := from.Missing(to.Revisions())
	for i := range l {
		to.Merge(&l[i])
	}
}
