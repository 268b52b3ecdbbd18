package relay_test

import (
	"context"
	"fmt"
	"net/http"
	"strconv"
	"sync"
	"testing"
	"time"

	"github.com/linetiller/linetiller/internal/fake/routed"
	"github.com/linetiller/linetiller/internal/placement"
	"github.com/linetiller/linetiller/internal/policy"
)

// oneBox is a routed.Sender that attributes all requests to one box. The zero time means that
// none was sent after the box should have stopped.
func oneBox(string) (box string, sentAt time.Time) { return "box", time.Time{} }

// TestUpstreamThatAsksForRestGetsNone guards against sending requests to an upstream that rejects
// them and asks the box for some seconds of back-off. One such upstream got eighteen requests in
// that time: the back-off was only returned to the refused caller and not recorded, so that the
// next first attempt chose the upstream again, even preferred it because it was never busy.
//
// All requests must be served by the other upstream, and the first one must be used again after
// its back-off.
func TestUpstreamThatAsksForRestGetsNone(t *testing.T) {
	const pace = 20 * time.Millisecond
	call := func(r *rig, i int) error {
		w, _, err := r.do(request(r.t.Context(), http.MethodPost, "/once/x", fmt.Sprint("call-", i), ""))
		if err == nil && w.StatusCode != http.StatusOK {
			err = fmt.Errorf("status %d", w.StatusCode)
		}
		return err
	}
	stream := func(r *rig, i int) error {
		s, err := r.readStream(planRequest(r.t.Context(), fmt.Sprint("plan-", i), 40), nil)
		if err == nil && !s.complete {
			err = fmt.Errorf("got %d events", s.events)
		}
		return err
	}
	for _, x := range []struct {
		name     string
		upstream string
		status   int
		backoff  time.Duration
		send     func(r *rig, i int) error
	}{
		{"a plain service", "s1", http.StatusServiceUnavailable, 3 * time.Second, call},
		{"a plain service that answers 429", "s1", http.StatusTooManyRequests, 3 * time.Second, call},
		{"an engine", "u1", http.StatusServiceUnavailable, 3 * time.Second, stream},
		{"longer than statistics are kept", "s1", http.StatusServiceUnavailable, 70 * time.Second, call},
	} {
		t.Run(x.name, func(t *testing.T) {
			withRig(t, 2, 2, func(t *testing.T, r *rig) {
				r.engines[x.upstream].SetFaults(routed.Faults{RefuseStatus: x.status, RetryAfter: x.backoff})
				var g sync.WaitGroup
				began, i := time.Now(), 0
				for ; time.Since(began) < x.backoff; i++ {
					number := i
					g.Go(func() {
						if err := x.send(r, number); err != nil {
							t.Errorf("request %d, %s after the first: %v", number, time.Since(began), err)
						}
					})
					time.Sleep(pace)
				}
				g.Wait()
				for _, l := range r.engines[x.upstream].NoticeViolations(oneBox, 0) {
					t.Error(l)
				}
				if got := len(r.engines[x.upstream].Arrivals()); got == 0 {
					t.Error("requests at the upstream that asks for back-off: got 0, want at least 1")
				}
				r.engines[x.upstream].SetFaults(routed.Faults{})
				time.Sleep(time.Second)
				before := len(r.engines[x.upstream].Arrivals())
				for range 50 {
					if err := x.send(r, i); err != nil {
						t.Errorf("request %d, after the back-off: %v", i, err)
					}
					i++
				}
				if got := len(r.engines[x.upstream].Arrivals()) - before; got == 0 {
					t.Error("requests at the upstream after its back-off: got 0, want some")
				}
			})
		})
	}
}

