//go:build !race || whole

package linetiller

import (
	"fmt"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/linetiller/linetiller/internal/fake/routed"
)

const (
	// contactPeriod is after how long without a disturbance a box is held to what others know.
	contactPeriod = 3 * time.Second
	// lateRetriesMost is how many retries may reach upstreams later than contactPeriod after the
	// third crash.
	lateRetriesMost = 3
	// replacedAfter is how long after a crash the next upstream starts at the same address.
	replacedAfter = 3 * time.Second
)

// poison is a fleet of plain upstreams that a poison request crashes and that start again.
type poison struct {
	*routes
	crashes map[string][]time.Time // by body
	sent    int
	starts  int
}

// withPoison runs f with two halls of two boxes and six upstreams that can crash.
func withPoison(t *testing.T, f func(t *testing.T, p *poison)) {
	t.Helper()
	withRoutes(t, func(t *testing.T, r *routes) {
		p := &poison{routes: r, crashes: make(map[string][]time.Time)}
		for _, n := range []string{"s-a1", "s-a2", "s-a3", "s-b1", "s-b2", "s-b3"} {
			p.startUpstream(n)
		}
		time.Sleep(5 * time.Second)
		f(t, p)
		time.Sleep(2 * replacedAfter) // the last upstreams start again
	})
}

// startUpstream starts an upstream that starts again, under another name, some time after each
// crash.
func (p *poison) startUpstream(place string) {
	p.mutex.Lock()
	p.starts++
	name := fmt.Sprintf("%s.%d", place, p.starts)
	p.mutex.Unlock()
	p.startRouted(name)
	p.link.Down(routedAddress(name), false)
	e := p.engineAt(routedAddress(name))
	e.CrashedUnder = func(body string) {
		p.link.Down(routedAddress(name), true)
		p.mutex.Lock()
		p.crashes[body] = append(p.crashes[body], time.Now())
		p.mutex.Unlock()
		time.AfterFunc(replacedAfter, func() {
			p.platform.Remove("servers/" + name)
			p.mutex.Lock()
			delete(p.routed, name)
			p.mutex.Unlock()
			p.startUpstream(place)
		})
	}
}

// crashed returns how many upstreams have crashed under a body.
func (p *poison) crashed(body string) int {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	return len(p.crashes[body])
}

// restart kills a box and starts it again.
func (p *poison) restart(name string) {
	p.kill(name)
	time.Sleep(500 * time.Millisecond)
	p.startRouter(name)
}

// send sends a poison request through a box.
func (p *poison) send(box, body string) {
	p.mutex.Lock()
	p.sent++
	id := fmt.Sprint("poison-", p.sent)
	p.mutex.Unlock()
	p.post(box, id, body)
}

// wantFewRetries checks that at least so many upstreams crashed under a body, and that they got no
// more retries of it than they may, later than contactPeriod after the third crash.
func (p *poison) wantFewRetries(body string, least int) {
	p.t.Helper()
	p.mutex.Lock()
	l := p.crashes[body]
	p.mutex.Unlock()
	if len(l) < least {
		p.t.Errorf("%s: got %d crashes, want at least %d: the test tests nothing", body, len(l), least)
	}
	late := 0
	for _, x := range l {
		if len(l) > 3 && x.Sub(l[2]) > contactPeriod {
			late++
		}
	}
	if late > lateRetriesMost {
		p.t.Errorf("%s: retries later than %v after the third crash: got %d (of %d crashes), want at most %d", body, contactPeriod, late, len(l), lateRetriesMost)
	}
}

var allBoxes = []string{"box-a1", "box-b1", "box-a2", "box-b2"}

// TestPoisonRequestWhileBoxesRestart restarts the boxes in turn while a caller returns with a
// poison request: each box that started again had forgotten it, and let two upstreams crash.
func TestPoisonRequestWhileBoxesRestart(t *testing.T) {
	withPoison(t, func(_ *testing.T, p *poison) {
		for i := range 4 {
			for _, b := range allBoxes {
				p.send(b, routed.Deadly)
				time.Sleep(time.Second)
			}
			p.restart(allBoxes[i])
			time.Sleep(contactPeriod)
		}
		p.wantFewRetries(routed.Deadly, 2)
	})
}

