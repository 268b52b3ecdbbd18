package ownership

import (
	"fmt"
	"log/slog"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/linetiller/linetiller/internal/box"
	"github.com/linetiller/linetiller/internal/member"
	"github.com/linetiller/linetiller/internal/metric"
	"github.com/linetiller/linetiller/internal/policy"
	"github.com/linetiller/linetiller/internal/resource"
)

// BenchmarkAssign recomputes the upstreams of one box after a change of the boxes, in a hall of
// 100 boxes and 1,000 engines, out of 300 boxes and 3,000 engines in total.
func BenchmarkAssign(b *testing.B) {
	m := member.NewTable(box.Member{Hall: "h0", Name: "box-0", State: box.StateServing})
	var l []box.Member
	for i := range 300 {
		l = append(l, box.Member{Hall: fmt.Sprint("h", i%3), Name: fmt.Sprint("box-", i), State: box.StateServing})
	}
	m.ApplyList(l, time.Now())
	v := resource.NewView()
	var c []resource.Change
	for i := range 3000 {
		s := fmt.Sprintf(`{"address":"http://10.0.0.1:%d","hall":"h%d","kvTokens":60000,"maxBatch":100,"models":["m"],"type":"engine"}`, i, i%3)
		c = append(c, resource.Change{Revision: int64(i + 1), Resource: &resource.Resource{Kind: resource.KindUpstream, Metadata: resource.Metadata{Name: fmt.Sprint("engine-", i)}, Spec: []byte(s)}})
	}
	v.Apply(c, 3000)
	o := New(v, m, policy.NewLengths(), metric.NewSet(), slog.New(slog.DiscardHandler))
	now := time.Now()
	for b.Loop() {
		now = now.Add(assignInterval)
		o.assignedMembers--
		o.assign(now)
	}
}

// TestAssignmentAfterEachChange guards against an upstream that keeps its owner, or gets none,
// because the assignment after a change looks only at what changed.
func TestAssignmentAfterEachChange(t *testing.T) {
	for seed := range uint64(6) {
		r := rand.New(rand.NewPCG(seed, 3))
		m := member.NewTable(box.Member{Hall: "h0", Name: "box-0", State: box.StateServing})
		v := resource.NewView()
		o := New(v, m, policy.NewLengths(), metric.NewSet(), slog.New(slog.DiscardHandler))
		now := time.Now()
		for i := range int64(1500) {
			switch r.IntN(4) {
			case 0:
				n := r.IntN(8)
				m.RecordContact(box.Member{Hall: fmt.Sprint("h", n%2), Name: fmt.Sprint("box-", n), State: box.StateServing}, now)
			case 1:
				m.RecordFailure(fmt.Sprint("box-", 1+r.IntN(7)), now, now)
			default:
				n := r.IntN(60)
				s := fmt.Sprintf(`{"address":"http://10.0.0.1:%d","hall":"h%d","kvTokens":60000,"maxBatch":100,"models":["m"],"type":"engine","leaving":%v}`, n, r.IntN(2), r.IntN(3) == 0)
				v.Apply([]resource.Change{{Deleted: r.IntN(5) == 0, Revision: i + 1, Resource: &resource.Resource{Kind: resource.KindUpstream, Metadata: resource.Metadata{Name: fmt.Sprint("engine-", n)}, Spec: []byte(s)}}}, i+1)
			}
			now = now.Add(assignInterval)
			o.assign(now)
			for n := range 60 {
				name := fmt.Sprint("engine-", n)
				u, x := v.Upstream(name), o.get(name)
				want := u != nil && u.Spec.Hall == "h0" && o.Owns(u)
				if got := x != nil && x.assigned; got != want {
					t.Fatalf("seed %d, change %d, %s: got assigned %v, want %v", seed, i, name, got, want)
				}
				if want && x.owner.Leaving != u.IsLeaving() && !x.owner.Leaving {
					t.Fatalf("seed %d, change %d, %s: its owner does not know that it is leaving", seed, i, name)
				}
			}
		}
	}
}
