package health

import (
	"fmt"
	"testing"
	"time"

	"github.com/linetiller/linetiller/internal/fail"
	"github.com/linetiller/linetiller/internal/resource"
)

// addUpstreams adds n upstreams that started at startedAtMS to a view and returns them.
func addUpstreams(v *resource.View, n int, revision, startedAtMS int64) []*resource.Upstream {
	var changes []resource.Change
	for i := range n {
		m := resource.Metadata{Name: fmt.Sprintf("u-%04d", i)}
		spec := fmt.Sprintf(`{"hall":"a","service":"desk","type":"service","born":%d}`, startedAtMS)
		changes = append(changes, resource.Change{Revision: revision, Resource: &resource.Resource{Kind: resource.KindUpstream, Metadata: m, Spec: []byte(spec)}})
	}
	v.Apply(changes, revision)
	return v.UpstreamsOfService("desk")
}

// TestRests checks which of two upstreams are avoided, and when requests are refused. A requested
// back-off lasts until its end and applies to one instance of the upstream only. Rejections
// without a back-off period only count while another upstream is available.
func TestRests(t *testing.T) {
	now := time.Now()
	v := resource.NewView()
	l := addUpstreams(v, 2, 1, 5)
	a, b := l[0], l[1]
	at := now.Add
	r := NewBackoffs(v)
	check := func(when string, d time.Duration, avoided int, refusedFor time.Duration) {
		t.Helper()
		if got := len(r.Avoid(l, nil, at(d))); got != avoided {
			t.Errorf("%s: avoided: got %d, want %d", when, got, avoided)
		}
		err := r.AllBackingOffError(l, fail.Origin{}, at(d))
		if got := fail.RetryAt(err); (err != nil) != (refusedFor > 0) || (err != nil && !got.Equal(at(d+refusedFor))) {
			t.Errorf("%s: got %v until %v, want a refusal for %v", when, err, got, refusedFor)
		}
	}
	check("no back-off", 0, 0, 0)
	r.RecordBackoff(a, at(3*time.Second))
	check("one back-off", time.Second, 1, 0)
	r.RecordBackoff(a, at(2*time.Second))
	check("a later request for a shorter back-off", 2500*time.Millisecond, 1, 0)
	r.RecordBackoff(b, at(5*time.Second))
	check("both back off", 2*time.Second, 2, time.Second)
	check("the first back-off has ended", 3*time.Second, 1, 0)
	check("both back-offs have ended", 5*time.Second, 0, 0)

	r.RecordBackoff(a, at(9*time.Second))
	for i, want := range []bool{true, false} {
		if got := r.TakeProbe(a.Name, at(6*time.Second)); got != want {
			t.Errorf("probe %d during a back-off: got %v, want %v", i, got, want)
		}
	}
	l = addUpstreams(v, 2, 2, 6)
	check("the upstream has restarted", 6*time.Second, 0, 0)
	r.RecordRejection(a.Name, at(6*time.Second))
	check("one has rejected a request", 6100*time.Millisecond, 1, 0)
	r.RecordRejection(b.Name, at(6*time.Second))
	check("both have rejected a request", 6100*time.Millisecond, 0, 0)
	r.RecordSuccess(b.Name)
	check("the other one has run a request", 6100*time.Millisecond, 1, 0)
	check("after the first period", 6*time.Second+minRejectionBackoff, 0, 0)
	r.RecordRejection(a.Name, at(6*time.Second+minRejectionBackoff))
	check("a second rejection in a row", 6*time.Second+2*minRejectionBackoff, 1, 0)
	check("after the doubled period", 6*time.Second+3*minRejectionBackoff, 0, 0)
	check("after the streak has expired", time.Minute, 0, 0)
	if got := len(r.backoffs) + len(r.rejections); got != 0 {
		t.Errorf("entries left: got %d, want 0", got)
	}
}

// BenchmarkRests measures the cost per request with 1,000 upstreams: without back-offs, and with
// three back-offs and one upstream that rejected a request.
func BenchmarkRests(b *testing.B) {
	for _, throttled := range []int{0, 3} {
		b.Run(fmt.Sprint(throttled), func(b *testing.B) {
			now := time.Now()
			v := resource.NewView()
			l := addUpstreams(v, 1000, 1, 5)
			r := NewBackoffs(v)
			for i := range throttled {
				r.RecordBackoff(l[i], now.Add(time.Hour))
				r.RecordRejection(l[throttled].Name, now)
			}
			for b.Loop() {
				_ = r.AllBackingOffError(l, fail.Origin{}, now)
				_ = r.Avoid(l, nil, now)
			}
		})
	}
}
