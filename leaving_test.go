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

// leavingBound is how long after its word that it leaves an upstream may still get requests.
const leavingBound = 2 * time.Second

// sentRequest is a request that a test sent.
type sentRequest struct {
	box    string
	sentAt time.Time
}

// callers sends requests through every box at a steady pace, and remembers where each went.
type callers struct {
	mutex  sync.Mutex
	region *routedRegion
	sent   map[string]sentRequest
	served int
}

// newCallers returns a crowd that has sent nothing.
func newCallers(r *routedRegion) *callers {
	return &callers{region: r, sent: make(map[string]sentRequest)}
}

// call sends one call of the plain service and reports whether it was served.
func (c *callers) call(box, id string) bool {
	status, _ := c.callStatus(box, id)
	return status == http.StatusOK
}

// callStatus sends one call of the plain service and returns the status of its answer, 0 where that
// was not whole, and when its caller may come back.
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

// Between two requests through one box: calls, and streams, of which engines read few a second.
const (
	callInterval   = 50 * time.Millisecond
	streamInterval = 400 * time.Millisecond
)

// sendFromAll sends calls or, where plans is set, short streams through every box for a time, and
// waits for their ends.
func (c *callers) sendFromAll(period time.Duration, streams bool) {
	interval := callInterval
	if streams {
		interval = streamInterval
	}
	var g sync.WaitGroup
	send := func(box, id string, do func() bool) {
		c.mutex.Lock()
		c.sent[id] = sentRequest{box, time.Now()}
		c.mutex.Unlock()
		g.Go(func() {
			ok := do()
			c.mutex.Lock()
			defer c.mutex.Unlock()
			if ok {
				c.served++
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

// sender tells from which box a request came.
func (c *callers) sender(request string) (box string, sentAt time.Time) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	j := c.sent[request]
	return j.box, j.sentAt
}

// anySender tells the same as if all boxes were one: what one of them hears, the others are
// to hear from it.
func (c *callers) anySender(request string) (box string, sentAt time.Time) {
	_, sentAt = c.sender(request)
	return "the boxes", sentAt
}

// TestUpstreamThatSaysItLeavesGetsNothingNew has an upstream leave that can tell nobody but
// the boxes that send to it, with its answers, since the store does not take its word. It was
// seen to get requests for as long as the store was silent: answers were read for what they
// tell of their request, and what they tell of their upstream was dropped, so that the list
// alone was believed. Boxes that logged the answer's word as unknown at each of them proved it.
//
// Whatever the list says later that is older than the upstream's own word changes nothing.
func TestUpstreamThatSaysItLeavesGetsNothingNew(t *testing.T) {
	away := func(r *routedRegion) { r.platform.SetFaults(fakeplatform.Faults{Down: true}) }
	for _, x := range []struct {
		name    string
		leaves  string
		plans   bool
		before  func(r *routedRegion)
		trouble func(r *routedRegion) // once it leaves
	}{
		{"the store is away", "s-a1", false, away, func(*routedRegion) {}},
		{"the store is away, and an engine leaves", "i-a1", true, away, func(*routedRegion) {}},
		{"an entry written before comes later", "s-a1", false, func(*routedRegion) {}, func(r *routedRegion) {
			time.AfterFunc(time.Second, func() { r.listColdUpstream("s-a1", "ready", 300) })
		}},
		{"an entry written before comes later, of an engine", "i-a1", true, func(*routedRegion) {}, func(r *routedRegion) {
			time.AfterFunc(time.Second, func() { r.listColdUpstream("i-a1", "ready", 300) })
		}},
		{"its entry lapses and comes back", "s-a1", false, away, func(r *routedRegion) {
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
					r.upstreams[x.leaves].Leave()
					x.trouble(r)
				})
				c.sendFromAll(8*time.Second, x.plans)
				for _, from := range []routed.Sender{c.sender, c.anySender} {
					if l := r.upstreams[x.leaves].Unheeded(from, leavingBound); len(l) > 0 {
						t.Errorf("got %d requests too late, want none, the first: %s", len(l), l[0])
					}
				}
				if got, want := c.served, len(c.sent); got != want {
					t.Errorf("served: got %d, want all %d", got, want)
				}
				if len(r.upstreams[x.leaves].Visits()) == 0 {
					t.Error("the upstream got nothing at all, want some before it leaves")
				}
			})
		})
	}
}

// TestBoxesHearOfLeavingFromOneAnother has an upstream say that it leaves to a single box: the
// others send it nothing more, without having asked it.
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
		for _, v := range r.upstreams["s-a1"].Visits() {
			got = append(got, v.Request)
		}
		if want := "first"; strings.Join(got, " ") != want {
			t.Errorf("requests at the upstream: got %v, want %q alone", got, want)
		}
	})
}

// TestLeavingIsTakenBack has an operator declare that an engine leaves, and take that back. Its
// reports say that it leaves until the order that takes it back has reached it: that is the
// echo of what was declared, and no word of its own, which would hold.
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
					t.Errorf("round %d: %s: got %+v, want an engine that takes new work", round, n, u)
				}
			}
		}
		r.isolateHallB(true)
		time.Sleep(10 * time.Second)
		if n, err := r.generate("", "length=20", "box-a1"); err != nil || n != 20 {
			t.Errorf("once it is taken back: got %d tokens, %v; want 20", n, err)
		}
	})
}
