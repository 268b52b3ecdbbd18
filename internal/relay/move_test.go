package relay_test

import (
	"context"
	"fmt"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/linetiller/linetiller/internal/fake/routed"
	"github.com/linetiller/linetiller/internal/metric"
	"github.com/linetiller/linetiller/internal/relay"
	"github.com/linetiller/linetiller/internal/resource"
)

// maxPause is the longest pause between two events that a stream may have during a move.
const maxPause = 180 * time.Millisecond

// moveCase is a move during which a fault occurs.
type moveCase struct {
	name     string
	at       int // number of events after which the fault is injected; 0 is before the first event
	fault    func(r *rig)
	events   int // minimum number of events received
	complete bool
	inTime   bool
}

// TestMoves moves a generation of 600 tokens away from u1 while it streams, with faults
// during the move. In every case its events must be those of one run, each once and in order.
func TestMoves(t *testing.T) {
	notice := func(r *rig) { r.list("u1", "llm", true) }
	for _, x := range []moveCase{
		{"notice, then the engine goes", 20, func(r *rig) {
			notice(r)
			time.AfterFunc(1500*time.Millisecond, func() { r.kill("u1") })
		}, 150, true, true},
		{"the entry goes without a notice", 20, func(r *rig) {
			r.remove("u1")
			time.AfterFunc(1500*time.Millisecond, func() { r.kill("u1") })
		}, 150, true, true},
		{"a notice before the first event", 0, func(r *rig) {
			notice(r)
			time.AfterFunc(1500*time.Millisecond, func() { r.kill("u1") })
		}, 150, true, true},
		{"the notice is withdrawn", 20, func(r *rig) {
			notice(r)
			r.list("u1", "llm", false)
		}, 150, true, true},
		{"no engine has room", 20, func(r *rig) {
			r.engines["u1"].SetFaults(routed.Faults{CopyStatus: http.StatusServiceUnavailable})
			notice(r)
			time.AfterFunc(1500*time.Millisecond, func() { r.kill("u1") })
		}, 20, false, true},
		{"the engine ends the generation meanwhile", 20, func(r *rig) {
			r.engines["u1"].SetFaults(routed.Faults{CopyStatus: http.StatusNotFound})
			notice(r)
		}, 150, true, true},
		{"the answers to the copies are lost", 20, func(r *rig) {
			r.engines["u1"].SetFaults(routed.Faults{LoseCopyAnswers: true})
			notice(r)
			time.AfterFunc(1500*time.Millisecond, func() { r.kill("u1") })
		}, 20, false, true},
		{"the next engine refuses", 20, func(r *rig) {
			r.engines["u2"].SetFaults(routed.Faults{RefuseStatus: http.StatusServiceUnavailable})
			notice(r)
		}, 150, true, true},
		{"the next engine sends the last event again", 20, func(r *rig) {
			r.engines["u2"].SetFaults(routed.Faults{RepeatLastEvent: true})
			notice(r)
		}, 150, true, true},
		{"the next engine leaves at once, too", 20, func(r *rig) {
			notice(r)
			time.AfterFunc(400*time.Millisecond, func() { r.list("u2", "llm", true) })
			time.AfterFunc(1500*time.Millisecond, func() { r.kill("u1") })
			time.AfterFunc(1900*time.Millisecond, func() { r.kill("u2") })
		}, 150, true, true},
		{"the engine crashes", 20, func(r *rig) { r.kill("u1") }, 20, false, true},
	} {
		t.Run(x.name, func(t *testing.T) { runMove(t, &x) })
	}
}

func runMove(t *testing.T, x *moveCase) {
	t.Helper()
	withRig(t, 3, 0, func(t *testing.T, r *rig) {
		if x.at == 0 {
			time.AfterFunc(10*time.Millisecond, func() { x.fault(r) })
		}
		s, err := r.readStream(planRequest(t.Context(), "id", 600), func(events int) {
			if events == x.at {
				x.fault(r)
			}
		})
		if err != nil {
			t.Fatal(err)
		}
		if s.complete != x.complete || s.events < x.events {
			t.Errorf("got %+v, want at least %d events, complete %v", s, x.events, x.complete)
		}
		if x.inTime && s.longestGap > maxPause {
			t.Errorf("longest pause: got %s, want at most %s", s.longestGap, maxPause)
		}
		if got := r.startedRuns("id"); got != 1 {
			t.Errorf("runs from the beginning: got %d, want 1", got)
		}
	})
}

