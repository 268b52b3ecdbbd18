//go:build !race || whole

package linetiller

import (
	"encoding/json"
	"fmt"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/linetiller/linetiller/internal/fake/routed"
	"github.com/linetiller/linetiller/internal/policy"
	"github.com/linetiller/linetiller/internal/settings"
)

// testRegions are the regions of the data halls a and b; hall c is in none.
var testRegions = map[string]string{"a": "north", "b": "south"}

// withRestrictedRegion runs f with the boxes and engines of withRoutedRegion, plain upstreams in
// halls a, b and c, and boxes that know the regions of their halls.
func withRestrictedRegion(t *testing.T, f func(t *testing.T, r *routedRegion)) {
	t.Helper()
	withRoutedRegion(t, func(t *testing.T, r *routedRegion) {
		for _, n := range boxesByHall {
			r.kill(n)
			r.link.SetDown(n, false)
			r.startEntryBox(n, func(s *settings.Settings) { s.Regions = testRegions })
		}
		for _, n := range []string{"s-a1", "s-a2", "s-b1", "s-c1", "i-c1"} {
			r.startUpstream(n)
		}
		time.Sleep(5 * time.Second)
		f(t, r)
	})
}

// restrict writes a configuration whose routes and only workspace may be restricted to regions; ""
// stands for none. Streams of its routes may be resumed if resumable is set.
func (r *routedRegion) restrict(version int, routes, workspace string, resumable bool) {
	list := func(s string) string {
		if s == "" {
			return ""
		}
		b, _ := json.Marshal(strings.Split(s, " "))
		return `,"allowed_regions":` + string(b)
	}
	r.platform.Put("op/config", json.RawMessage(fmt.Sprintf(`{"version":%d,"routes":[
{"name":"r-plan","host":%q,"path_prefix":"/plan/","kind":"streaming","resumable":%v,"timeout_ms":39000,"target_latency_ms":1800,"service":"llm","max_attempts":4,"gap_aim_ms":180%s},
{"name":"r-call","host":%q,"path_prefix":"/call/","kind":"safe","timeout_ms":1500,"target_latency_ms":300,"service":"desk","max_attempts":4%s}],
"services":[{"name":"llm","engine":{"slots":64,"kv_tokens":34545,"kv_bytes":18432,"link_mbps":2700.0,"moves":true,"stride":4,"models":[{"name":"m"}]}},{"name":"desk"}],
"tenants":[{"name":"w","api_keys":[%q]%s}]}`, version, routedHost, resumable, list(routes), routedHost, list(routes), routedKey, list(workspace))))
	time.Sleep(2 * time.Second)
}

// requestsOutside returns how many requests have reached upstreams outside a hall.
func (r *routedRegion) requestsOutside(hall string) int {
	n := 0
	for name, e := range r.upstreams {
		if name[2:3] != hall {
			n += len(e.Requests())
		}
	}
	return n
}

// callPlain sends a call to the plain service through a box, and returns its status and body.
func (r *routedRegion) callPlain(box, id string) (status int, body string) {
	q, err := http.NewRequestWithContext(r.t.Context(), http.MethodGet, "http://"+box+"-entry/call/x", http.NoBody)
	if err != nil {
		r.t.Fatal(err)
	}
	q.Host = routedHost
	q.Header.Set("Authorization", "Bearer "+routedKey)
	q.Header.Set("X-Linetiller-Request-Id", id)
	w, err := r.link.RoundTrip(q)
	if err != nil {
		return 0, ""
	}
	defer func() { _ = w.Body.Close() }()
	b := make([]byte, 200)
	n, _ := w.Body.Read(b)
	return w.StatusCode, string(b[:n])
}

// sendThroughAll sends calls and short streams through every box, also through those outside the
// allowed regions, and returns how many were served.
func (r *routedRegion) sendThroughAll(round string, each int) int {
	var g sync.WaitGroup
	var mutex sync.Mutex
	served := 0
	for n := range r.boxes {
		for i := range each {
			g.Go(func() {
				_, complete, _ := r.streamPlan(n, fmt.Sprintf("%s-%s-%d", round, n, i), routedKey, 8)
				status, _ := r.callPlain(n, fmt.Sprintf("%s-call-%s-%d", round, n, i))
				mutex.Lock()
				defer mutex.Unlock()
				if complete {
					served++
				}
				if status == http.StatusOK {
					served++
				}
			})
		}
	}
	g.Wait()
	return served
}

// TestRequestsStayInTheirRegions guards against a request that runs outside the regions to which its
// route or its workspace restricts it, by first choice or because the upstreams there fail.
func TestRequestsStayInTheirRegions(t *testing.T) {
	for _, x := range []struct{ name, routes, workspace string }{
		{"route", "north", ""}, {"workspace", "", "north"}, {"both", "north south", "west north"},
	} {
		t.Run(x.name, func(t *testing.T) {
			withRestrictedRegion(t, func(t *testing.T, r *routedRegion) {
				r.restrict(2, x.routes, x.workspace, false)
				if got, want := r.sendThroughAll("first", 2), 2*2*len(r.boxes); got != want {
					t.Errorf("served: got %d, want %d", got, want)
				}
				r.upstreams["s-a1"].SetFaults(routed.Faults{Status: http.StatusInternalServerError})
				r.upstreams["i-a1"].SetFaults(routed.Faults{RefuseStatus: http.StatusServiceUnavailable})
				r.sendThroughAll("failing", 4)
				r.upstreams["s-a2"].SetFaults(routed.Faults{RefuseStatus: http.StatusServiceUnavailable})
				r.upstreams["i-a2"].SetFaults(routed.Faults{RefuseStatus: http.StatusServiceUnavailable})
				r.sendThroughAll("all failing", 4)
				if got := r.requestsOutside("a"); got != 0 {
					t.Errorf("requests outside the region: got %d, want none", got)
				}
			})
		})
	}
}