// TestAllUpstreamsRest checks that requests are refused at once, as not run, while all upstreams
// of a service have asked for back-off, and that Retry-After is the end of the first back-off.
func TestAllUpstreamsRest(t *testing.T) {
	withRig(t, 2, 2, func(t *testing.T, r *rig) {
		for n, backoff := range map[string]time.Duration{"s1": 3 * time.Second, "s2": 5 * time.Second, "u1": 3 * time.Second, "u2": 5 * time.Second} {
			r.engines[n].SetFaults(routed.Faults{RefuseStatus: http.StatusServiceUnavailable, RetryAfter: backoff})
		}
		send := func(id string) map[string]*response {
			once, _, err := r.do(request(t.Context(), http.MethodPost, "/once/x", "once-"+id, ""))
			if err != nil {
				t.Fatal(err)
			}
			stream, _, err := r.do(planRequest(t.Context(), "plan-"+id, 40))
			if err != nil {
				t.Fatal(err)
			}
			return map[string]*response{"call": once, "stream": stream}
		}
		send("first")
		began := time.Now()
		for i := range 20 {
			for kind, w := range send(strconv.Itoa(i)) {
				remaining := 3*time.Second - time.Since(began)
				retryAfter, err := strconv.ParseFloat(w.Header.Get("Retry-After"), 64)
				if w.StatusCode != http.StatusServiceUnavailable || err != nil || retryAfter < remaining.Seconds()-0.1 || retryAfter > remaining.Seconds()+0.1 {
					t.Errorf("%s %d: got %d, Retry-After %v s, %v; want 503 and %v", kind, i, w.StatusCode, retryAfter, err, remaining)
				}
			}
			time.Sleep(100 * time.Millisecond)
		}
		for n, e := range r.engines {
			if got := len(e.Arrivals()); got != 1 {
				t.Errorf("%s: got %d requests, want 1", n, got)
			}
		}
	})
}

// TestRestBeginsDuringAWait gives requests a place at an engine that has asked for back-off while
// they waited: they must go to another one, and that must not exhaust the retry budget.
func TestRestBeginsDuringAWait(t *testing.T) {
	withRig(t, 2, 0, func(t *testing.T, r *rig) {
		r.engines["u1"].SetFaults(routed.Faults{RefuseStatus: http.StatusServiceUnavailable, RetryAfter: 3 * time.Second})
		r.relay.Place = func(ctx context.Context, w *policy.Work, avoid map[string]bool) (*placement.Place, error) {
			u := r.firstFree(w, avoid)
			time.Sleep(time.Second)
			if u == nil {
				return r.place(ctx, w, avoid)
			}
			return &placement.Place{GrantedAt: time.Now(), Upstream: u}, nil
		}
		var g sync.WaitGroup
		for i := range 10 {
			g.Go(func() {
				if s, err := r.readStream(planRequest(t.Context(), fmt.Sprint("plan-", i), 40), nil); err != nil || !s.complete {
					t.Errorf("plan %d: got %+v %v, want a complete stream", i, s, err)
				}
			})
			time.Sleep(200 * time.Millisecond)
		}
		g.Wait()
		for _, l := range r.engines["u1"].NoticeViolations(oneBox, 0) {
			t.Error(l)
		}
	})
}

// TestUpstreamThatTurnsAllAwayGetsLittle guards against preferring an upstream that rejects every
// request with 503 and asks for no back-off. As it is never busy, least-loaded selection sent it
// more requests than the two others together, and a fifth of the requests of a small fleet was
// refused.
func TestUpstreamThatTurnsAllAwayGetsLittle(t *testing.T) {
	withRig(t, 0, 3, func(t *testing.T, r *rig) {
		r.engines["s1"].SetFaults(routed.Faults{RefuseStatus: http.StatusServiceUnavailable})
		const requests = 400
		served := 0
		for i := range requests {
			w, _, err := r.do(request(t.Context(), http.MethodPost, "/once/x", fmt.Sprint("id-", i), ""))
			if err == nil && w.StatusCode == http.StatusOK {
				served++
			}
			time.Sleep(25 * time.Millisecond)
		}
		if served != requests {
			t.Errorf("served: got %d, want all %d", served, requests)
		}
		got := len(r.engines["s1"].Arrivals())
		if maxArrivals := requests / 20; got == 0 || got > maxArrivals {
			t.Errorf("requests at the upstream: got %d, want some and at most %d", got, maxArrivals)
		}
		r.engines["s1"].SetFaults(routed.Faults{})
		time.Sleep(10 * time.Second)
		before := len(r.engines["s1"].Arrivals())
		for i := range 100 {
			_, _, _ = r.do(request(t.Context(), http.MethodPost, "/once/x", fmt.Sprint("later-", i), ""))
		}
		if got := len(r.engines["s1"].Arrivals()) - before; got < 10 {
			t.Errorf("of 100 requests once it serves again: got %d, want 10 or more", got)
		}
	})
}