// TestManyRunsLeaveWithinANotice checks that all runs of a leaving engine are moved before it
// shuts down, one after another, with short pauses in their streams.
func TestManyRunsLeaveWithinANotice(t *testing.T) {
	const runs = 6
	withRig(t, 2, 0, func(t *testing.T, r *rig) {
		var g sync.WaitGroup
		for i := range runs {
			g.Go(func() {
				s, err := r.readStream(planRequest(t.Context(), fmt.Sprint("id-", i), 1200), nil)
				if err != nil || !s.complete || s.longestGap > maxPause {
					t.Errorf("run %d: got %+v %v, want a complete stream without long pauses", i, s, err)
				}
			})
		}
		time.Sleep(time.Second)
		r.list("u1", "llm", true)
		time.AfterFunc(1600*time.Millisecond, func() { r.kill("u1") })
		g.Wait()
		if got := r.metrics.Value(metric.Moves, "result", "moved"); got != runs {
			t.Errorf("moves: got %d, want %d", got, runs)
		}
	})
}

// TestCallerLeavesDuringAMove checks that no generation runs at the target after the caller of a
// moved generation has disconnected.
func TestCallerLeavesDuringAMove(t *testing.T) {
	for _, after := range []time.Duration{20 * time.Millisecond, 100 * time.Millisecond, 200 * time.Millisecond, 250 * time.Millisecond} {
		withRig(t, 2, 0, func(t *testing.T, r *rig) {
			ctx, cancel := context.WithCancel(t.Context())
			defer cancel()
			go func() {
				_, _ = r.readStream(planRequest(ctx, "id", 1200), func(events int) {
					if events == 20 {
						r.list("u1", "llm", true)
						time.AfterFunc(after, cancel)
					}
				})
			}()
			time.Sleep(4 * time.Second)
			for n, e := range r.engines {
				if e.RunningRequests() != 0 && n != "u1" {
					t.Errorf("caller left after %s: %s still runs a generation", after, n)
				}
			}
		})
	}
}

// TestRunEndsWhileItIsMoved starts a move at each of a run's last 30 events. If the run completes
// between the copy and the order to stop, its stream is complete and must not be resumed from the
// copy.
func TestRunEndsWhileItIsMoved(t *testing.T) {
	const events = 150
	for at := events - 30; at < events; at++ {
		withRig(t, 2, 0, func(t *testing.T, r *rig) {
			r.engines["u1"].SetFaults(routed.Faults{StopDelay: 40 * time.Millisecond})
			s, err := r.readStream(planRequest(t.Context(), "id", 4*events), func(n int) {
				if n == at {
					r.list("u1", "llm", true)
				}
			})
			if err != nil || !s.complete || s.events != events {
				t.Errorf("notice at event %d: got %+v %v, want %d events and an end", at, s, err, events)
			}
			time.Sleep(time.Second) // lets the last order to stop be answered
		})
	}
}

// TestRunEndsAsItsStopIsTaken starts a move shortly before a run's end, and has the engine accept
// the order to stop although the run has completed by then, so that no engine can resume it. The
// caller has received all events, and the stream must count as complete.
func TestRunEndsAsItsStopIsTaken(t *testing.T) {
	const events = 100
	withRig(t, 2, 0, func(t *testing.T, r *rig) {
		migrate := r.relay.Upstreams.Migrate
		r.relay.Upstreams.Migrate = func(ctx context.Context, from, to *resource.Upstream, id string, stop bool) (*relay.Copy, error) {
			if !stop {
				return migrate(ctx, from, to, id, stop)
			}
			for r.engines[from.Name].RunningRequests() > 0 {
				time.Sleep(time.Millisecond)
			}
			return &relay.Copy{Handle: "of-a-run-that-has-ended", Events: events}, nil
		}
		s, err := r.readStream(planRequest(t.Context(), "id", 4*events), func(n int) {
			if n == events-30 {
				r.list("u1", "llm", true)
			}
		})
		if err != nil || !s.complete || s.events != events {
			t.Errorf("got %+v %v, want %d events and an end", s, err, events)
		}
	})
}
