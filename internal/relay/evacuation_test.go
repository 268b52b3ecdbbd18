package relay_test

import (
	"context"
	"fmt"
	"net/http"
	"testing"
	"time"

	"github.com/linetiller/linetiller/internal/fake/routed"
	"github.com/linetiller/linetiller/internal/metric"
	"github.com/linetiller/linetiller/internal/placement"
	"github.com/linetiller/linetiller/internal/policy"
	"github.com/linetiller/linetiller/internal/resource"
)

// evacuate declares the evacuation of data hall a, or withdraws it.
func (r *rig) evacuate(withdrawn bool) {
	r.put(resource.SourceEvacuations, resource.KindEvacuation, "evacuate/a", `{"hall":"a"}`, withdrawn)
}

// requestsAt returns the number of requests that an upstream has received.
func (r *rig) requestsAt(name string) int {
	return len(r.engines[name].Requests())
}

// TestEvacuatedHallGetsNothing evacuates hall a while a stream runs there. The stream must
// continue, and all new requests must go to hall b until the evacuation is withdrawn.
func TestEvacuatedHallGetsNothing(t *testing.T) {
	withRig(t, 2, 2, func(t *testing.T, r *rig) {
		r.listAt("u2", "b", "llm", false)
		r.listAt("s2", "b", "desk", false)
		ended := make(chan *receivedStream)
		go func() {
			s, err := r.readStream(planRequest(t.Context(), "running", 1200), nil)
			if err != nil {
				t.Error(err)
			}
			ended <- s
		}()
		time.Sleep(time.Second)
		r.evacuate(false)
		engine, service := r.requestsAt("u1"), r.requestsAt("s1")
		for i := range 20 {
			if s, err := r.readStream(planRequest(t.Context(), fmt.Sprint("plan-", i), 40), nil); err != nil || !s.complete {
				t.Errorf("plan %d: got %+v %v, want a complete stream", i, s, err)
			}
			if w, _, err := r.do(request(t.Context(), http.MethodPost, "/once/x", fmt.Sprint("once-", i), "")); err != nil || w.StatusCode != http.StatusOK {
				t.Errorf("call %d: got %v %v, want 200", i, w, err)
			}
		}
		if got := r.requestsAt("u1") - engine; got != 0 {
			t.Errorf("generations sent to the engine of the hall: got %d, want 0", got)
		}
		if got := r.requestsAt("s1") - service; got != 0 {
			t.Errorf("calls sent to the service of the hall: got %d, want 0", got)
		}
		if s := <-ended; s == nil || !s.complete {
			t.Errorf("the stream that ran there: got %+v, want it complete", s)
		}
		if got := r.metrics.Value(metric.Moves, "result", "moved"); got != 0 {
			t.Errorf("moves: got %d, want none: streams in the hall continue there", got)
		}
		r.evacuate(true)
		for i := range 20 {
			_, _, _ = r.do(request(t.Context(), http.MethodPost, "/once/x", fmt.Sprint("back-", i), ""))
		}
		if r.requestsAt("s1") == service {
			t.Error("the service of the hall gets no requests after the evacuation was withdrawn")
		}
	})
}

// TestEvacuationIsLookedAtJustBeforeTheSend guards against sending a request to a hall whose
// evacuation became known between the choice of the upstream and the send, as happens if the box's
// process is suspended in between.
func TestEvacuationIsLookedAtJustBeforeTheSend(t *testing.T) {
	withRig(t, 1, 1, func(t *testing.T, r *rig) {
		r.refreshViews = func() { r.evacuate(false) }
		if w, _, err := r.do(planRequest(t.Context(), "id", 40)); err != nil || w.StatusCode != http.StatusServiceUnavailable || w.Header.Get("Retry-After") == "" {
			t.Errorf("plan: got %v %v, want 503 with Retry-After", w, err)
		}
		r.evacuate(true)
		if w, _, err := r.do(request(t.Context(), http.MethodPost, "/once/x", "id-2", "")); err != nil || w.StatusCode != http.StatusServiceUnavailable || w.Header.Get("Retry-After") == "" {
			t.Errorf("call: got %v %v, want 503 with Retry-After", w, err)
		}
		if got := r.requestsArrived(); got != 0 {
			t.Errorf("requests that arrived: got %d, want 0", got)
		}
	})
}

// TestRunsMoveOutOfAnEvacuatedHall evacuates hall a at different times during a move within it. The
// run must end up in hall b or, if it was stopped before, continue at the engine that has its copy.
func TestRunsMoveOutOfAnEvacuatedHall(t *testing.T) {
	for _, after := range []time.Duration{0, 100 * time.Millisecond, 180 * time.Millisecond, 195 * time.Millisecond, 210 * time.Millisecond, 400 * time.Millisecond} {
		t.Run(after.String(), func(t *testing.T) {
			withRig(t, 3, 0, func(t *testing.T, r *rig) {
				r.listAt("u3", "b", "llm", false)
				s, err := r.readStream(planRequest(t.Context(), "id", 1200), func(events int) {
					if events == 20 {
						r.list("u1", "llm", true)
						time.AfterFunc(after, func() { r.evacuate(false) })
						time.AfterFunc(1500*time.Millisecond, func() { r.kill("u1") })
					}
				})
				if err != nil || !s.complete {
					t.Errorf("got %+v %v, want a complete stream", s, err)
				}
				if after == 0 && r.requestsAt("u2") != 0 {
					t.Errorf("requests that reached the evacuated hall: got %d, want 0", r.requestsAt("u2"))
				}
			})
		})
	}
}

// TestStreamIsNotResumedInAnEvacuatedHall breaks off a resumable stream after its hall was
// evacuated: it must not be run again there.
func TestStreamIsNotResumedInAnEvacuatedHall(t *testing.T) {
	withRig(t, 2, 0, func(t *testing.T, r *rig) {
		r.setFaults("u", routed.Faults{CutAfter: 10})
		r.relay.Place = func(_ context.Context, w *policy.Work, avoid map[string]bool) (*placement.Place, error) {
			if u := r.firstFree(w, avoid); u != nil {
				return &placement.Place{GrantedAt: time.Now(), Upstream: u}, nil
			}
			return r.place(t.Context(), w, avoid)
		}
		before := 0
		s, err := r.readStream(checkRequest(t.Context(), 400), func(events int) {
			if events == 5 {
				before = r.requestsArrived()
				r.evacuate(false)
			}
		})
		if err != nil || s.complete {
			t.Errorf("got %+v %v, want a stream that breaks off", s, err)
		}
		if got := r.requestsArrived() - before; got != 0 {
			t.Errorf("requests that arrived later: got %d, want 0", got)
		}
	})
}
