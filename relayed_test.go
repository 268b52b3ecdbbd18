//go:build !race || whole

package linetiller

import (
	"context"
	"fmt"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/linetiller/linetiller/internal/fake/routed"
	"github.com/linetiller/linetiller/internal/memory"
	"github.com/linetiller/linetiller/internal/metric"
)

// lostLinksWait is how long after the beginning of a cut a box uses other boxes without trying directly.
const lostLinksWait = 2 * time.Second

// withRelayedBox runs f after box-a1 has lost its links to all upstreams.
func withRelayedBox(t *testing.T, f func(t *testing.T, r *routedRegion, c *callers)) {
	t.Helper()
	withUpstreamLinks(t, func(t *testing.T, r *routedRegion, l *upstreamLinks, c *callers) {
		l.set(cutHangs, boxesByHall[:1], r.upstreamNames(false))
		c.send(lostLinksWait, "box-a1")
		f(t, r, c)
	})
}

// relayedCounts returns how many connections each box has open for others.
func (r *routedRegion) relayedCounts() map[string]int {
	m := make(map[string]int)
	for n, b := range r.boxes {
		m[n] = b.relayed.Count()
	}
	return m
}

// TestBoxInBetweenIsLost guards against streams that run twice, or look complete without being it, when the
// box that carries their connection is lost.
func TestBoxInBetweenIsLost(t *testing.T) {
	for _, x := range []struct {
		name string
		lose func(r *routedRegion, box string)
	}{
		{"killed", func(r *routedRegion, n string) { r.kill(n) }},
		{"paused", func(r *routedRegion, n string) {
			r.setPaused(n, true)
			time.AfterFunc(3*time.Second, func() { r.setPaused(n, false) })
		}},
		{"stopped", func(r *routedRegion, n string) {
			b := r.boxes[n]
			b.settings.Timeouts.Drain.Duration, b.settings.Timeouts.Grace.Duration = time.Second, 3*time.Second
			b.Leave()
		}},
	} {
		t.Run(x.name, func(t *testing.T) {
			withRelayedBox(t, func(t *testing.T, r *routedRegion, c *callers) {
				const tokens = 800 // about 6 s
				var g sync.WaitGroup
				for i := range 12 {
					id := fmt.Sprint("long-", i)
					g.Go(func() {
						time.Sleep(time.Duration(i) * 150 * time.Millisecond)
						events, complete, _ := r.streamPlan("box-a1", id, routedKey, tokens)
						if complete && events != tokens/4 {
							t.Errorf("%s: got %d events in a stream that looks complete, want %d", id, events, tokens/4)
						}
						if got := r.runCount(id); got > 1 {
							t.Errorf("%s: got %d runs, want at most 1", id, got)
						}
					})
				}
				time.Sleep(2 * time.Second)
				if got := r.relayedCounts()["box-a2"]; got == 0 {
					t.Error("got no connections by way of box-a2, want some")
				}
				x.lose(r, "box-a2")
				load := c.send(5*time.Second, "box-a1")
				g.Wait()
				if k := load.calls["box-a1"]; k.served != k.sent {
					t.Errorf("calls by way of the boxes that are left: got %d served, want all %d", k.served, k.sent)
				}
				r.links.set("", boxesByHall[:1], r.upstreamNames(false))
				time.Sleep(10 * time.Second)
				for n, got := range r.relayedCounts() {
					if got != 0 {
						t.Errorf("%s: got %d connections left open for others, want none", n, got)
					}
				}
			})
		})
	}
}

// TestStoppedBoxCarriesConnectionsToTheirEnd guards against a planned stop that cuts off the streams which
// other boxes receive over the one that stops.
func TestStoppedBoxCarriesConnectionsToTheirEnd(t *testing.T) {
	withRelayedBox(t, func(t *testing.T, r *routedRegion, _ *callers) {
		for _, n := range boxesByHall[1:] {
			b := r.boxes[n]
			b.settings.Timeouts.Drain.Duration, b.settings.Timeouts.Grace.Duration = time.Second, 15*time.Second
		}
		var g sync.WaitGroup
		for i := range 8 {
			g.Go(func() {
				if events, complete, _ := r.streamPlan("box-a1", fmt.Sprint("long-", i), routedKey, 800); !complete {
					t.Errorf("stream %d: got %d events, want a complete stream", i, events)
				}
			})
		}
		time.Sleep(time.Second)
		for _, n := range boxesByHall[1:] {
			r.boxes[n].Leave()
		}
		g.Wait()
	})
}

