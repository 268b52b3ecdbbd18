//go:build !race

package linetiller

import (
	"context"
	"io"
	"net/http"
	"testing"
	"time"

	"github.com/linetiller/linetiller/internal/relay"
	"github.com/linetiller/linetiller/internal/resource"
)

// TestServedRequestAfterAllBoxesRestarted guards against a request that is refused for the crashes of
// another one, although it was served again and again until all boxes restarted and forgot that.
func TestServedRequestAfterAllBoxesRestarted(t *testing.T) {
	withLimited(t, func(t *testing.T, r *routes, c *crowd) {
		c.paced(10*time.Second, 100*time.Millisecond, false, inTurn)
		if got, want := c.served, len(c.sent); got != want {
			t.Fatalf("served before: got %d, want all %d", got, want)
		}
		for _, n := range limitedBoxes {
			r.kill(n)
		}
		for _, n := range limitedBoxes {
			r.link.Down(n, false)
			r.link.Down(n+"-entry", false)
			r.startRouter(n)
		}
		time.Sleep(5 * time.Second)
		x := r.boxes["box-a1"].relay
		before := x.Upstreams
		x.Upstreams.Gone = func(context.Context, *resource.Upstream) bool { return true }
		x.Upstreams.Send = func(context.Context, *resource.Upstream, *relay.Request, *relay.Offer) (*relay.Answer, error) {
			return nil, io.ErrUnexpectedEOF
		}
		c.call("box-a1", "bystander") // two upstreams crash as it runs there
		x.Upstreams = before
		time.Sleep(time.Second)
		for _, n := range limitedBoxes {
			if got, _ := c.callWhole(n, "next-"+n); got != http.StatusOK {
				t.Errorf("%s: got status %d, want 200", n, got)
			}
		}
	})
}
