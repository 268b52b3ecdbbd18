package ownership

import (
	"fmt"
	"log/slog"
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
