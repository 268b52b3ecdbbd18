package relay_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/linetiller/linetiller/internal/fake/routed"
	"github.com/linetiller/linetiller/internal/metric"
	"github.com/linetiller/linetiller/internal/placement"
	"github.com/linetiller/linetiller/internal/policy"
)

// settled is the time after which a run has ended that was broken off while its prompt was prefilled.
const settled = 250 * time.Millisecond

// crashCheckTime is how long a box waits to learn whether an upstream has crashed.
const crashCheckTime = 50 * time.Millisecond

// arrivalsOf returns how many requests with an id reached upstreams.
func (r *rig) arrivalsOf(id string) int {
	n := 0
	for _, e := range r.engines {
		for _, a := range e.Arrivals() {
			if a.Request == id {
				n++
			}
		}
	}
	return n
}

// running returns how many runs all upstreams have in progress.
func (r *rig) running() int {
	n := 0
	for _, e := range r.engines {
		n += e.RunningRequests()
	}
	return n
}

func engineName(i int) string { return fmt.Sprint("u", i+1) }

// spreadStreams sends that many streams, one to each of the first upstreams, after prepare was called for each of
// them. It returns how they end.
func (r *rig) spreadStreams(streams int, prepare func(i int)) <-chan *receivedStream {
	place := r.relay.Place
	r.relay.Place = func(ctx context.Context, w *policy.Work, avoid map[string]bool) (*placement.Place, error) {
		if i, err := strconv.Atoi(strings.TrimPrefix(w.ID, "id-")); err == nil {
			return &placement.Place{GrantedAt: time.Now(), Upstream: r.view.Upstream(engineName(i))}, nil
		}
		return place(ctx, w, avoid)
	}
	outcomes := make(chan *receivedStream, streams)
	for i := range streams {
		prepare(i)
		go func() {
			ctx, cancel := context.WithTimeout(r.t.Context(), 30*time.Second)
			defer cancel()
			s, _ := r.readStream(generationRequest(ctx, "/checks/x", fmt.Sprint("id-", i), 200), nil)
			outcomes <- s
		}()
	}
	return outcomes
}

// TestTakeoverKeepsToTheAttempts guards against a silent upstream that does not count as an attempt while its
// answer is open.
func TestTakeoverKeepsToTheAttempts(t *testing.T) {
	for name, faults := range map[string]routed.Faults{
		"silent from the start":    {Silent: true},
		"silent after some events": {StallAfter: 5},
	} {
		t.Run(name, func(t *testing.T) {
			withRig(t, 4, 0, func(t *testing.T, r *rig) {
				for _, e := range r.engines {
					e.SetFaults(faults)
				}
				ctx, cancel := context.WithTimeout(t.Context(), 20*time.Second)
				defer cancel()
				_, _ = r.readStream(checkRequest(ctx, 200), nil)
				sent := r.logs.count(207)
				if want := 2; sent != want {
					t.Errorf("sends: got %d, want %d", sent, want)
				}
			})
		})
	}
}

// TestTakeoverKeepsToTheRetryBudget guards against takeovers that the retry budget does not count.
func TestTakeoverKeepsToTheRetryBudget(t *testing.T) {
	const streams, extra = 12, 6.0
	withRig(t, 24, 0, func(t *testing.T, r *rig) {
		r.spreadStreams(streams, func(i int) {
			r.engines[engineName(i)].SetFaults(routed.Faults{StallAfter: 5})
		})
		time.Sleep(5 * time.Second)
		retries := r.logs.count(207) - streams
		if got := r.metrics.Value(metric.Retries, "reason", "upstream_silent"); int(got) != retries {
			t.Errorf("retries counted: got %d, want %d", got, retries)
		}
		if got, want := r.logs.count(208), streams-retries; got != want {
			t.Errorf("log lines of streams beyond the budget: got %d, want %d", got, want)
		}
		if maxWant := 0.7 * extra; retries == 0 || float64(retries) > maxWant {
			t.Errorf("requests sent again: got %d, want 1 to %.0f", retries, maxWant)
		}
	}, withRetryBudget(0, extra, 1))
}

