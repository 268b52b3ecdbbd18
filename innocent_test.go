//go:build !race || whole

package linetiller

import (
	"context"
	"io"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"github.com/linetiller/linetiller/internal/relay"
	"github.com/linetiller/linetiller/internal/resource"
)

// withRestartedBoxes runs f after four boxes have served the same call repeatedly and then have all
// been restarted.
func withRestartedBoxes(t *testing.T, f func(t *testing.T, r *routedRegion, c *callers)) {
	t.Helper()
	withPlainUpstreams(t, func(t *testing.T, r *routedRegion, c *callers) {
		c.sendPaced(10*time.Second, 100*time.Millisecond, false, roundRobin)
		if got, want := c.servedCount, len(c.sentRequests); got != want {
			t.Fatalf("served before the restart: got %d, want all %d", got, want)
		}
		for _, n := range boxesByHall {
			r.kill(n)
		}
		for _, n := range boxesByHall {
			r.link.SetDown(n, false)
			r.link.SetDown(n+"-entry", false)
			r.startEntryBox(n)
		}
		time.Sleep(5 * time.Second)
		f(t, r, c)
	})
}

// crashAll makes each call of a box to an upstream fail as if the upstream crashed. It returns the
// number of these crashes, and a function that ends the fault.
func (r *region) crashAll(box string) (crashed *atomic.Int64, end func()) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	crashed = new(atomic.Int64)
	r.crashing[box] = crashed
	return crashed, func() {
		r.mutex.Lock()
		defer r.mutex.Unlock()
		delete(r.crashing, box)
	}
}

// wrapUpstreamCalls wraps the calls of a box to upstreams so that they fail while crashAll is in
// effect.
func (r *region) wrapUpstreamCalls(name string, u relay.UpstreamCalls) relay.UpstreamCalls {
	crashed := func() *atomic.Int64 {
		r.mutex.Lock()
		defer r.mutex.Unlock()
		return r.crashing[name]
	}
	v := u
	v.ProcessEnded = func(ctx context.Context, x *resource.Upstream) bool {
		return crashed() != nil || u.ProcessEnded(ctx, x)
	}
	v.Send = func(ctx context.Context, x *resource.Upstream, q *relay.Request, o *relay.SendOptions) (*relay.Answer, error) {
		if n := crashed(); n != nil {
			n.Add(1)
			return nil, io.ErrUnexpectedEOF
		}
		return u.Send(ctx, x, q, o)
	}
	return v
}

// TestServedRequestAfterAllBoxesRestarted guards against a request that is refused for crashes
// which another request caused, although it was served repeatedly: all boxes have restarted since,
// and lost their record of that.
func TestServedRequestAfterAllBoxesRestarted(t *testing.T) {
	withRestartedBoxes(t, func(t *testing.T, r *routedRegion, c *callers) {
		_, end := r.crashAll("box-a1")
		c.call("box-a1", "bystander") // two upstreams crash while they run it
		end()
		time.Sleep(time.Second)
		for _, n := range boxesByHall {
			if got, _ := c.callStatus(n, "next-"+n); got != http.StatusOK {
				t.Errorf("%s: got status %d, want 200", n, got)
			}
		}
	})
}

// TestRequestThatTurnsPoisonAfterAllBoxesRestarted guards against a request that crashes one
// upstream after another although it was served before: earlier runs may clear it of crashes only
// once.
func TestRequestThatTurnsPoisonAfterAllBoxesRestarted(t *testing.T) {
	withRestartedBoxes(t, func(t *testing.T, r *routedRegion, c *callers) {
		crashed, end := r.crashAll("box-a1")
		defer end()
		for range 20 {
			c.call("box-a1", "poison")
			time.Sleep(10 * time.Second)
		}
		if got, maxWant := crashed.Load(), int64(4); got > maxWant {
			t.Errorf("crashes: got %d, want at most %d", got, maxWant)
		}
	})
}
