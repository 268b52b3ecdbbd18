package relay_test

import (
	"context"
	"fmt"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/linetiller/linetiller/internal/fake/routed"
	"github.com/linetiller/linetiller/internal/metric"
	"github.com/linetiller/linetiller/internal/placement"
	"github.com/linetiller/linetiller/internal/policy"
)

// TestLimitIsLoggedOnce checks the log lines and counters for an upstream's rate limit: when it is
// first named, when it changes, when it cannot be parsed, and when it is lifted.
func TestLimitIsLoggedOnce(t *testing.T) {
	withRig(t, 0, 1, func(t *testing.T, r *rig) {
		call := func(limit string) {
			r.engines["s1"].SetLimit(limit)
			for i := range 3 {
				if _, _, err := r.do(request(r.t.Context(), http.MethodPost, "/once/x", fmt.Sprint(limit, i), "")); err != nil {
					t.Error(err)
				}
				time.Sleep(10 * time.Second)
			}
		}
		for _, l := range []string{"2.8", "3.2", "many", "2.8", ""} {
			call(l)
		}
		for event, want := range map[int64]int{320: 3, 321: 1, 322: 1} {
			if got := r.logs.count(event); got != want {
				t.Errorf("lines %d: got %d, want %d", event, got, want)
			}
		}
		for word, want := range map[string]uint64{"limit": 9, "limit_invalid": 3} {
			if got := r.metrics.Value(metric.UpstreamNotices, "word", word); got != want {
				t.Errorf("answers with %s: got %d, want %d", word, got, want)
			}
		}
	})
}

// TestMovedRunsTakePermits guards against moves that exceed the rate limit of the target engine, where
// there is no other engine to move to.
func TestMovedRunsTakePermits(t *testing.T) {
	withRig(t, 2, 0, func(t *testing.T, r *rig) {
		r.relay.Place = func(_ context.Context, w *policy.Work, avoid map[string]bool) (*placement.Place, error) {
			name := "u1"
			if w.ID == "first" || avoid[name] {
				name = "u2"
			}
			return &placement.Place{GrantedAt: time.Now(), Upstream: r.view.Upstream(name)}, nil
		}
		r.engines["u2"].SetLimit("0.2")
		if _, err := r.readStream(planRequest(t.Context(), "first", 40), nil); err != nil {
			t.Fatal(err)
		}
		time.Sleep(10 * time.Second)
		var g sync.WaitGroup
		var complete atomic.Int32
		for i := range 12 {
			g.Go(func() {
				if s, err := r.readStream(planRequest(t.Context(), fmt.Sprint("long-", i), 600), nil); err == nil && s.complete {
					complete.Add(1)
				}
			})
		}
		time.Sleep(time.Second)
		r.list("u1", "llm", true)
		time.Sleep(1500 * time.Millisecond)
		r.kill("u1")
		g.Wait()
		if violation := r.engines["u2"].LimitViolation(oneBox); violation != "" {
			t.Error(violation)
		}
		if got, minComplete := complete.Load(), int32(2); got < minComplete {
			t.Errorf("complete streams: got %d, want at least %d", got, minComplete)
		}
	})
}

// TestRetriesLeavePermitsToFirstAttempts guards against retries that use up the permits of a
// rate-limited upstream while there are other upstreams.
func TestRetriesLeavePermitsToFirstAttempts(t *testing.T) {
	withRig(t, 0, 3, func(t *testing.T, r *rig) {
		r.engines["s1"].SetFaults(routed.Faults{Status: http.StatusInternalServerError})
		r.engines["s2"].SetLimit("5")
		for i := range 400 {
			_, _, _ = r.do(request(t.Context(), http.MethodPost, "/often/x", fmt.Sprint("call-", i), ""))
			time.Sleep(500 * time.Millisecond)
		}
		failed := make(map[string]bool)
		for _, v := range r.engines["s1"].Arrivals() {
			failed[v.Request] = true
		}
		arrivals := r.engines["s2"].Arrivals()
		if got, minimum := len(failed), 1; got < minimum {
			t.Fatalf("requests that failed at first: got %d, want at least %d", got, minimum)
		}
		if got, minimum := len(arrivals), 10; got < minimum {
			t.Errorf("requests at the limited upstream: got %d, want at least %d", got, minimum)
		}
		for _, v := range arrivals[1:] { // the limit is not known before the first one
			if failed[v.Request] {
				t.Errorf("%s: got a retry at the limited upstream, want none", v.Request)
			}
		}
	})
}
