//go:build !race || whole

package linetiller

import (
	"encoding/json"
	"fmt"
	"sync"
	"testing"
	"time"

	"github.com/linetiller/linetiller/internal/settings"
)

// Rate limit of the cold upstreams of the test, in requests per second, and how many more requests
// may reach one in any second.
const (
	testColdPerSecond = 6
	testColdSlack     = 2
)

// TestColdUpstreamWhileBoxesComeAndGo guards against boxes that spend their share of a cold
// upstream's rate limit again each time they start, or take a larger share because other boxes are
// gone.
func TestColdUpstreamWhileBoxesComeAndGo(t *testing.T) {
	slack := func(s *settings.Settings) { s.Cold.Slack = testColdSlack }
	for _, x := range []struct {
		name    string
		disrupt func(r *routedRegion, name string)
	}{
		{"killed", func(r *routedRegion, name string) {
			r.kill(name)
			time.Sleep(50 * time.Millisecond)
			r.link.SetDown(name, false)
			r.link.SetDown(name+"-entry", false)
			r.startEntryBox(name, slack)
		}},
		{"paused", func(r *routedRegion, name string) {
			r.setPaused(name, true)
			time.Sleep(2 * time.Second)
			r.setPaused(name, false)
		}},
	} {
		t.Run(x.name, func(t *testing.T) {
			withPlainUpstreams(t, func(t *testing.T, r *routedRegion, c *callers) {
				r.configureCold(2)
				for _, b := range r.boxes {
					b.settings.Cold.Slack = testColdSlack
				}
				time.Sleep(2 * time.Second)
				began := time.Now()
				r.listColdUpstream("s-a1", "ready", 8000)
				for _, n := range plainUpstreams[1:] {
					r.listUpstream(n, "draining") // leaves the cold upstream as the only ready one
				}
				var g sync.WaitGroup
				for i, n := range boxesByHall {
					g.Go(func() {
						for range 3 {
							time.Sleep(time.Duration(i+1) * 400 * time.Millisecond)
							x.disrupt(r, n)
						}
					})
				}
				c.sendPaced(8*time.Second, 10*time.Millisecond, false, roundRobin)
				g.Wait()
				if got, maxWant := r.maxPerSecond("s-a1", began, began.Add(8*time.Second)), testColdPerSecond+testColdSlack; got > maxWant {
					t.Errorf("requests in a second at the cold upstream: got %d, want at most %d", got, maxWant)
				}
				if got, minWant := r.requestsSince("s-a1", began), 8; got < minWant {
					t.Errorf("requests at the cold upstream in total: got %d, want at least %d", got, minWant)
				}
			})
		})
	}
}

// configureCold writes a version of the configuration that limits the rate of requests to cold
// plain upstreams.
func (r *routedRegion) configureCold(version int) {
	r.platform.Put("op/config", json.RawMessage(fmt.Sprintf(`{"version":%d,"routes":[
{"name":"r-call","host":%q,"path_prefix":"/call/","kind":"safe","timeout_ms":1500,"target_latency_ms":300,"priority":0,"service":"desk","max_attempts":2}],
"services":[{"name":"desk","cold_per_s":%d}],"tenants":[{"name":"w","api_keys":[%q]}]}`, version, routedHost, testColdPerSecond, routedKey)))
}

// maxPerSecond returns the maximum number of requests that an upstream got in any one second
// between two times.
func (r *routedRegion) maxPerSecond(upstream string, from, to time.Time) int {
	var arrivals []time.Time
	for _, at := range r.upstreams[upstream].ArrivalTimes() {
		if !at.Before(from) && at.Before(to) {
			arrivals = append(arrivals, at)
		}
	}
	n, start := 0, 0
	for i := range arrivals {
		for arrivals[i].Sub(arrivals[start]) >= time.Second {
			start++
		}
		n = max(n, i-start+1)
	}
	return n
}