// TestPoisonRequestReachesABoxThatKnowsNothing has a box join, all boxes of a hall restart, and
// boxes miss the announcements while they are paused or cut off: what others know they have to
// learn before a caller comes to them, and at most contactPeriod after they were back, or each of
// them lets two more upstreams crash.
func TestPoisonRequestReachesABoxThatKnowsNothing(t *testing.T) {
	for _, x := range []struct {
		name   string
		before func(p *poison) // the first crashes
		after  func(p *poison)
		boxes  []string
	}{
		{"a box joins", func(*poison) {}, func(p *poison) { p.startRouter("box-a3") }, []string{"box-a3"}},
		{"a hall restarts", func(*poison) {}, func(p *poison) {
			p.kill("box-b1")
			p.kill("box-b2")
			p.startRouter("box-b1")
			p.startRouter("box-b2")
		}, []string{"box-b1", "box-b2"}},
		{"a box was paused", func(p *poison) { p.setFrozen("box-a2", true) }, func(p *poison) { p.setFrozen("box-a2", false) }, []string{"box-a2"}},
		{"a hall was cut off", func(p *poison) { p.cutHallB(true) }, func(p *poison) { p.cutHallB(false) }, []string{"box-b1", "box-b2"}},
	} {
		t.Run(x.name, func(t *testing.T) {
			withPoison(t, func(t *testing.T, p *poison) {
				x.before(p)
				for range 5 {
					p.send("box-a1", routed.Deadly)
					time.Sleep(time.Second)
				}
				time.Sleep(3 * time.Second)
				before := p.crashed(routed.Deadly)
				if before < 2 {
					t.Fatalf("crashes at first: got %d, want at least 2", before)
				}
				x.after(p)
				time.Sleep(contactPeriod)
				for range 3 {
					for _, b := range x.boxes {
						p.send(b, routed.Deadly)
						time.Sleep(time.Second)
					}
				}
				if got := p.crashed(routed.Deadly) - before; got != 0 {
					t.Errorf("crashes afterwards: got %d, want none", got)
				}
			})
		})
	}
}

// TestPoisonRequestForAnHour has a caller return every 20 s for an hour, and once after a pause of
// some minutes: a quarantine that ended two minutes after the last crash let two more upstreams
// crash each time.
func TestPoisonRequestForAnHour(t *testing.T) {
	withPoison(t, func(_ *testing.T, p *poison) {
		for i := range 180 {
			p.send(allBoxes[i%len(allBoxes)], routed.Deadly)
			time.Sleep(20 * time.Second)
			if i == 90 {
				time.Sleep(4 * time.Minute)
			}
		}
		p.wantFewRetries(routed.Deadly, 2)
	})
}

// different returns that many poison requests.
func different(n int) []string {
	var l []string
	for i := range n {
		l = append(l, fmt.Sprint(routed.Deadly, "-", i+1))
	}
	return l
}

// TestPoisonRequestsAtOnce has callers send a poison request several times at once, and several
// different ones, round after round: crashes that came together were taken for those of a rack,
// and never counted.
func TestPoisonRequestsAtOnce(t *testing.T) {
	for _, x := range []struct {
		name   string
		bodies []string // sent at once
		least  int      // crashes under each: one that runs beside others as these crash its upstreams has none
	}{
		{"the same, three at once", []string{routed.Deadly, routed.Deadly, routed.Deadly}, 1},
		{"the same, four at once", []string{routed.Deadly, routed.Deadly, routed.Deadly, routed.Deadly}, 1},
		{"three different ones", different(3), 1},
		{"sixteen different ones", different(16), 0},
		{"two of two", []string{routed.Deadly + "-1", routed.Deadly + "-2", routed.Deadly + "-1", routed.Deadly + "-2"}, 1},
	} {
		t.Run(x.name, func(t *testing.T) {
			withPoison(t, func(t *testing.T, p *poison) {
				for round := range 8 {
					var g sync.WaitGroup
					for i, body := range x.bodies {
						g.Go(func() { p.send(allBoxes[(round+i)%len(allBoxes)], body) })
					}
					g.Wait()
					time.Sleep(2 * replacedAfter)
				}
				all := 0
				for _, body := range slices.Compact(slices.Sorted(slices.Values(x.bodies))) {
					p.wantFewRetries(body, x.least)
					all += p.crashed(body)
				}
				if all < 3 {
					t.Errorf("crashes: got %d, want at least 3: the test tests nothing", all)
				}
			})
		})
	}
}
