package resource

import (
	"encoding/json"
	"fmt"
	"testing"
	"time"
)

// evacuate declares or withdraws an evacuation of a hall under a resource name.
func evacuate(v *View, revision int64, name, hall string, withdrawn bool) {
	s := json.RawMessage(fmt.Sprintf(`{"hall":%q}`, hall))
	v.Merge(&Batch{Revision: revision, Source: SourceEvacuations, Changes: []Change{{
		Deleted: withdrawn, Revision: revision, Resource: &Resource{Kind: KindEvacuation, Metadata: Metadata{Name: name}, Spec: s},
	}}})
}

// TestEvacuationCoversItsHall declares and withdraws evacuations. Upstreams in an evacuated hall,
// including those that join later, must accept no new work but keep what runs. A hall named by two
// evacuations stays evacuated until both are withdrawn.
func TestEvacuationCoversItsHall(t *testing.T) {
	v, now := NewView(), time.Now()
	addUpstream := func(revision int64, name, hall string) {
		s := json.RawMessage(fmt.Sprintf(`{"address":"http://127.0.0.1:1","hall":%q,"models":["m"],"service":"desk"}`, hall))
		v.Merge(&Batch{Revision: revision, Source: SourceUpstreams, Changes: []Change{{
			Revision: revision, Resource: &Resource{Kind: KindUpstream, Metadata: Metadata{Name: name}, Spec: s},
		}}})
	}
	addUpstream(1, "a1", "a")
	addUpstream(2, "b1", "b")
	checkAccepts := func(step string, want map[string]bool) {
		t.Helper()
		for n, w := range want {
			u := v.Upstream(n)
			if got := u.AcceptsWork(now); got != w || !u.KeepsWork(now) {
				t.Errorf("%s: %s: got accepts work %v, keeps work %v; want %v, true", step, n, got, u.KeepsWork(now), w)
			}
		}
		for _, u := range v.UpstreamsOfService("desk") {
			if u.AcceptsWork(now) != want[u.Name] {
				t.Errorf("%s: %s in its service's list: got accepts work %v, want %v", step, u.Name, u.AcceptsWork(now), want[u.Name])
			}
		}
	}
	checkAccepts("no evacuation", map[string]bool{"a1": true, "b1": true})
	evacuate(v, 3, "one", "a", false)
	checkAccepts("a evacuated", map[string]bool{"a1": false, "b1": true})
	addUpstream(4, "a2", "a")
	checkAccepts("an upstream joins a", map[string]bool{"a1": false, "a2": false, "b1": true})
	since := v.Upstream("a1").EvacuatedAt
	evacuate(v, 5, "two", "a", false)
	evacuate(v, 6, "three", "b", false)
	checkAccepts("a twice and b evacuated", map[string]bool{"a1": false, "a2": false, "b1": false})
	evacuate(v, 7, "one", "a", true)
	evacuate(v, 8, "three", "b", true)
	checkAccepts("one evacuation of a left", map[string]bool{"a1": false, "a2": false, "b1": true})
	if got := v.Upstream("a1").EvacuatedAt; got != since {
		t.Errorf("evacuated since: got %v, want %v", got, since)
	}
	evacuate(v, 9, "two", "a", true)
	checkAccepts("both withdrawn", map[string]bool{"a1": true, "a2": true, "b1": true})
	evacuate(v, 10, "two", "a", false)
	checkAccepts("a evacuated again", map[string]bool{"a1": false, "a2": false, "b1": true})
}