// TestRefusedAtOnceWithoutUpstreamInTheRegions guards against a request that waits for its deadline,
// or is refused with a wrong reason, where no upstream of its regions can serve it.
func TestRefusedAtOnceWithoutUpstreamInTheRegions(t *testing.T) {
	withRestrictedRegion(t, func(t *testing.T, r *routedRegion) {
		r.restrict(2, "west", "", false)
		for n := range r.boxes {
			began := time.Now()
			if status, body := r.callPlain(n, "call-"+n); status != http.StatusServiceUnavailable || !strings.Contains(body, string(policy.ReasonRegion)) {
				t.Errorf("%s, call: got %d %q, want 503 with reason %q", n, status, body, policy.ReasonRegion)
			}
			if _, _, status := r.streamPlan(n, "id-"+n, routedKey, 8); status != http.StatusServiceUnavailable {
				t.Errorf("%s, stream: got %d, want 503", n, status)
			}
			if got, want := time.Since(began), 100*time.Millisecond; got > want {
				t.Errorf("%s: refused after %v, want at most %v", n, got, want)
			}
		}
		if got := r.requestsOutside(""); got != 0 {
			t.Errorf("requests at upstreams: got %d, want none", got)
		}
	})
}

// TestGenerationsMoveWithinTheirRegions guards against a generation that is moved, or run again,
// outside its regions, because its engine leaves or crashes and the others there are gone.
func TestGenerationsMoveWithinTheirRegions(t *testing.T) {
	for _, x := range []struct {
		name      string
		crash     bool
		last      bool // the other engine of the region is gone
		resumable bool
		complete  bool
	}{
		{"engine leaves", false, false, false, true},
		{"last engine leaves", false, true, false, false},
		{"engine crashes", true, false, true, true},
		{"last engine crashes", true, true, true, false},
	} {
		t.Run(x.name, func(t *testing.T) {
			withRestrictedRegion(t, func(t *testing.T, r *routedRegion) {
				r.restrict(2, "north", "", x.resumable)
				if x.last {
					r.killUpstream("i-a2")
					time.Sleep(time.Second)
				}
				var g sync.WaitGroup
				for n := range r.boxes {
					g.Go(func() {
						if _, complete, _ := r.streamPlan(n, "id-"+n, routedKey, 1200); complete != x.complete {
							t.Errorf("%s: got complete %v, want %v", n, complete, x.complete)
						}
					})
				}
				time.Sleep(2 * time.Second)
				if !x.crash {
					r.listUpstream("i-a1", "draining")
					time.Sleep(1500 * time.Millisecond)
				}
				r.killUpstream("i-a1")
				g.Wait()
				time.Sleep(time.Second) // for crashes to be announced before the boxes close
				if got := r.requestsOutside("a"); got != 0 {
					t.Errorf("requests outside the region: got %d, want none", got)
				}
				copies := 0
				for n, e := range r.upstreams {
					if n[2:3] != "a" {
						copies += e.Copies()
					}
				}
				if copies != 0 {
					t.Errorf("copies of memory outside the region: got %d, want none", copies)
				}
			})
		})
	}
}

// checkIdle checks that no generation runs at the engines of hall a, unless it was stopped there to
// continue elsewhere.
func (r *routedRegion) checkIdle(t *testing.T, moved bool) {
	t.Helper()
	for _, n := range []string{"i-a1", "i-a2"} {
		if got := r.upstreams[n].RunningRequests(); got != 0 && !moved {
			t.Errorf("generations at %s 5 s after the change: got %d, want none", n, got)
		}
	}
}

// TestChangedRegionsHoldForWhatRuns guards against a generation that goes on outside its regions
// after these were changed.
func TestChangedRegionsHoldForWhatRuns(t *testing.T) {
	for _, x := range []struct {
		name, routes, workspace string
		complete                bool
	}{
		{"route to another region", "south", "", true}, {"workspace to another region", "", "south", true}, {"to a region without engines", "west", "", false},
	} {
		t.Run(x.name, func(t *testing.T) {
			withRestrictedRegion(t, func(t *testing.T, r *routedRegion) {
				r.restrict(2, "north", "", false)
				var g sync.WaitGroup
				for n := range r.boxes {
					g.Go(func() {
						if _, complete, _ := r.streamPlan(n, "id-"+n, routedKey, 1800); complete != x.complete {
							t.Errorf("%s: got complete %v, want %v", n, complete, x.complete)
						}
					})
				}
				time.Sleep(2 * time.Second)
				r.restrict(3, x.routes, x.workspace, false)
				time.Sleep(3 * time.Second)
				want := 0
				if x.complete {
					want = len(r.boxes)
				}
				if got := r.engineRequests("b"); got != want {
					t.Errorf("generations at the other region 5 s after the change: got %d, want %d", got, want)
				}
				if got := r.engineRequests("c"); got != 0 {
					t.Errorf("generations in a hall without a region: got %d, want none", got)
				}
				r.checkIdle(t, x.complete)
				g.Wait()
				time.Sleep(time.Second) // for the crashes to be announced before the boxes close
			})
		})
	}
}
