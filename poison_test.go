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
	// convergencePeriod is after how long without a disturbance a box is held to what others know.
	convergencePeriod = 3 * time.Second
	// maxLateRetries is how many retries may reach upstreams later than convergencePeriod after the
	// third crash.
	maxLateRetries = 3
	// replacementDelay is how long after a crash the next upstream starts at the same address.
	replacementDelay = 3 * time.Second
)

// poisonFleet is a fleet of plain upstreams that a poison request crashes and that start again.
type poisonFleet struct {
	*routedRegion
	crashes map[string][]time.Time // by body
	sent    int
	starts  int
}

// withPoisonFleet runs f with two halls of two boxes and six upstreams that can crash.
func withPoisonFleet(t *testing.T, f func(t *testing.T, p *poisonFleet)) {
	t.Helper()
	withRoutedRegion(t, func(t *testing.T, r *routedRegion) {
		p := &poisonFleet{routedRegion: r, crashes: make(map[string][]time.Time)}
		for _, n := range []string{"s-a1", "s-a2", "s-a3", "s-b1", "s-b2", "s-b3"} {
			p.startRestartingUpstream(n)
		}
		time.Sleep(5 * time.Second)
		f(t, p)
		time.Sleep(2 * replacementDelay) // the last upstreams start again
	})
}

// startRestartingUpstream starts an upstream that starts again, under another name, some time after each
// crash.
func (p *poisonFleet) startRestartingUpstream(place string) {
	p.mutex.Lock()
	p.starts++
	name := fmt.Sprintf("%s.%d", place, p.starts)
	p.mutex.Unlock()
	p.startUpstream(name)
	p.link.Down(upstreamAddress(name), false)
	e := p.upstreamAt(upstreamAddress(name))
	e.CrashedUnder = func(body string) {
		p.link.Down(upstreamAddress(name), true)
		p.mutex.Lock()
		p.crashes[body] = append(p.crashes[body], time.Now())
		p.mutex.Unlock()
		time.AfterFunc(replacementDelay, func() {
			p.platform.Remove("servers/" + name)
			p.mutex.Lock()
			delete(p.upstreams, name)
			p.mutex.Unlock()
			p.startRestartingUpstream(place)
		})
	}
}

// crashCount returns how many upstreams have crashed under a body.
func (p *poisonFleet) crashCount(body string) int {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	return len(p.crashes[body])
}

// restart kills a box and starts it again.
func (p *poisonFleet) restart(name string) {
	p.kill(name)
	time.Sleep(500 * time.Millisecond)
	p.startEntryBox(name)
}

// send sends a poison request through a box.
func (p *poisonFleet) send(box, body string) {
	p.mutex.Lock()
	p.sent++
	id := fmt.Sprint("poison-", p.sent)
	p.mutex.Unlock()
	p.post(box, id, body)
}

// checkLateRetries checks that at least so many upstreams crashed under a body, and that they got no
// more retries of it than they may, later than convergencePeriod after the third crash.
func (p *poisonFleet) checkLateRetries(body string, minCrashes int) {
	p.t.Helper()
	p.mutex.Lock()
	l := p.crashes[body]
	p.mutex.Unlock()
	if len(l) < minCrashes {
		p.t.Errorf("%s: got %d crashes, want at least %d: the test tests nothing", body, len(l), minCrashes)
	}
	late := 0
	for _, x := range l {
		if len(l) > 3 && x.Sub(l[2]) > convergencePeriod {
			late++
		}
	}
	if late > maxLateRetries {
		p.t.Errorf("%s: retries later than %v after the third crash: got %d (of %d crashes), want at most %d", body, convergencePeriod, late, len(l), maxLateRetries)
	}
}

var boxesAlternatingHalls = []string{"box-a1", "box-b1", "box-a2", "box-b2"}

