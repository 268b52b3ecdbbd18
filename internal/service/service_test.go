package service

import (
	"context"
	"fmt"
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"github.com/joomcode/errorx"

	"github.com/linetiller/linetiller/internal/fail"
	"github.com/linetiller/linetiller/internal/fake/link"
	fakeservice "github.com/linetiller/linetiller/internal/fake/service"
	"github.com/linetiller/linetiller/internal/metric"
	"github.com/linetiller/linetiller/internal/resource"
	"github.com/linetiller/linetiller/internal/upstream"
)

// withRouter runs f in virtual time with a router for a service with two upstreams.
func withRouter(t *testing.T, f func(t *testing.T, r *Router, l *link.Link, upstreams []*fakeservice.Service)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		l, v := link.New(), resource.NewView()
		var changes []resource.Change
		var upstreams []*fakeservice.Service
		for i := range 2 {
			n := fmt.Sprint("desk-", i)
			x := fakeservice.New()
			upstreams = append(upstreams, x)
			l.Handle(n, x)
			spec := fmt.Sprintf(`{"address":"http://%s","hall":"a","service":"desk","type":"service"}`, n)
			changes = append(changes, resource.Change{Revision: int64(i + 1), Resource: &resource.Resource{Kind: resource.KindUpstream, Metadata: resource.Metadata{Name: n}, Spec: []byte(spec)}})
		}
		v.Apply(changes, 2)
		r := NewRouter(v, nil, metric.NewSet())
		r.Do = upstream.NewClient(time.Second, upstream.WithTransport(l)).Call
		f(t, r, l, upstreams)
	})
}

// get calls the service with a deadline in one second.
func (r *Router) get(ctx context.Context) (*Answer, error) {
	return r.Call(ctx, &Call{Deadline: time.Now().Add(time.Second), Header: make(http.Header), Method: http.MethodGet, Path: "/x", Service: "desk"})
}

// TestServiceThatAsksForRestGetsNone checks that an upstream that rejects a call and requests back-off
// gets no further calls until the back-off ends, and that calls are refused at once with a retry time
// while both upstreams back off.
func TestServiceThatAsksForRestGetsNone(t *testing.T) {
	withRouter(t, func(t *testing.T, r *Router, _ *link.Link, upstreams []*fakeservice.Service) {
		upstreams[0].SetRetryAfter(3 * time.Second)
		for range 100 {
			_, _ = r.get(t.Context())
			time.Sleep(20 * time.Millisecond)
		}
		if got, want := upstreams[0].Refusals(), 1; got != want {
			t.Errorf("rejected calls: got %d, want %d", got, want)
		}
		upstreams[1].SetRetryAfter(3 * time.Second)
		_, _ = r.get(t.Context())
		_, err := r.get(t.Context())
		if got, maxDelay := time.Until(fail.RetryAt(err)), time.Second; fail.Reason(err) != "resting" || got <= 0 || got > maxDelay {
			t.Errorf("both backing off: got %v, retry in %s; want reason resting, retry within %s", err, got, maxDelay)
		}
		upstreams[0].SetRetryAfter(0)
		time.Sleep(2 * time.Second)
		if a, err := r.get(t.Context()); err != nil || a.Status != http.StatusOK {
			t.Errorf("after the back-off: got %+v, %v; want 200", a, err)
		}
	})
}

// TestServiceAtRestWhileTheOtherFails checks that a call fails with a reason when one upstream backs
// off and the other cannot be reached.
func TestServiceAtRestWhileTheOtherFails(t *testing.T) {
	withRouter(t, func(t *testing.T, r *Router, l *link.Link, upstreams []*fakeservice.Service) {
		upstreams[0].SetRetryAfter(3 * time.Second)
		for upstreams[0].Refusals() == 0 {
			_, _ = r.get(t.Context())
		}
		l.SetDown("desk-1", true)
		if a, err := r.get(t.Context()); a != nil || fail.Reason(err) == "" || fail.Reason(err) == "internal" {
			t.Errorf("got %+v, %v; want an error with its reason", a, err)
		}
	})
}

// TestServiceInTheRegions guards against a call of a workspace that is restricted to regions and runs
// at an upstream of another hall, or waits where none is allowed.
func TestServiceInTheRegions(t *testing.T) {
	withRouter(t, func(t *testing.T, r *Router, _ *link.Link, _ []*fakeservice.Service) {
		for _, x := range []struct {
			halls []string
			want  string // reason of the refusal, "" if it is served
		}{{nil, ""}, {[]string{"b", "a"}, ""}, {[]string{"b"}, "region"}, {[]string{}, "region"}} {
			_, err := r.Call(t.Context(), &Call{Deadline: time.Now().Add(time.Second), Halls: x.halls, Header: make(http.Header), Method: http.MethodGet, Path: "/x", Service: "desk"})
			if (err == nil) != (x.want == "") || (err != nil && (fail.Reason(err) != x.want || !errorx.IsOfType(err, fail.NotRun))) {
				t.Errorf("halls %q: got %v, want reason %q", x.halls, err, x.want)
			}
		}
	})
}
