package delivery

import (
	"testing"
	"time"

	"github.com/linetiller/linetiller/internal/fail"
	"github.com/linetiller/linetiller/internal/fake/engine"
)

// TestEngineThatAsksForRestGetsNone checks that an engine that requests back-off gets no requests until
// it is over, and that requests are refused at once if all engines have requested back-off.
func TestEngineThatAsksForRestGetsNone(t *testing.T) {
	withRig(t, func(t *testing.T, r *rig) {
		r.engines["engine-1"].SetFaults(engine.Faults{RetryAfterSeconds: 3})
		for range 5 {
			if err := r.run(t.Context(), "a", r.request("length=2", "")); err != nil {
				t.Error(err)
			}
		}
		if got, want := r.engines["engine-1"].StartRequests(), 1; got != want {
			t.Errorf("starts at the engine in back-off: got %d, want %d", got, want)
		}
		r.engines["engine-2"].SetFaults(engine.Faults{RetryAfterSeconds: 30})
		_ = r.run(t.Context(), "b", r.request("length=2", ""))
		err := r.run(t.Context(), "c", r.request("length=2", ""))
		if got, maxDelay := time.Until(fail.RetryAt(err)), 3*time.Second; fail.Reason(err) != "resting" || got <= 0 || got > maxDelay {
			t.Errorf("both engines in back-off: got %v, retry in %s; want resting, within %s", err, got, maxDelay)
		}
		r.engines["engine-1"].SetFaults(engine.Faults{})
		time.Sleep(3 * time.Second)
		if err := r.run(t.Context(), "d", r.request("length=2", "")); err != nil {
			t.Errorf("after the back-off: got %v", err)
		}
	})
}
