//go:build !race || whole

package linetiller

import (
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	fakeplatform "github.com/linetiller/linetiller/internal/fake/platform"
	"github.com/linetiller/linetiller/internal/fake/routed"
	"github.com/linetiller/linetiller/internal/resource"
)

// leavingBound is the time after an upstream has announced that it is leaving within which it may
// still get requests.
const leavingBound = 2 * time.Second

// sentRequest records through which box a test sent a request, and when.
type sentRequest struct {
	box    string
	sentAt time.Time
}

// callers sends requests through every box at a steady rate and records through which box each was
// sent.
type callers struct {
	mutex        sync.Mutex
	region       *routedRegion
	sentRequests map[string]sentRequest // by request id
	servedCount  int                    // complete answers
}

// newCallers returns callers that have sent no request yet.
func newCallers(r *routedRegion) *callers {
	return &callers{region: r, sentRequests: make(map[string]sentRequest)}
}

// call sends one call of the plain service through a box and reports whether it was served.
func (c *callers) call(box, id string) bool {
	status, _ := c.callStatus(box, id)
	return status == http.StatusOK
}

// callStatus sends one call of the plain service through a box and returns the status of the
// answer, 0 if the answer was incomplete, and its Retry-After.
func (c *callers) callStatus(box, id string) (status int, retryAfter string) {
	q, err := http.NewRequestWithContext(c.region.t.Context(), http.MethodGet, "http://"+box+"-entry/call/x", http.NoBody)
	if err != nil {
		c.region.t.Error(err)
		return 0, ""
	}
	q.Host = routedHost
	q.Header.Set("Authorization", "Bearer "+routedKey)
	q.Header.Set("X-Linetiller-Request-Id", id)
	w, err := c.region.link.RoundTrip(q)
	if err != nil {
		return 0, ""
	}
	defer func() { _ = w.Body.Close() }()
	if _, err = io.Copy(io.Discard, w.Body); err != nil {
		return 0, ""
	}
	return w.StatusCode, w.Header.Get("Retry-After")
}

// Intervals between two requests through one box: calls, and streams, of which an engine can start
// only a few per second.
const (
	callInterval   = 50 * time.Millisecond
	streamInterval = 400 * time.Millisecond
)

// sendFromAll sends calls, or short streams where streams is set, through every box for a period,
// and waits for their ends.
func (c *callers) sendFromAll(period time.Duration, streams bool) {
	interval := callInterval
	if streams {
		interval = streamInterval
	}
	var g sync.WaitGroup
	send := func(box, id string, do func() bool) {
		c.mutex.Lock()
		c.sentRequests[id] = sentRequest{box, time.Now()}
		c.mutex.Unlock()
		g.Go(func() {
			ok := do()
			c.mutex.Lock()
			defer c.mutex.Unlock()
			if ok {
				c.servedCount++
			}
		})
	}
	for i, began := 0, time.Now(); time.Since(began) < period; i++ {
		for b := range c.region.boxes {
			id := fmt.Sprintf("%s/%d", b, i)
			if streams {
				send(b, id, func() bool {
					_, complete, _ := c.region.streamPlan(b, id, routedKey, 40)
					return complete
				})
				continue
			}
			send(b, id, func() bool { return c.call(b, id) })
		}
		time.Sleep(interval)
	}
	g.Wait()
}

// sender returns through which box a request was sent, and when.
func (c *callers) sender(request string) (box string, sentAt time.Time) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	j := c.sentRequests[request]
	return j.box, j.sentAt
}

// anySender returns the same as sender, with all boxes counted as one: what an upstream announces to
// one box, the other boxes have to learn from that box.
func (c *callers) anySender(request string) (box string, sentAt time.Time) {
	_, sentAt = c.sender(request)
	return "the boxes", sentAt
}

// TestUpstreamThatSaysItLeavesGetsNothingNew guards against new requests to an upstream that has
// announced that it is leaving. With the store unavailable it can announce that only in its answers
// to the boxes that send to it. Boxes that rely on the list of upstreams alone log the
// announcement as unknown and go on sending.
//
// Entries of the list that are older than the upstream's own announcement must not override it.
func TestUpstreamThatSaysItLeavesGetsNothingNew(t *testing.T) {
	down := func(r *routedRegion) { r.platform.SetFaults(fakeplatform.Faults{Down: true}) }
	for _, x := range []struct {
		name     string
		upstream string
		streams  bool
		before   func(r *routedRegion)
		disrupt  func(r *routedRegion) // when the upstream begins to leave
	}{
		{"the store is unavailable", "s-a1", false, down, func(*routedRegion) {}},
		{"the store is unavailable, and an engine leaves", "i-a1", true, down, func(*routedRegion) {}},
		{"an older entry arrives later", "s-a1", false, func(*routedRegion) {}, func(r *routedRegion) {
			time.AfterFunc(time.Second, func() { r.listColdUpstream("s-a1", "ready", 300) })
		}},
		{"an older entry of an engine arrives later", "i-a1", true, func(*routedRegion) {}, func(r *routedRegion) {
			time.AfterFunc(time.Second, func() { r.listColdUpstream("i-a1", "ready", 300) })
		}},
		{"its entry lapses and comes back", "s-a1", false, down, func(r *routedRegion) {
			time.AfterFunc(2*time.Second, func() {
				r.platform.Remove("servers/s-a1")
				r.platform.SetFaults(fakeplatform.Faults{})
			})
			time.AfterFunc(3*time.Second, func() { r.listUpstream("s-a1", "ready") })
		}},
	} {
		t.Run(x.name, func(t *testing.T) {
			withRoutedRegion(t, func(t *testing.T, r *routedRegion) {
				for _, n := range []string{"s-a1", "s-a2", "s-b1"} {
					r.startUpstream(n)
				}
				time.Sleep(time.Second)
				x.before(r)
				time.Sleep(3 * time.Second)
				c := newCallers(r)
				time.AfterFunc(time.Second, func() {
					r.upstreams[x.upstream].Leave()
					x.disrupt(r)
				})
				c.sendFromAll(8*time.Second, x.streams)
				for _, from := range []routed.Sender{c.sender, c.anySender} {
					if l := r.upstreams[x.upstream].NoticeViolations(from, leavingBound); len(l) > 0 {
						t.Errorf("requests after the announcement: got %d, want none, the first: %s", len(l), l[0])
					}
				}
				if got, want := c.servedCount, len(c.sentRequests); got != want {
					t.Errorf("served: got %d, want all %d", got, want)
				}
				if len(r.upstreams[x.upstream].Arrivals()) == 0 {
					t.Error("the upstream got no requests, want some before it leaves")
				}
			})
		})
	}
}