// TestCallerOfARelayedStreamLeaves guards against generations that go on for a caller that is gone, behind
// the box in between.
func TestCallerOfARelayedStreamLeaves(t *testing.T) {
	withRelayedBox(t, func(t *testing.T, r *routedRegion, _ *callers) {
		ctx, cancel := context.WithCancel(t.Context())
		var g sync.WaitGroup
		for i := range 4 {
			g.Go(func() {
				q, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://box-a1-entry/plan/x", strings.NewReader("p"))
				if err != nil {
					t.Error(err)
					return
				}
				q.Host = routedHost
				for k, v := range map[string]string{
					"Authorization": "Bearer " + routedKey, "X-Linetiller-Request-Id": fmt.Sprint("left-", i), "X-Linetiller-Model": "m",
					"X-Linetiller-Token-Count": "3000,2224", "Length-Hint": "2000",
				} {
					q.Header.Set(k, v)
				}
				w, err := r.link.RoundTrip(q)
				if err != nil {
					return
				}
				defer func() { _ = w.Body.Close() }()
				<-ctx.Done()
			})
		}
		running := func() int {
			n := 0
			for _, e := range r.upstreams {
				n += e.RunningRequests()
			}
			return n
		}
		time.Sleep(2 * time.Second)
		if got, want := running(), 4; got != want {
			t.Errorf("running before the callers leave: got %d, want %d", got, want)
		}
		cancel()
		time.Sleep(500 * time.Millisecond)
		if got := running(); got != 0 {
			t.Errorf("running half a second after the callers left: got %d, want none", got)
		}
		g.Wait()
	})
}

// TestLimitsHoldOverOtherBoxes guards against rate limits of upstreams that are exceeded because requests
// reach them over other boxes.
func TestLimitsHoldOverOtherBoxes(t *testing.T) {
	withRelayedBox(t, func(t *testing.T, r *routedRegion, c *callers) {
		r.setLimit("2.8", plainUpstreams...)
		c.sendPaced(14*time.Second, 25*time.Millisecond, false, roundRobin)
		c.checkLimits(t)
	})
}

// TestRelayedConnectionsAreSpread guards against a box in between that carries the connections of all boxes
// without links.
func TestRelayedConnectionsAreSpread(t *testing.T) {
	withUpstreamLinks(t, func(t *testing.T, r *routedRegion, l *upstreamLinks, c *callers) {
		l.set(cutHangs, boxesByHall[:2], r.upstreamNames(false))
		c.send(lostLinksWait, boxesByHall[:2]...)
		total := func(box string) uint64 { return r.boxes[box].metrics.Counter(metric.RelayedTotal).Get() }
		before := make(map[string]uint64)
		for _, n := range boxesByHall[2:] {
			before[n] = total(n)
		}
		began := time.Now()
		c.send(5*time.Second, boxesByHall[:2]...)
		arrivals := 0
		for n := range r.upstreams {
			arrivals += r.requestsSince(n, began)
		}
		for _, n := range boxesByHall[2:] {
			if got := total(n) - before[n]; got > uint64(arrivals)*4/5 {
				t.Errorf("connections by way of %s: got %d of %d, want at most four fifths", n, got, arrivals)
			}
		}
	})
}

// TestRelayedConnectionsAreBounded checks that a box opens no more connections for others than its limit, or
// than it has memory for, and that requests then use other boxes.
func TestRelayedConnectionsAreBounded(t *testing.T) {
	for name, bound := range map[string]func(b *Box){
		"limit":  func(b *Box) { b.relayed.limit = 2 },
		"memory": func(b *Box) { b.memory = memory.NewAccount(2 * memory.RequestBytes) },
	} {
		t.Run(name, func(t *testing.T) { checkRelayedAreBounded(t, bound) })
	}
}

// checkRelayedAreBounded checks that a box which may open two connections for others opens no more.
func checkRelayedAreBounded(t *testing.T, bound func(b *Box)) {
	t.Helper()
	withRelayedBox(t, func(t *testing.T, r *routedRegion, _ *callers) {
		bound(r.boxes["box-a2"])
		var g sync.WaitGroup
		for i := range 8 {
			g.Go(func() {
				if _, complete, status := r.streamPlan("box-a1", fmt.Sprint("long-", i), routedKey, 400); !complete {
					t.Errorf("stream %d: got status %d, want a complete stream", i, status)
				}
			})
		}
		for range 20 {
			time.Sleep(100 * time.Millisecond)
			if got, want := r.relayedCounts()["box-a2"], 2; got > want {
				t.Errorf("connections by way of box-a2: got %d, want at most %d", got, want)
			}
		}
		g.Wait()
		if got := r.boxes["box-a2"].memory.Reserved(); got != 0 {
			t.Errorf("reserved once all have ended: got %d, want 0", got)
		}
	})
}