// TestTakeoverAvoidsSilentUpstreams guards against takeovers that use up the attempts of a stream at upstreams
// that are as silent as its own.
func TestTakeoverAvoidsSilentUpstreams(t *testing.T) {
	withRig(t, 4, 0, func(t *testing.T, r *rig) {
		outcomes := r.spreadStreams(3, func(i int) {
			r.engines[engineName(i)].SetFaults(routed.Faults{StallAfter: 5})
		})
		for range 3 {
			if s := <-outcomes; s == nil || !s.complete || s.longestGap > 2*time.Second {
				t.Errorf("got %+v, want a complete stream without a pause of 2 s", s)
			}
		}
		if got, want := r.engines["u4"].StartCount("id-0")+r.engines["u4"].StartCount("id-1")+r.engines["u4"].StartCount("id-2"), 3; got != want {
			t.Errorf("runs at the only upstream that is not silent: got %d, want %d", got, want)
		}
	})
}

// TestAnswerBreaksDuringTakeover guards against a takeover that is given up because the answer of the silent
// upstream breaks off before the other one has sent an event.
func TestAnswerBreaksDuringTakeover(t *testing.T) {
	withRig(t, 2, 0, func(t *testing.T, r *rig) {
		r.engines["u1"].SetFaults(routed.Faults{StallAfter: 5})
		s, err := r.readStream(checkRequest(t.Context(), 200), func(n int) {
			if n == 5 {
				time.AfterFunc(1100*time.Millisecond, r.engines["u1"].Crash) // u2 prefills the prompt then
			}
		})
		if err != nil || !s.complete || s.events != 50 {
			t.Errorf("got %+v %v, want 50 events and an end", s, err)
		}
		if got, want := r.arrivalsOf("id"), 2; got != want {
			t.Errorf("arrivals: got %d, want %d", got, want)
		}
	})
}

// TestAnswerBreaksBetweenTakeovers guards against a stream that waits for the next try of a takeover although the answer
// of its silent upstream has broken off.
func TestAnswerBreaksBetweenTakeovers(t *testing.T) {
	withRig(t, 2, 0, func(t *testing.T, r *rig) {
		r.engines["u1"].SetFaults(routed.Faults{StallAfter: 5})
		r.engines["u2"].SetFaults(routed.Faults{RefuseStatus: http.StatusServiceUnavailable})
		s, err := r.readStream(checkRequest(t.Context(), 200), func(n int) {
			if n == 5 {
				time.AfterFunc(1200*time.Millisecond, func() {
					r.start("u3", "llm")
					r.engines["u1"].Crash()
				})
			}
		})
		if err != nil || !s.complete || s.events != 50 {
			t.Errorf("got %+v %v, want 50 events and an end", s, err)
		}
		const maxWant = 1200*time.Millisecond + crashCheckTime + settled
		if s != nil && s.longestGap > maxWant {
			t.Errorf("longest pause: got %s, want at most %s", s.longestGap, maxWant)
		}
	})
}

// TestSilentUpstreamGoesOnDuringTakeover guards against a stream that runs at two upstreams: the one that is not needed
// gets no more work, and none of its answer is forwarded.
func TestSilentUpstreamGoesOnDuringTakeover(t *testing.T) {
	for _, pause := range []time.Duration{1010 * time.Millisecond, 1100 * time.Millisecond, 1190 * time.Millisecond, 1210 * time.Millisecond, 1240 * time.Millisecond, 1300 * time.Millisecond} {
		withRig(t, 2, 0, func(t *testing.T, r *rig) {
			s, err := r.readStream(checkRequest(t.Context(), 400), func(n int) {
				if n == 5 {
					r.engines["u1"].Pause(pause)
					time.AfterFunc(pause+settled, func() {
						if got := r.running(); got != 1 {
							t.Errorf("silent for %s: runs %s later: got %d, want 1", pause, settled, got)
						}
					})
				}
			})
			if err != nil || !s.complete || s.events != 100 {
				t.Errorf("silent for %s: got %+v %v, want 100 events and an end", pause, s, err)
			}
		})
	}
}

