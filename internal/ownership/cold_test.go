package ownership

import (
	"context"
	"fmt"
	"log/slog"
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

// TestColdEngineWhoseOwnerIsRestarted guards against overloading a cold engine when the box of its
// owner restarts: within one second the owner before the restart, the box that replaces it and the
// restarted owner could each start as many generations as one owner may.
func TestColdEngineWhoseOwnerIsRestarted(t *testing.T) {
	for _, x := range []struct {
		name string
		cold int           // for how many milliseconds the engine is cold
		age  time.Duration // since the box started
		want int           // generations started at once
	}{
		{"cold, just restarted", 5000, 0, 0},
		{"cold, restarted a while ago", 5000, restartPeriod, 4},
		{"warm, just restarted", 0, 0, 4},
	} {
		t.Run(x.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				v := resource.NewView()
				applyChange(v, 1, resource.SourceConfiguration, resource.KindService, "llm", `{"coldPerSecond":6,"engine":{"kvTokens":34500,"maxBatch":64}}`, false)
				o := New(v, member.NewTable(box.Member{Hall: "a", Name: "box-1", State: box.StateServing}), policy.NewLengths(), metric.NewSet(), slog.New(slog.DiscardHandler),
					WithColdStartLimits(ColdStartLimits{Overage: 1, Slack: 2}))
				o.ReadLoad = func(context.Context, string) (*upstream.Load, error) { return &upstream.Load{AsOf: time.Now()}, nil }
				run, stop := context.WithCancel(t.Context())
				done := make(chan struct{})
				go func() {
					o.Run(run)
					close(done)
				}()
				time.Sleep(x.age)
				applyChange(v, 1, resource.SourceUpstreams, resource.KindUpstream, "u1",
					fmt.Sprintf(`{"address":"http://u1","coldMilliseconds":%d,"hall":"a","kvTokens":34500,"maxBatch":64,"models":["llm/m"],"service":"llm","type":"engine"}`, x.cold), false)
				ctx, cancel := context.WithTimeout(t.Context(), restartPeriod-100*time.Millisecond)
				defer cancel()
				started := make(chan string, 20)
				for i := range 20 {
					w := policy.Work{Arrived: time.Now(), Deadline: time.Now().Add(time.Minute), ID: fmt.Sprint(i), MaxTokens: 10, Model: "llm/m", Prompt: 10}
					go o.RequestPlace(ctx, &box.PlacementRequest{Upstream: "u1", Work: w}, func(r *box.Reply) error {
						if r.Answer.Verdict == policy.VerdictStart {
							started <- w.ID
						}
						return nil
					})
				}
				<-ctx.Done()
				synctest.Wait()
				stop()
				<-done
				if got := len(started); got != x.want {
					t.Errorf("started: got %d, want %d", got, x.want)
				}
			})
		})
	}
}