// TestPoisonRequestOverOtherBoxes checks that crashes of upstreams are told from lost links also at a box
// without links: a poison request is quarantined.
func TestPoisonRequestOverOtherBoxes(t *testing.T) {
	withRelayedBox(t, func(t *testing.T, r *routedRegion, _ *callers) {
		crashed := 0
		for n, e := range r.upstreams {
			e.OnCrash = func(string) {
				crashed++
				_ = r.links.listeners[n].Close()
			}
		}
		for range 8 {
			r.post("box-a1", fmt.Sprint("poison-", time.Now().UnixNano()), routed.PoisonPrefix+" request")
			time.Sleep(time.Second)
		}
		if got, want := crashed, 2; got > want {
			t.Errorf("crashed upstreams: got %d, want at most %d", got, want)
		}
	})
}

// TestStopOfABoxThatCarriesNoRequest guards against a box that takes its whole grace to stop because other
// boxes keep connections over it open.
func TestStopOfABoxThatCarriesNoRequest(t *testing.T) {
	withRelayedBox(t, func(t *testing.T, r *routedRegion, _ *callers) {
		time.Sleep(3 * time.Second) // for load reports
		for _, n := range boxesByHall[1:] {
			b := r.boxes[n]
			b.settings.Timeouts.Drain.Duration, b.settings.Timeouts.Grace.Duration = time.Second, 15*time.Second
			b.Leave()
		}
		time.Sleep(5 * time.Second)
		for _, n := range boxesByHall[1:] {
			if r.boxes[n].serveContext.Err() == nil {
				t.Errorf("%s: got a box that still serves 5 s after its stop was requested, want it stopped", n)
			}
		}
	})
}

// TestRunsMoveOverOtherBoxes checks that the streams of a box without links move away from an engine that
// leaves: none is lost or runs twice.
func TestRunsMoveOverOtherBoxes(t *testing.T) {
	withRelayedBox(t, func(t *testing.T, r *routedRegion, _ *callers) {
		var g sync.WaitGroup
		for i := range 8 {
			id := fmt.Sprint("moved-", i)
			g.Go(func() {
				events, complete, _ := r.streamPlan("box-a1", id, routedKey, 1200)
				if events != 300 || !complete || r.runCount(id) != 1 {
					t.Errorf("%s: got %d events, complete %v, %d runs; want 300, complete, 1 run", id, events, complete, r.runCount(id))
				}
			})
		}
		time.Sleep(2 * time.Second)
		for _, n := range []string{"i-a1", "i-b1"} {
			if r.upstreams[n].RunningRequests() > 0 {
				r.listUpstream(n, "draining")
				time.Sleep(1500 * time.Millisecond)
				_ = r.links.listeners[n].Close()
				r.killUpstream(n)
			}
		}
		g.Wait()
	})
}

// TestEvacuationHoldsOverOtherBoxes checks that a box without links sends nothing to an evacuated hall.
func TestEvacuationHoldsOverOtherBoxes(t *testing.T) {
	withRelayedBox(t, func(t *testing.T, r *routedRegion, c *callers) {
		r.evacuate(false, "a")
		time.Sleep(evacuationBound)
		began := time.Now()
		load := c.send(5*time.Second, "box-a1")
		for _, n := range []string{"i-a1", "i-a2", "s-a1", "s-a2"} {
			if got := r.requestsSince(n, began); got != 0 {
				t.Errorf("%s, in the evacuated hall: got %d requests, want none", n, got)
			}
		}
		if k := load.calls["box-a1"]; k.served != k.sent {
			t.Errorf("calls: got %d served, want all %d", k.served, k.sent)
		}
	})
}

// TestNoPathThroughOtherRegions guards against requests that pass through a region to which they may be
// restricted.
func TestNoPathThroughOtherRegions(t *testing.T) {
	withUpstreamLinks(t, func(t *testing.T, r *routedRegion, l *upstreamLinks, c *callers) {
		for _, b := range r.boxes {
			b.settings.Regions = map[string]string{"a": "east", "b": "west"}
		}
		l.set(cutHangs, boxesByHall[:2], r.upstreamNames(false))
		load := c.send(5*time.Second, boxesByHall[0])
		for _, n := range boxesByHall[2:] {
			if got := r.boxes[n].metrics.Counter(metric.RelayedTotal).Get(); got != 0 {
				t.Errorf("%s, in another region: got %d connections for others, want none", n, got)
			}
		}
		if got := load.calls[boxesByHall[0]].served; got != 0 {
			t.Errorf("calls served without a path: got %d, want none", got)
		}
	})
}