// TestCallerLeavesDuringTakeover guards against upstreams that go on with a stream whose caller has left while it was
// taken over.
func TestCallerLeavesDuringTakeover(t *testing.T) {
	for _, after := range []time.Duration{500 * time.Millisecond, 1050 * time.Millisecond, 1100 * time.Millisecond, 1500 * time.Millisecond} {
		withRig(t, 2, 0, func(t *testing.T, r *rig) {
			r.engines["u1"].SetFaults(routed.Faults{StallAfter: 5})
			ctx, cancel := context.WithCancel(t.Context())
			_, _ = r.readStream(checkRequest(ctx, 4000), func(n int) {
				if n == 5 {
					time.AfterFunc(after, cancel)
				}
			})
			time.Sleep(settled)
			if got := r.running(); got != 0 {
				t.Errorf("runs after the caller left %s into the silence: got %d, want none", after, got)
			}
		})
	}
}

// TestSilenceOfAStreamThatMayNotBeResumed checks that nothing is sent again for such a stream.
func TestSilenceOfAStreamThatMayNotBeResumed(t *testing.T) {
	withRig(t, 2, 0, func(t *testing.T, r *rig) {
		s, err := r.readStream(planRequest(t.Context(), "id", 200), func(n int) {
			if n == 5 {
				r.engines["u1"].Pause(4 * time.Second)
			}
		})
		if err != nil || !s.complete || s.events != 50 || r.arrivalsOf("id") != 1 {
			t.Errorf("got %+v %v and %d arrivals, want 50 events, an end and one arrival", s, err, r.arrivalsOf("id"))
		}
		if got := r.metrics.Value(metric.UpstreamSilences, "event", "next"); got != 0 {
			t.Errorf("silences counted: got %d, want none", got)
		}
	})
}

// TestRandomSilences plays silences drawn from fixed seeds under several streams. Streams must have each event once and in
// order, keep to their attempts, and be whole unless an upstream crashes.
func TestRandomSilences(t *testing.T) {
	const seeds, streams, attempts = 150, 4, 2
	for seed := range uint64(seeds) {
		rng := rand.New(rand.NewPCG(seed, 0))
		upstreams, extra, crash := 1+rng.IntN(4), float64(rng.IntN(8)), seed%3 == 0
		withRig(t, upstreams, 0, func(t *testing.T, r *rig) {
			var g sync.WaitGroup
			for i := range streams {
				events, delay := 20+rng.IntN(150), time.Duration(rng.IntN(1500))*time.Millisecond
				id := fmt.Sprint("id-", i)
				g.Go(func() {
					time.Sleep(delay)
					ctx, cancel := context.WithTimeout(t.Context(), 38*time.Second)
					defer cancel()
					s, err := r.readStream(generationRequest(ctx, "/checks/x", id, 4*events), nil)
					if !crash && (err != nil || !s.complete || s.events != events) {
						t.Errorf("seed %d, %s: got %+v %v, want %d events and an end", seed, id, s, err, events)
					}
					if err != nil && !strings.HasPrefix(err.Error(), "status") {
						t.Errorf("seed %d, %s: %v", seed, id, err)
					}
					if got := r.arrivalsOf(id); got > attempts {
						t.Errorf("seed %d, %s: reached %d upstreams, want at most %d", seed, id, got, attempts)
					}
				})
			}
			for range 6 {
				time.Sleep(time.Duration(rng.IntN(1200)) * time.Millisecond)
				length := time.Duration(200+rng.IntN(1700)) * time.Millisecond
				for i := range upstreams {
					if rng.IntN(3) > 0 {
						r.engines[engineName(i)].Pause(length)
					}
				}
			}
			if crash {
				r.kill(engineName(rng.IntN(upstreams)))
			}
			g.Wait()
			time.Sleep(2 * time.Second)
			if got := r.running(); got != 0 {
				t.Errorf("seed %d: runs after all streams have ended: got %d, want none", seed, got)
			}
		}, withRetryBudget(0, extra, 1))
	}
}
