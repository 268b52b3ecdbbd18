package relay_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/linetiller/linetiller/internal/fake/routed"
	"github.com/linetiller/linetiller/internal/metric"
)

// TestSilenceIsRecorded checks that a box counts and logs the silence of an upstream apart from an answer that
// breaks off.
func TestSilenceIsRecorded(t *testing.T) {
	for _, x := range []struct {
		name        string
		faults      routed.Faults
		first, next uint64
	}{
		{"before the first event", routed.Faults{Silent: true}, 1, 0},
		{"between two events", routed.Faults{StallAfter: 10}, 0, 1},
		{"a break", routed.Faults{CutAfter: 10}, 0, 0},
	} {
		t.Run(x.name, func(t *testing.T) {
			withRig(t, 2, 0, func(t *testing.T, r *rig) {
				r.engines["u1"].SetFaults(x.faults)
				if s, err := r.readStream(checkRequest(t.Context(), 200), nil); err != nil || !s.complete {
					t.Errorf("got %+v %v, want a complete stream", s, err)
				}
				first, next := r.metrics.Value(metric.UpstreamSilences, "event", "first"), r.metrics.Value(metric.UpstreamSilences, "event", "next")
				if first != x.first || next != x.next {
					t.Errorf("got %d and %d silences before the first and the next event, want %d and %d", first, next, x.first, x.next)
				}
				if got, want := r.logs.count(326), int(x.first+x.next); got != want {
					t.Errorf("log lines of silences: got %d, want %d", got, want)
				}
			})
		})
	}
}

// silence is a period in which sound upstreams send nothing, under one stream.
type silence struct {
	events int           // number of events before it
	length time.Duration // of each upstream
	inTurn bool          // each upstream falls silent when the stream reaches it; otherwise all do at once
	budget float64       // extra retries; 0 for none
}

// TestStreamOutlastsASilence guards against streams that may be resumed and are broken off, or refused,
// because sound upstreams are silent for a while and no other one can go on with them.
func TestStreamOutlastsASilence(t *testing.T) {
	const events = 50
	for _, x := range []struct {
		events int
		length time.Duration
	}{
		{5, 1200 * time.Millisecond},
		{5, 1900 * time.Millisecond},
		{0, 2500 * time.Millisecond},
		{0, 4500 * time.Millisecond},
	} {
		for _, inTurn := range []bool{false, true} {
			for _, budget := range []float64{0, 50} {
				for _, upstreams := range []int{1, 2, 4} {
					s := silence{events: x.events, length: x.length, inTurn: inTurn, budget: budget}
					t.Run(fmt.Sprintf("%d upstreams, %s after event %d, in turn %v, extra retries %v", upstreams, x.length, x.events, inTurn, budget), func(t *testing.T) {
						withRig(t, upstreams, 0, func(_ *testing.T, r *rig) {
							r.playSilence(&s, events)
						}, withRetryBudget(0, budget, 1))
					})
				}
			}
		}
	}
}

// playSilence reads a stream of that many events while upstreams are silent. The stream must be whole,
// and pause no longer than the silence.
func (r *rig) playSilence(s *silence, events int) {
	r.t.Helper()
	began := time.Now()
	if s.events == 0 {
		r.beginSilence(s)
	}
	got, err := r.readStream(checkRequest(r.t.Context(), 4*events), func(n int) {
		if n == s.events {
			began = time.Now()
			r.beginSilence(s)
		}
	})
	if err != nil || !got.complete || got.events != events {
		r.t.Errorf("got %+v %v, want %d events and an end", got, err, events)
		return
	}
	const step = 300 * time.Millisecond // for the prompt and the next event
	if s.events > 0 && got.longestGap > s.length+step {
		r.t.Errorf("longest pause: got %s, want about the %s of the silence", got.longestGap, s.length)
	}
	if maxWant := s.length + step + time.Duration(events)*routed.DefaultSettings().EventInterval; time.Since(began) > maxWant {
		r.t.Errorf("the stream ended %s after the silence began, want at most %s", time.Since(began), maxWant)
	}
	time.Sleep(time.Second)
	for n, e := range r.engines {
		if e.RunningRequests() != 0 {
			r.t.Errorf("%s still runs the request a second after its stream has ended", n)
		}
	}
}

// beginSilence silences all upstreams now, or each one when it has a run of the stream.
func (r *rig) beginSilence(s *silence) {
	if !s.inTurn {
		for _, e := range r.engines {
			e.Pause(s.length)
		}
		return
	}
	for _, e := range r.engines {
		go func() {
			for range 400 {
				if len(e.Arrivals()) > 0 {
					e.Pause(s.length)
					return
				}
				time.Sleep(10 * time.Millisecond)
			}
		}()
	}
}
