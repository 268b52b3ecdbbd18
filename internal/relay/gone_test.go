package relay_test

import (
	"context"
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"github.com/linetiller/linetiller/internal/fake/routed"
	"github.com/linetiller/linetiller/internal/placement"
	"github.com/linetiller/linetiller/internal/policy"
)

// disconnectTimeout is how long after a caller's disconnect an upstream may still receive or run its request.
const disconnectTimeout = 500 * time.Millisecond

// TestNothingIsSentForACallerThatIsGone has callers disconnect at each point where a request
// may wait: for a place, for a silent upstream, before a retry, and while a broken stream is
// resumed elsewhere. Half a second later no upstream may run the request, and none may
// receive it from then on.
func TestNothingIsSentForACallerThatIsGone(t *testing.T) {
	for _, x := range []struct {
		name    string
		prepare func(r *rig)
		request func(ctx context.Context) *http.Request
		after   time.Duration // when the caller disconnects
	}{
		{"waiting for a place", func(r *rig) { r.relay.Place = delayedPlace(r, 2*time.Second) }, func(ctx context.Context) *http.Request { return planRequest(ctx, "id", 400) }, time.Second},
		{"a place comes as it leaves", func(r *rig) { r.relay.Place = delayedPlace(r, time.Second) }, func(ctx context.Context) *http.Request { return planRequest(ctx, "id", 400) }, time.Second},
		{"a silent service", func(r *rig) { r.setFaults("s", routed.Faults{Silent: true}) }, repeatableCall, 300 * time.Millisecond},
		{"a service that fails", func(r *rig) { r.setFaults("s", routed.Faults{Status: http.StatusInternalServerError}) }, repeatableCall, time.Millisecond},
		{"a silent engine", func(r *rig) { r.setFaults("u", routed.Faults{Silent: true}) }, func(ctx context.Context) *http.Request { return planRequest(ctx, "id", 400) }, 300 * time.Millisecond},
		{"a stream that is resumed", func(r *rig) { r.setFaults("u", routed.Faults{CutAfter: 10}) }, func(ctx context.Context) *http.Request { return checkRequest(ctx, 2000) }, 700 * time.Millisecond},
		{"a stream that stalls", func(r *rig) { r.setFaults("u", routed.Faults{StallAfter: 5}) }, func(ctx context.Context) *http.Request { return checkRequest(ctx, 2000) }, 1500 * time.Millisecond},
	} {
		t.Run(x.name, func(t *testing.T) {
			withRig(t, 2, 2, func(t *testing.T, r *rig) {
				x.prepare(r)
				ctx, cancel := context.WithCancel(t.Context())
				defer cancel()
				go func() { _, _ = r.readStream(x.request(ctx), nil) }()
				time.Sleep(x.after)
				cancel()
				time.Sleep(disconnectTimeout)
				synctest.Wait()
				arrived := r.requestsArrived()
				for n, e := range r.engines {
					if got := e.RunningRequests(); got != 0 {
						t.Errorf("%s: running requests: got %d, want 0", n, got)
					}
				}
				time.Sleep(10 * time.Second)
				if got := r.requestsArrived(); got != arrived {
					t.Errorf("requests that arrived later: got %d, want 0", got-arrived)
				}
			})
		})
	}
}

// repeatableCall returns a request to a route that allows retries.
func repeatableCall(ctx context.Context) *http.Request {
	return request(ctx, http.MethodGet, "/often/x", "id", "")
}

// delayedPlace returns a Place function that takes d, as when requests wait in a queue.
func delayedPlace(r *rig, d time.Duration) func(context.Context, *policy.Work, map[string]bool) (*placement.Place, error) {
	return func(ctx context.Context, w *policy.Work, avoid map[string]bool) (*placement.Place, error) {
		select {
		case <-ctx.Done():
			return nil, ctx.Err()
		case <-time.After(d):
			return r.place(ctx, w, avoid)
		}
	}
}

// requestsArrived returns the number of requests that all upstreams together have received.
func (r *rig) requestsArrived() int {
	n := 0
	for _, e := range r.engines {
		n += len(e.Requests())
	}
	return n
}

// setFaults sets the faults of all upstreams of a kind, which is the first letter of their names.
func (r *rig) setFaults(kind string, f routed.Faults) {
	for n, e := range r.engines {
		if n[:1] == kind {
			e.SetFaults(f)
		}
	}
}
