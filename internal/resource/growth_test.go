package resource

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
)

// scanSince returns what View.since returns, by a scan of all resources.
func scanSince(v *View, s Source, r int64) []Change {
	logs := v.logs
	v.logs = map[Source]*changeLog{s: {floor: 1 << 62}}
	defer func() { v.logs = logs }()
	return v.since(s, r, v.outgoing)
}

// randomBatch returns a batch of up to four changes of upstreams, some of them removals, tentative
// or out of order.
func randomBatch(r *rand.Rand, revision int64, names int) *Batch {
	b := &Batch{Revision: revision, Source: SourceUpstreams, Snapshot: r.IntN(50) == 0, Tentative: r.IntN(20) == 0}
	for i := range 1 + r.IntN(4) {
		n := fmt.Sprint("u", r.IntN(names))
		spec := fmt.Sprintf(`{"address":"http://10.0.0.1:%d","hall":"a","models":["m%d"],"service":"s%d","type":"engine"}`, r.IntN(9), r.IntN(3), r.IntN(3))
		b.Changes = append(b.Changes, Change{
			Deleted: r.IntN(4) == 0, Revision: revision - int64(i), Tentative: b.Tentative,
			Resource: &Resource{Kind: KindUpstream, Metadata: Metadata{Name: n}, Spec: []byte(spec)},
		})
	}
	return b
}

// TestChangesSinceEqualAScan guards against a change that is missing from the log of a source, so
// that boxes which fetch changes from another never get it.
func TestChangesSinceEqualAScan(t *testing.T) {
	for seed := range uint64(8) {
		r := rand.New(rand.NewPCG(seed, 1))
		v := NewView()
		revision := int64(10)
		for i := range 3 * maxLoggedChanges {
			revision += int64(r.IntN(3))
			v.Merge(randomBatch(r, revision, 400))
			if i%97 != 0 {
				continue
			}
			after := revision - r.Int64N(revision)
			if r.IntN(2) == 0 {
				after = revision - int64(r.IntN(20))
			}
			got, want := v.since(SourceUpstreams, after, v.outgoing), scanSince(v, SourceUpstreams, after)
			if !slices.EqualFunc(got, want, func(a, b Change) bool {
				return a.Resource == b.Resource && a.Revision == b.Revision && a.Deleted == b.Deleted
			}) {
				t.Fatalf("seed %d, batch %d: changes after %d: got %d, want %d", seed, i, after, len(got), len(want))
			}
		}
	}
}

// TestListsEqualAScan guards against a list of a model's or service's upstreams that misses a
// change, since lists are updated and not built anew.
func TestListsEqualAScan(t *testing.T) {
	for seed := range uint64(8) {
		r := rand.New(rand.NewPCG(seed, 2))
		v := NewView()
		for i := range int64(2000) {
			v.Merge(randomBatch(r, 10+i, 60))
			for n := range 3 {
				model, service := fmt.Sprint("m", n), fmt.Sprint("s", n)
				if got, want := v.UpstreamsOfModel(model), v.Upstreams(func(u *Upstream) bool { return slices.Contains(u.Spec.Models, model) }); !slices.Equal(got, want) {
					t.Fatalf("seed %d, batch %d: upstreams of model %s: got %d, want %d", seed, i, model, len(got), len(want))
				}
				if got, want := v.UpstreamsOfService(service), v.Upstreams(func(u *Upstream) bool { return u.Spec.Service == service }); !slices.Equal(got, want) {
					t.Fatalf("seed %d, batch %d: upstreams of service %s: got %d, want %d", seed, i, service, len(got), len(want))
				}
			}
		}
	}
}

// TestChangesOfAListOf20000 guards against work for one change that grows with the number of
// upstreams: what changed is found without a look at the others.
func TestChangesOfAListOf20000(t *testing.T) {
	v := NewView()
	b := &Batch{Revision: 20000, Snapshot: true, Source: SourceUpstreams}
	for i := range 20000 {
		b.Changes = append(b.Changes, upstreamAt(i, int64(i+1)))
	}
	v.Merge(b)
	before := v.Version()
	v.Merge(&Batch{Revision: 20001, Source: SourceUpstreams, Changes: []Change{upstreamAt(7, 20001)}})
	if got, want := len(v.candidatesSince(SourceUpstreams, 20000)), 1; got != want {
		t.Errorf("resources looked at for one change: got %d, want %d", got, want)
	}
	names, _, ok := v.ChangedUpstreams(before)
	if want := []string{"u7"}; !ok || !slices.Equal(names, want) {
		t.Errorf("changed upstreams: got %v, %v, want %v", names, ok, want)
	}
	if _, _, ok := v.ChangedUpstreams(0); ok {
		t.Error("changes of a list that was read as a whole are known one by one, want not")
	}
}

func upstreamAt(i int, revision int64) Change {
	return Change{Revision: revision, Resource: &Resource{Kind: KindUpstream, Metadata: Metadata{Name: fmt.Sprint("u", i)}, Spec: []byte(`{"address":"http://10.0.0.1:1","hall":"a","models":["m"],"type":"engine"}`)}}
}