// TestBoxesHearOfLeavingFromOneAnother has an upstream announce to a single box that it is leaving:
// the other boxes send it nothing more, although it has announced nothing to them.
func TestBoxesHearOfLeavingFromOneAnother(t *testing.T) {
	withRoutedRegion(t, func(t *testing.T, r *routedRegion) {
		r.startUpstream("s-a1")
		time.Sleep(time.Second)
		r.platform.SetFaults(fakeplatform.Faults{Down: true})
		r.upstreams["s-a1"].Leave()
		c := newCallers(r)
		c.call("box-a1", "first")
		time.Sleep(time.Second)
		for n := range r.boxes {
			c.call(n, "later-"+n)
		}
		var got []string
		for _, v := range r.upstreams["s-a1"].Arrivals() {
			got = append(got, v.Request)
		}
		if want := "first"; strings.Join(got, " ") != want {
			t.Errorf("requests at the upstream: got %v, want %q alone", got, want)
		}
	})
}

// TestLeavingIsTakenBack guards against an engine that stays unused after an operator has declared
// it as leaving and then withdrawn that. Until the withdrawal reaches the engine, its load reports
// still say that it is leaving. They only repeat the declaration; an announcement by the engine
// itself would be final.
func TestLeavingIsTakenBack(t *testing.T) {
	withRegion(t, func(t *testing.T, r *region) {
		const spec = `{"address":"http://127.0.1.1:1","hall":"a","kvTokens":60000,"maxBatch":100,"models":["m"],"type":"engine","leaving":%v}`
		for round := range 3 {
			r.apply("box-a1", resource.KindUpstream, "engine-a", fmt.Sprintf(spec, true))
			time.Sleep(10 * time.Second)
			r.apply("box-a1", resource.KindUpstream, "engine-a", fmt.Sprintf(spec, false))
			time.Sleep(10 * time.Second)
			for n, b := range r.boxes {
				if u := b.view.Upstream("engine-a"); u == nil || !u.AcceptsWork(time.Now()) {
					t.Errorf("round %d: %s: got %+v, want an engine that accepts new work", round, n, u)
				}
			}
		}
		r.isolateHallB(true)
		time.Sleep(10 * time.Second)
		if n, err := r.generate("", "length=20", "box-a1"); err != nil || n != 20 {
			t.Errorf("after the withdrawal: got %d tokens, %v; want 20", n, err)
		}
	})
}

// TestLateRequestsOfAStopAreNotCut guards against requests that a leaving box accepts late in its grace period, while
// streams are in progress, and cuts off at its end without an answer: they are refused if they may last longer.
func TestLateRequestsOfAStopAreNotCut(t *testing.T) {
	const drain, grace, timeout = 3 * time.Second, 8 * time.Second, 1500 * time.Millisecond
	for _, delay := range []time.Duration{60 * time.Millisecond, 1400 * time.Millisecond} {
		t.Run(fmt.Sprint("requests of ", delay), func(t *testing.T) {
			withPlainUpstreams(t, func(t *testing.T, r *routedRegion, c *callers) {
				for _, n := range plainUpstreams {
					r.upstreams[n].SetFaults(routed.Faults{Delay: delay})
				}
				b := r.boxes["box-a1"]
				b.settings.Timeouts.Drain.Duration, b.settings.Timeouts.Grace.Duration = drain, grace
				var g sync.WaitGroup
				g.Go(func() { r.streamPlan("box-a1", "plan", routedKey, 2000) })
				time.Sleep(time.Second)
				b.Leave()
				ends := time.Now().Add(grace - graceMargin)
				for i := 0; time.Now().Before(ends); i++ {
					at := time.Now()
					g.Go(func() {
						status, retryAfter := c.callStatus("box-a1", fmt.Sprint("call-", i))
						left := ends.Sub(at)
						switch {
						case status == http.StatusServiceUnavailable && left < timeout && retryAfter != "":
						case status != http.StatusOK:
							t.Errorf("request %s before the end: got status %d, want 200, or 503 if less than %s are left", left, status, timeout)
						}
					})
					time.Sleep(50 * time.Millisecond)
				}
				g.Wait()
			})
		})
	}
}
