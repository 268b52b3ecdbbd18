package resource

import (
	"encoding/json"
	"fmt"
	"reflect"
	"testing"

	"pgregory.net/rapid"
)

// drawChange draws a change of one of a few resources that refer to each other.
func drawChange(t *rapid.T, revision int64) Change {
	kind := rapid.SampledFrom([]Kind{KindPriority, KindRoute, KindService, KindUpstream, KindWorkspace}).Draw(t, "kind")
	name := fmt.Sprint(kind, "-", rapid.IntRange(0, 2).Draw(t, "name"))
	n := rapid.IntRange(0, 2).Draw(t, "value")
	var spec any
	switch kind {
	case KindPriority:
		spec = PrioritySpec{Value: n}
	case KindRoute:
		spec = RouteSpec{Host: "h", PathPrefix: fmt.Sprintf("/%d/", n), Priority: fmt.Sprint(KindPriority, "-", n)}
	case KindService:
		spec = ServiceSpec{Engine: &EngineSpec{KVTokens: 100 * (n + 1), Models: []string{"m"}}}
	case KindUpstream:
		spec = UpstreamSpec{Leaving: n == 2, Models: []string{fmt.Sprint("m-", n)}, Service: fmt.Sprint(KindService, "-", n)}
	default:
		spec = WorkspaceSpec{KeyHashes: []string{HashKey(fmt.Sprint("key-", n))}, Priority: fmt.Sprint(KindPriority, "-", n)}
	}
	b, err := json.Marshal(spec)
	if err != nil {
		t.Fatal(err)
	}
	return Change{
		Deleted: rapid.IntRange(0, 3).Draw(t, "deleted") == 0, Revision: revision,
		Resource: &Resource{Kind: kind, Metadata: Metadata{Name: name}, Spec: b},
	}
}

// lookups returns the results of every lookup of the resources that drawChange can draw.
func lookups(v *View) []any {
	var l []any
	for i := range 3 {
		l = append(l, v.UpstreamsOfModel(fmt.Sprint("m-", i)), v.UpstreamsOfService(fmt.Sprint(KindService, "-", i)),
			v.Upstream(fmt.Sprint(KindUpstream, "-", i)), v.Service(fmt.Sprint(KindService, "-", i)), v.WorkspaceByKey(fmt.Sprint("key-", i)))
		if r := v.Route("h", fmt.Sprintf("/%d/x", i)); r != nil {
			l = append(l, r.Spec, r.Priority)
		}
	}
	return l
}

func routeName(v *View, i int) string {
	if r := v.Route("h", fmt.Sprintf("/%d/x", i)); r != nil {
		return r.Name
	}
	return ""
}

// naiveRoute finds a route by a linear search of all resources.
func naiveRoute(t *rapid.T, v *View, i int) string {
	for _, r := range v.List(KindRoute) {
		s, err := Decode[RouteSpec](r)
		if err != nil {
			t.Fatal(err)
		}
		if s.PathPrefix == fmt.Sprintf("/%d/", i) {
			return r.Metadata.Name
		}
	}
	return ""
}

// naiveCount counts the upstreams of a model by a linear search of all resources.
func naiveCount(t *rapid.T, v *View, i int) int {
	n := 0
	for _, r := range v.List(KindUpstream) {
		s, err := Decode[UpstreamSpec](r)
		if err != nil {
			t.Fatal(err)
		}
		if s.Models[0] == fmt.Sprint("m-", i) {
			n++
		}
	}
	return n
}

// TestIndexAgreesWithOneMadeAnew guards against stale indices: a view that got changes one by one,
// with lookups in between, must answer like one that got the resulting resources at once.
func TestIndexAgreesWithOneMadeAnew(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		v := NewView()
		for r := range int64(rapid.IntRange(1, 30).Draw(t, "changes")) {
			v.Apply([]Change{drawChange(t, r+1)}, r+1)
			lookups(v)
		}
		rebuilt := NewView()
		changes, revision := v.Since(0)
		rebuilt.Apply(changes, revision)
		if got, want := lookups(v), lookups(rebuilt); !reflect.DeepEqual(got, want) {
			t.Fatalf("got %+v, want %+v", got, want)
		}
		for i := range 3 {
			if got, want := routeName(v, i), naiveRoute(t, v, i); got != want {
				t.Fatalf("route of /%d/: got %q, want %q", i, got, want)
			}
			if got, want := len(v.UpstreamsOfModel(fmt.Sprint("m-", i))), naiveCount(t, v, i); got != want {
				t.Fatalf("upstreams of m-%d: got %d, want %d", i, got, want)
			}
		}
	})
}
