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

// drainBound is how long after its word that it leaves an upstream may still get requests.
const drainBound = 2 * time.Second

// journey is a request that a test sent.
type journey struct {
	box    string
	sentAt time.Time
}

// crowd sends requests through every box at a steady pace, and remembers where each went.
type crowd struct {
	mutex  sync.Mutex
	routes *routes
	sent   map[string]journey
	served int
}

// newCrowd returns a crowd that has sent nothing.
func newCrowd(r *routes) *crowd {
	return &crowd{routes: r, sent: make(map[string]journey)}
}

// call sends one call of the plain service and reports whether it was served.
func (c *crowd) call(box, id string) bool {
	status, _ := c.callWhole(box, id)
	return status == http.StatusOK
}

// callWhole sends one call of the plain service and returns the status of its answer, 0 where that
// was not whole, and when its caller may come back.
func (c *crowd) callWhole(box, id string) (status int, retryAfter string) {
	q, err := http.NewRequestWithContext(c.routes.t.Context(), http.MethodGet, "http://"+box+"-entry/call/x", http.NoBody)
	if err != nil {
		c.routes.t.Error(err)
		return 0, ""
	}
	q.Host = routedHost
	q.Header.Set("Authorization", "Bearer "+routedKey)
	q.Header.Set("X-Linetiller-Request-Id", id)
	w, err := c.routes.link.RoundTrip(q)
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
	callEvery = 50 * time.Millisecond
	planEvery = 400 * time.Millisecond
)

// run sends calls or, where plans is set, short streams through every box for a time, and
// waits for their ends.
func (c *crowd) run(period time.Duration, plans bool) {
	every := callEvery
	if plans {
		every = planEvery
	}
	var g sync.WaitGroup
	send := func(box, id string, do func() bool) {
		c.mutex.Lock()
		c.sent[id] = journey{box, time.Now()}
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
		for b := range c.routes.boxes {
			id := fmt.Sprintf("%s/%d", b, i)
			if plans {
				send(b, id, func() bool {
					_, whole, _ := c.routes.plan(b, id, routedKey, 40)
					return whole
				})
				continue
			}
			send(b, id, func() bool { return c.call(b, id) })
		}
		time.Sleep(every)
	}
	g.Wait()
}

// from tells from which box a request came.
func (c *crowd) from(request string) (box string, sentAt time.Time) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	j := c.sent[request]
	return j.box, j.sentAt
}

// fromAny tells the same as if all boxes were one: what one of them hears, the others are
// to hear from it.
func (c *crowd) fromAny(request string) (box string, sentAt time.Time) {
	_, sentAt = c.from(request)
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
	away := func(r *routes) { r.platform.SetFaults(fakeplatform.Faults{Down: true}) }
	for _, x := range []struct {
		name    string
		leaves  string
		plans   bool
		before  func(r *routes)
		trouble func(r *routes) // once it leaves
	}{
		{"the store is away", "s-a1", false, away, func(*routes) {}},
		{"the store is away, and an engine leaves", "i-a1", true, away, func(*routes) {}},
		{"an entry written before comes later", "s-a1", false, func(*routes) {}, func(r *routes) {
			time.AfterFunc(time.Second, func() { r.listRoutedCold("s-a1", "ready", 300) })
		}},
		{"an entry written before comes later, of an engine", "i-a1", true, func(*routes) {}, func(r *routes) {
			time.AfterFunc(time.Second, func() { r.listRoutedCold("i-a1", "ready", 300) })
		}},
		{"its entry lapses and comes back", "s-a1", false, away, func(r *routes) {
			time.AfterFunc(2*time.Second, func() {
				r.platform.Remove("servers/s-a1")
				r.platform.SetFaults(fakeplatform.Faults{})
			})
			time.AfterFunc(3*time.Second, func() { r.listRouted("s-a1", "ready") })
		}},
	} {
		t.Run(x.name, func(t *testing.T) {
			withRoutes(t, func(t *testing.T, r *routes) {
				for _, n := range []string{"s-a1", "s-a2", "s-b1"} {
					r.startRouted(n)
				}
				time.Sleep(time.Second)
				x.before(r)
				time.Sleep(3 * time.Second)
				c := newCrowd(r)
				time.AfterFunc(time.Second, func() {
					r.routed[x.leaves].Leave()
					x.trouble(r)
				})
				c.run(8*time.Second, x.plans)
				for _, from := range []routed.Sender{c.from, c.fromAny} {
					if l := r.routed[x.leaves].Unheeded(from, drainBound); len(l) > 0 {
						t.Errorf("got %d requests too late, want none, the first: %s", len(l), l[0])
					}
				}
				if got, want := c.served, len(c.sent); got != want {
					t.Errorf("served: got %d, want all %d", got, want)
				}
				if len(r.routed[x.leaves].Visits()) == 0 {
					t.Error("the upstream got nothing at all, want some before it leaves")
				}
			})
		})
	}
}

// TestBoxesHearOfLeavingFromOneAnother has an upstream say that it leaves to a single box: the
// others send it nothing more, without having asked it.
func TestBoxesHearOfLeavingFromOneAnother(t *testing.T) {
	withRoutes(t, func(t *testing.T, r *routes) {
		r.startRouted("s-a1")
		time.Sleep(time.Second)
		r.platform.SetFaults(fakeplatform.Faults{Down: true})
		r.routed["s-a1"].Leave()
		c := newCrowd(r)
		c.call("box-a1", "first")
		time.Sleep(time.Second)
		for n := range r.boxes {
			c.call(n, "later-"+n)
		}
		var got []string
		for _, v := range r.routed["s-a1"].Visits() {
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
		r.cutHallB(true)
		time.Sleep(10 * time.Second)
		if n, err := r.run("", "length=20", "box-a1"); err != nil || n != 20 {
			t.Errorf("once it is taken back: got %d tokens, %v; want 20", n, err)
		}
	})
}
