package relay_test

import (
	"context"
	"fmt"
	"net/http"
	"testing"
	"time"

	"github.com/linetiller/linetiller/internal/relay"
	"github.com/linetiller/linetiller/internal/resource"
)

// restrictRoutes restricts the routes "often" and "plans" to a region.
func (r *rig) restrictRoutes(region string) {
	route := `{"host":"` + rigHost + `","pathPrefix":"/%s/","attempts":2,"regions":[%q],"repeat":"%s","stream":%v,"services":[{"name":"%s","weight":1}],"timeoutMilliseconds":%d,"targetMilliseconds":1800,"priority":"first"}`
	r.put(resource.SourceConfiguration, resource.KindRoute, "often", fmt.Sprintf(route, "often", region, "safely", false, "desk", 1500), false)
	r.put(resource.SourceConfiguration, resource.KindRoute, "plans", fmt.Sprintf(route, "plans", region, "never", true, "llm", 39_000), false)
}

// TestRegionsAreCheckedBeforeTheSend guards against a request that is sent outside its regions since
// these changed while it waited for a place, or while its process was suspended.
func TestRegionsAreCheckedBeforeTheSend(t *testing.T) {
	withRig(t, 1, 1, func(t *testing.T, r *rig) {
		r.restrictRoutes("north")
		r.refreshViews = func() { r.restrictRoutes("south") }
		for _, path := range []string{"/often/x", "/plans/x"} {
			a, body, err := r.do(generationRequest(t.Context(), path, "id"+path, 40))
			if err != nil || a.StatusCode != http.StatusServiceUnavailable {
				t.Errorf("%s: got %v %q, %v, want 503", path, a, body, err)
			}
		}
		for n, e := range r.engines {
			if got := len(e.Requests()); got != 0 {
				t.Errorf("requests at %s: got %d, want none", n, got)
			}
		}
	}, relay.WithHallRegions(resource.HallRegions{"a": "north"}))
}

// TestMovedRunIsNotResumedOutsideItsRegions guards against a generation that goes on at the target
// of its move although its regions changed while its memory was copied.
func TestMovedRunIsNotResumedOutsideItsRegions(t *testing.T) {
	withRig(t, 1, 0, func(t *testing.T, r *rig) {
		r.restrictRoutes("north")
		r.start("u9", "llm")
		r.listAt("u9", "b", "llm", false)
		migrate := r.relay.Upstreams.Migrate
		r.relay.Upstreams.Migrate = func(ctx context.Context, from, to *resource.Upstream, id string, stop bool) (*relay.Copy, error) {
			c, err := migrate(ctx, from, to, id, stop)
			if stop {
				r.restrictRoutes("west")
			}
			return c, err
		}
		x, _ := r.readStream(planRequest(t.Context(), "id", 1200), func(events int) {
			if events == 20 {
				r.list("u1", "llm", true)
			}
		})
		if x != nil && x.complete {
			t.Error("the generation ended as complete, want it broken off")
		}
		time.Sleep(time.Second)
		if got := len(r.engines["u9"].Requests()); got != 0 {
			t.Errorf("requests at the target: got %d, want none", got)
		}
	}, relay.WithHallRegions(resource.HallRegions{"a": "north", "b": "north", "c": "west"}))
}
