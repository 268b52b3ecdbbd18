package relay_test

import (
	"fmt"
	"net/http"
	"sync"
	"testing"
	"testing/synctest"
	"time"
)

// TestCloseWaitsForStreams checks that a relay that is closed completes the requests in
// progress and refuses new ones as not run.
func TestCloseWaitsForStreams(t *testing.T) {
	withRig(t, 1, 1, func(t *testing.T, r *rig) {
		var g sync.WaitGroup
		g.Go(func() {
			s, err := r.readStream(planRequest(t.Context(), "id", 400), nil)
			if err != nil || !s.complete || s.events != 100 {
				t.Errorf("got %+v %v, want 100 events and an end", s, err)
			}
		})
		time.Sleep(time.Second)
		closed := make(chan struct{})
		go func() {
			_ = r.relay.Close()
			close(closed)
		}()
		synctest.Wait()
		if w, _, err := r.do(request(t.Context(), http.MethodPost, "/once/x", "late", "")); err != nil || w.StatusCode != http.StatusServiceUnavailable {
			t.Errorf("while closing: got %v %v, want 503", w, err)
		}
		g.Wait()
		<-closed
	})
}

// TestLeavingRelayRefusesWhatOutlastsIt checks that a leaving relay accepts streams that are
// expected to complete well before it cuts its streams off, and refuses longer ones at once, as
// not run. If it is the only one in its hall, it accepts all that are expected to complete in
// time, and the callers of the others get the time from which the balancer sends them elsewhere, or at
// which another box is up.
func TestLeavingRelayRefusesWhatOutlastsIt(t *testing.T) {
	for _, x := range []struct {
		others     bool
		nextBox    time.Duration // until another box is up again; 0 if one is up
		tokens     int
		status     int
		retryAfter string // Retry-After of a refusal
	}{
		{true, 0, 40, http.StatusOK, ""},
		{true, 0, 600, http.StatusServiceUnavailable, "0"},
		{true, 0, 2000, http.StatusServiceUnavailable, "0"},
		{false, 0, 40, http.StatusOK, ""},
		{false, 0, 600, http.StatusOK, ""},
		{false, 0, 2000, http.StatusServiceUnavailable, "3"},
		{false, 6 * time.Second, 2000, http.StatusServiceUnavailable, "6"},
		{false, 2 * time.Second, 2000, http.StatusServiceUnavailable, "3"},
	} {
		withRig(t, 1, 0, func(t *testing.T, r *rig) {
			for i := range 3 { // so that the relay learns the pace of 8 ms per token
				if s, err := r.readStream(planRequest(t.Context(), fmt.Sprint("before-", i), 200), nil); err != nil || !s.complete {
					t.Fatalf("before: got %+v %v, want a complete stream", s, err)
				}
			}
			r.relay.HasOtherBoxes = func() bool { return x.others }
			if x.nextBox > 0 {
				r.relay.NextBoxAt = func(now time.Time) time.Time { return now.Add(x.nextBox) }
			}
			r.relay.EndStreamsBy(time.Now().Add(7500*time.Millisecond), time.Now().Add(3*time.Second))
			w, _, err := r.do(planRequest(t.Context(), "id", x.tokens))
			if err != nil || w.StatusCode != x.status || w.Header.Get("Retry-After") != x.retryAfter {
				t.Errorf("%d tokens, others %v: got %v %v, want %d and Retry-After %q", x.tokens, x.others, w, err, x.status, x.retryAfter)
			}
			if got := r.startedRuns("id"); x.status != http.StatusOK && got != 0 {
				t.Errorf("%d tokens: runs of a refused stream: got %d, want none", x.tokens, got)
			}
		})
	}
}

// TestLeavingRelayTakesCalls checks that a relay which refuses new streams because its box is
// leaving still serves calls, and the streams in progress.
func TestLeavingRelayTakesCalls(t *testing.T) {
	withRig(t, 1, 1, func(t *testing.T, r *rig) {
		var g sync.WaitGroup
		g.Go(func() {
			s, err := r.readStream(planRequest(t.Context(), "id", 400), nil)
			if err != nil || !s.complete || s.events != 100 {
				t.Errorf("the stream in progress: got %+v %v, want 100 events and an end", s, err)
			}
		})
		time.Sleep(time.Second)
		if got, want := r.relay.Streams(), 1; got != want {
			t.Errorf("streams: got %d, want %d", got, want)
		}
		r.relay.EndStreamsBy(time.Now(), time.Now())
		if w, _, err := r.do(request(t.Context(), http.MethodPost, "/once/x", "call", "")); err != nil || w.StatusCode != http.StatusOK {
			t.Errorf("a call: got %v %v, want 200", w, err)
		}
		if w, _, err := r.do(planRequest(t.Context(), "late", 400)); err != nil || w.StatusCode != http.StatusServiceUnavailable {
			t.Errorf("a new stream: got %v %v, want 503", w, err)
		}
		g.Wait()
		if got := r.relay.Streams(); got != 0 {
			t.Errorf("streams in the end: got %d, want none", got)
		}
		for n, e := range r.engines {
			if e.StartCount("late") != 0 {
				t.Errorf("%s ran the refused stream", n)
			}
		}
	})
}
