package relay_test

import (
	"testing"

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
