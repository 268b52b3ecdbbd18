package ownership

import (
	"context"
	"log/slog"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/linetiller/linetiller/internal/box"
	"github.com/linetiller/linetiller/internal/member"
	"github.com/linetiller/linetiller/internal/metric"
	"github.com/linetiller/linetiller/internal/policy"
	"github.com/linetiller/linetiller/internal/resource"
	"github.com/linetiller/linetiller/internal/upstream"
)

// TestIdleUpstreamsAreReadSeldom guards against load reports of idle engines, of which a large fleet
// has thousands, that are read as often as those of busy ones; and against a busy engine, or one
// whose list cannot be read, that is read seldom.
func TestIdleUpstreamsAreReadSeldom(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		v := resource.NewView()
		applyChange(v, 1, resource.SourceUpstreams, resource.KindUpstream, "u1", `{"address":"http://u1","hall":"a","models":["m"],"kvTokens":4000,"maxBatch":8,"type":"engine"}`, false)
		o := New(v, member.NewTable(box.Member{Hall: "a", Name: "box-1", State: box.StateServing}), policy.NewLengths(), metric.NewSet(), slog.New(slog.DiscardHandler))
		var reads, running atomic.Int64
		var unavailable atomic.Bool
		o.PlatformUnavailable = unavailable.Load
		o.ReadLoad = func(context.Context, string) (*upstream.Load, error) {
			reads.Add(1)
			return &upstream.Load{AsOf: time.Now(), Running: int(running.Load())}, nil
		}
		ctx, cancel := context.WithCancel(t.Context())
		done := make(chan struct{})
		go func() {
			defer close(done)
			o.Run(ctx)
		}()
		place := func() {
			w := policy.Work{Arrived: time.Now(), Deadline: time.Now().Add(time.Hour), ID: "g", MaxTokens: 100, Model: "m", Prompt: 30}
			o.RequestPlace(ctx, &box.PlacementRequest{Upstream: "u1", Work: w}, func(*box.Reply) error { return nil })
			go func() {
				for i := 1; ctx.Err() == nil; i++ {
					o.RecordProgress(&box.ProgressReport{Upstream: "u1", Items: []box.GenerationProgress{{ID: "g", Produced: i}}})
					time.Sleep(500 * time.Millisecond)
				}
			}()
		}
		time.Sleep(6 * time.Second)
		for _, x := range []struct {
			name      string
			change    func()
			low, high int64 // reads in 20 s
		}{
			{"idle", func() {}, 3, 5},
			{"a generation of another owner runs", func() { running.Store(1) }, 15, 21},
			{"idle again", func() { running.Store(0) }, 3, 6},
			{"a generation of this owner runs", place, 15, 21},
			{"the list is unavailable", func() { unavailable.Store(true) }, 100, 150},
		} {
			x.change()
			time.Sleep(IdleReportInterval)
			reads.Store(0)
			time.Sleep(20 * time.Second)
			if got := reads.Load(); got < x.low || got > x.high {
				t.Errorf("%s: got %d reads in 20 s, want %d to %d", x.name, got, x.low, x.high)
			}
		}
		cancel()
		<-done
		time.Sleep(time.Second) // for the generation's progress to end
	})
}