// TestPoisonRequestWhileBoxesRestart restarts the boxes in turn while a caller returns with a
// poison request: each box that started again had forgotten it, and let two upstreams crash.
func TestPoisonRequestWhileBoxesRestart(t *testing.T) {
	withPoisonFleet(t, func(_ *testing.T, p *poisonFleet) {
		for i := range 4 {
			for _, b := range boxesAlternatingHalls {
				p.send(b, routed.Deadly)
				time.Sleep(time.Second)
			}
			p.restart(boxesAlternatingHalls[i])
			time.Sleep(convergencePeriod)
		}
		p.checkLateRetries(routed.Deadly, 2)
	})
}

// TestPoisonRequestReachesABoxThatKnowsNothing has a box join, all boxes of a hall restart, and
// boxes miss the announcements while they are paused or cut off: what others know they have to
// learn before a caller comes to them, and at most convergencePeriod after they were back, or each of
// them lets two more upstreams crash.
func TestPoisonRequestReachesABoxThatKnowsNothing(t *testing.T) {
	for _, x := range []struct {
		name   string
		before func(p *poisonFleet) // the first crashes
		after  func(p *poisonFleet)
		boxes  []string
	}{
		{"a box joins", func(*poisonFleet) {}, func(p *poisonFleet) { p.startEntryBox("box-a3") }, []string{"box-a3"}},
		{"a hall restarts", func(*poisonFleet) {}, func(p *poisonFleet) {
			p.kill("box-b1")
			p.kill("box-b2")
			p.startEntryBox("box-b1")
			p.startEntryBox("box-b2")
		}, []string{"box-b1", "box-b2"}},
		{"a box was paused", func(p *poisonFleet) { p.setPaused("box-a2", true) }, func(p *poisonFleet) { p.setPaused("box-a2", false) }, []string{"box-a2"}},
		{"a hall was cut off", func(p *poisonFleet) { p.isolateHallB(true) }, func(p *poisonFleet) { p.isolateHallB(false) }, []string{"box-b1", "box-b2"}},
	} {
		t.Run(x.name, func(t *testing.T) {
			withPoisonFleet(t, func(t *testing.T, p *poisonFleet) {
				x.before(p)
				for range 5 {
					p.send("box-a1", routed.Deadly)
					time.Sleep(time.Second)
				}
				time.Sleep(3 * time.Second)
				before := p.crashCount(routed.Deadly)
				if before < 2 {
					t.Fatalf("crashes at first: got %d, want at least 2", before)
				}
				x.after(p)
				time.Sleep(convergencePeriod)
				for range 3 {
					for _, b := range x.boxes {
						p.send(b, routed.Deadly)
						time.Sleep(time.Second)
					}
				}
				if got := p.crashCount(routed.Deadly) - before; got != 0 {
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
	withPoisonFleet(t, func(_ *testing.T, p *poisonFleet) {
		for i := range 180 {
			p.send(boxesAlternatingHalls[i%len(boxesAlternatingHalls)], routed.Deadly)
			time.Sleep(20 * time.Second)
			if i == 90 {
				time.Sleep(4 * time.Minute)
			}
		}
		p.checkLateRetries(routed.Deadly, 2)
	})
}

// distinctDeadlyBodies returns that many poison requests.
func distinctDeadlyBodies(n int) []string {
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
		{"three different ones", distinctDeadlyBodies(3), 1},
		{"sixteen different ones", distinctDeadlyBodies(16), 0},
		{"two of two", []string{routed.Deadly + "-1", routed.Deadly + "-2", routed.Deadly + "-1", routed.Deadly + "-2"}, 1},
	} {
		t.Run(x.name, func(t *testing.T) {
			withPoisonFleet(t, func(t *testing.T, p *poisonFleet) {
				for round := range 8 {
					var g sync.WaitGroup
					for i, body := range x.bodies {
						g.Go(func() { p.send(boxesAlternatingHalls[(round+i)%len(boxesAlternatingHalls)], body) })
					}
					g.Wait()
					time.Sleep(2 * replacementDelay)
				}
				all := 0
				for _, body := range slices.Compact(slices.Sorted(slices.Values(x.bodies))) {
					p.checkLateRetries(body, x.least)
					all += p.crashCount(body)
				}
				if all < 3 {
					t.Errorf("crashes: got %d, want at least 3: the test tests nothing", all)
				}
			})
		})
	}
}
