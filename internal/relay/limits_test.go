package relay_test

import (
	"fmt"
	"net/http"
	"testing"
	"time"

	"github.com/linetiller/linetiller/internal/metric"
)

// TestLimitIsLoggedOnce checks the lines and the counters by which an upstream's limit can be
// followed: as it is first named, changes, is no rate at all, and is lifted.
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
			if got := r.lines.count(event); got != want {
				t.Errorf("lines %d: got %d, want %d", event, got, want)
			}
		}
		for word, want := range map[string]uint64{"limit": 9, "limit_invalid": 3} {
			if got := r.metrics.Value(metric.UpstreamWords, "word", word); got != want {
				t.Errorf("answers with %s: got %d, want %d", word, got, want)
			}
		}
	})
}
