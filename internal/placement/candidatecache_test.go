package placement

import (
	"fmt"
	"testing"
	"time"

	"github.com/linetiller/linetiller/internal/box"
	"github.com/linetiller/linetiller/internal/member"
	"github.com/linetiller/linetiller/internal/policy"
	"github.com/linetiller/linetiller/internal/resource"
)

// testView returns a view of n engines in three halls, and a table of the boxes of the same
// halls.
func testView(n, boxes int) (*resource.View, *member.Table) {
	m := member.NewTable(box.Member{Hall: "h0", Name: "box-0", State: box.StateServing})
	var l []box.Member
	for i := range boxes {
		l = append(l, box.Member{Hall: fmt.Sprint("h", i%3), Name: fmt.Sprint("box-", i), State: box.StateServing})
	}
	m.ApplyList(l, time.Now())
	v := resource.NewView()
	for i := range n {
		declareEngine(v, i, int64(i+1), "")
	}
	return v, m
}

// declareEngine adds an engine to a view or replaces it; extra is appended to the JSON of its
// spec.
func declareEngine(v *resource.View, i int, revision int64, extra string) {
	s := fmt.Sprintf(`{"address":"http://10.0.0.1:%d","hall":"h%d","kvTokens":60000,"maxBatch":100,"models":["m"],"type":"engine"%s}`, i, i%3, extra)
	v.Apply([]resource.Change{{Revision: revision, Resource: &resource.Resource{Kind: resource.KindUpstream, Metadata: resource.Metadata{Name: fmt.Sprint("engine-", i)}, Spec: []byte(s)}}}, revision)
}

// candidateNames returns the set of names in a list.
func candidateNames(l []policy.Candidate) map[string]bool {
	m := make(map[string]bool)
	for _, x := range l {
		m[x.Name] = true
	}
	return m
}

// TestCandidatesFollowChanges guards against the use of an outdated cached list after an engine
// starts to leave, after its entry has lapsed for longer than the grace period, and after the
// last box of a hall has failed.
func TestCandidatesFollowChanges(t *testing.T) {
	v, m := testView(6, 3)
	c := newCandidateCache(v, m)
	w := &policy.Work{Model: "m"}
	now := time.Now()
	if got, want := len(c.get(w, now)), 6; got != want {
		t.Fatalf("candidates: got %d, want %d", got, want)
	}
	declareEngine(v, 1, 100, `,"leaving":true`)
	if got := candidateNames(c.get(w, now)); got["engine-1"] || len(got) != 5 {
		t.Errorf("engine leaving: got %v, want all but engine-1", got)
	}
	declareEngine(v, 3, 101, `,"lapsed":true`)
	if got := candidateNames(c.get(w, time.Now())); !got["engine-3"] {
		t.Errorf("entry just lapsed: got %v, want engine-3 among them", got)
	}
	if got := candidateNames(c.get(w, time.Now().Add(resource.LapseGracePeriod+time.Second))); got["engine-3"] {
		t.Errorf("entry lapsed for longer than LapseGracePeriod: got %v, want engine-3 not among them", got)
	}
	began := time.Now()
	m.RecordFailure("box-2", began, began.Add(time.Second))
	if got := candidateNames(c.get(w, now)); got["engine-2"] || got["engine-5"] {
		t.Errorf("no box left in h2: got %v, want none of its engines", got)
	}
}

// TestCandidatesKnowTheirHall checks that engines in another hall than the caller carry the
// cross-hall penalty, and those in the same hall do not.
func TestCandidatesKnowTheirHall(t *testing.T) {
	v, m := testView(4, 3)
	c := newCandidateCache(v, m)
	for hall, sameHall := range map[string]int{"": 2, "h0": 2, "h1": 1} {
		got := 0
		for _, x := range c.get(&policy.Work{Hall: hall, Model: "m"}, time.Now()) {
			if x.Penalty == 0 {
				got++
			}
		}
		if got != sameHall {
			t.Errorf("from hall %q: got %d candidates without penalty, want %d", hall, got, sameHall)
		}
	}
}