// TestEngineThatTurnsAllAwayGetsLittle guards against preferring an engine that rejects every request,
// which would otherwise be chosen first. It must be tried only now and then, and be used again once
// all other engines reject requests.
func TestEngineThatTurnsAllAwayGetsLittle(t *testing.T) {
	withRig(t, 2, 0, func(t *testing.T, r *rig) {
		r.engines["u1"].SetFaults(routed.Faults{RefuseStatus: http.StatusServiceUnavailable})
		send := func(streams int, name string) (served int) {
			for i := range streams {
				if s, err := r.readStream(planRequest(t.Context(), fmt.Sprint(name, i), 4), nil); err == nil && s.complete {
					served++
				}
			}
			return served
		}
		const streams = 60
		if got := send(streams, "first-"); got != streams {
			t.Errorf("served: got %d, want all %d", got, streams)
		}
		if got := len(r.engines["u1"].Arrivals()); got == 0 || got > 8 {
			t.Errorf("requests at the engine in some 15 s: got %d, want 1 to 8", got)
		}
		r.engines["u1"].SetFaults(routed.Faults{})
		r.engines["u2"].SetFaults(routed.Faults{RefuseStatus: http.StatusServiceUnavailable})
		if got := send(20, "other-"); got != 20 {
			t.Errorf("served with the other one refusing: got %d, want all 20", got)
		}
	})
}

// TestMovedRunsSpareAnEngineAtRest stops two runs for moves to an engine that asks the box for
// back-off in the meantime. The runs must resume at their sources, which still have their memory,
// and be moved from there to another engine.
func TestMovedRunsSpareAnEngineAtRest(t *testing.T) {
	withRig(t, 4, 0, func(t *testing.T, r *rig) {
		at := map[string]string{"first": "u1", "second": "u2", "asker": "u3"}
		r.relay.Place = func(_ context.Context, w *policy.Work, avoid map[string]bool) (*placement.Place, error) {
			name := at[w.ID]
			if w.Moved || avoid[name] {
				name = "u3"
			}
			if avoid[name] {
				name = "u4"
			}
			return &placement.Place{GrantedAt: time.Now(), Upstream: r.view.Upstream(name)}, nil
		}
		for _, n := range []string{"u1", "u2"} {
			r.engines[n].SetFaults(routed.Faults{StopDelay: 500 * time.Millisecond})
		}
		var g sync.WaitGroup
		send := func(id string) {
			g.Go(func() {
				if s, err := r.readStream(planRequest(t.Context(), id, 600), nil); err != nil || !s.complete || s.events != 150 {
					t.Errorf("%s: got %+v %v, want a complete stream", id, s, err)
				}
			})
		}
		send("first")
		send("second")
		time.Sleep(time.Second)
		r.list("u1", "llm", true)
		r.list("u2", "llm", true)
		time.Sleep(500 * time.Millisecond) // by now both runs are copied, and the orders to stop them are under way
		r.engines["u3"].SetFaults(routed.Faults{RefuseStatus: http.StatusServiceUnavailable, RetryAfter: 5 * time.Second})
		send("asker")
		g.Wait()
		if got := len(r.engines["u3"].Arrivals()); got != 1 {
			t.Errorf("requests at the engine that asked for back-off: got %d, want 1, which it rejected", got)
		}
	})
}

// TestFaultOfARequestKeepsNobodyAway has an engine and a service reject requests as invalid without
// running them: this must not count against the upstreams, which are used as before.
func TestFaultOfARequestKeepsNobodyAway(t *testing.T) {
	withRig(t, 2, 2, func(t *testing.T, r *rig) {
		for _, n := range []string{"u1", "s1"} {
			r.engines[n].SetFaults(routed.Faults{RefuseStatus: http.StatusBadRequest})
		}
		for i := range 200 {
			_, _, _ = r.do(planRequest(t.Context(), fmt.Sprint("bad-plan-", i), 4))
			_, _, _ = r.do(request(t.Context(), http.MethodPost, "/once/x", fmt.Sprint("bad-call-", i), ""))
		}
		if got, minimum := len(r.engines["u1"].Arrivals()), 200; got < minimum {
			t.Errorf("streams at the engine: got %d, want %d", got, minimum)
		}
		if got, minimum := len(r.engines["s1"].Arrivals()), 50; got < minimum {
			t.Errorf("calls at the service: got %d, want %d or more", got, minimum)
		}
	})
}
