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
	// convergencePeriod is the time without a disturbance after which a box has to know what the
	// other boxes know.
	convergencePeriod = 3 * time.Second
	// maxLateRetries is how many retries may reach upstreams later than convergencePeriod after
	// the third crash.
	maxLateRetries = 3
	// replacementDelay is the time from a crash to the start of the next upstream at the same
	// address.
	replacementDelay = 3 * time.Second
)

// poisonFleet is a fleet of plain upstreams that crash under poison requests and are replaced.
type poisonFleet struct {
	*routedRegion
	crashes    map[string][]time.Time // by body or part of the prompt
	sentCount  int
	startCount int

	// findPoisonPart returns the function by which upstreams find the poison part of a prompt, given
	// the default one.
	findPoisonPart func(def func([]string) string) func([]string) string
}

// withPoisonFleet runs f with two halls of two boxes and six upstreams that can crash.
func withPoisonFleet(t *testing.T, f func(t *testing.T, p *poisonFleet)) {
	t.Helper()
	withRoutedRegion(t, func(t *testing.T, r *routedRegion) {
		p := newPoisonFleet(r, "s-a1", "s-a2", "s-a3", "s-b1", "s-b2", "s-b3")
		f(t, p)
		time.Sleep(2 * replacementDelay) // the upstreams that crashed last are replaced
	})
}

// newPoisonFleet returns a fleet with upstreams that can crash, in addition to those of r.
func newPoisonFleet(r *routedRegion, upstreams ...string) *poisonFleet {
	p := &poisonFleet{
		routedRegion: r, crashes: make(map[string][]time.Time),
		findPoisonPart: func(def func([]string) string) func([]string) string { return def },
	}
	for _, n := range upstreams {
		p.startRestartingUpstream(n)
	}
	time.Sleep(5 * time.Second)
	return p
}

// startRestartingUpstream starts an upstream that is replaced, replacementDelay after each crash,
// by one with another name at the same address.
func (p *poisonFleet) startRestartingUpstream(place string) {
	p.mutex.Lock()
	p.startCount++
	name := fmt.Sprintf("%s.%d", place, p.startCount)
	p.mutex.Unlock()
	p.startUpstream(name)
	p.link.SetDown(upstreamAddress(name), false)
	p.mutex.Lock()
	e := p.upstreams[name]
	p.mutex.Unlock()
	e.FindPoisonPart = p.findPoisonPart(e.FindPoisonPart)
	var replaced sync.Once // two poison requests may crash the upstream at the same moment
	crashed := func(cause string) {
		p.link.SetDown(upstreamAddress(name), true)
		p.mutex.Lock()
		p.crashes[cause] = append(p.crashes[cause], time.Now())
		p.mutex.Unlock()
		replaced.Do(func() {
			time.AfterFunc(replacementDelay, func() {
				p.platform.Remove("servers/" + name)
				p.mutex.Lock()
				delete(p.upstreams, name)
				p.mutex.Unlock()
				p.startRestartingUpstream(place)
			})
		})
	}
	e.OnCrashBody, e.OnCrashPart = crashed, crashed
}

// crashCount returns how many upstreams have crashed under a body or a part of the prompt.
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
	p.sentCount++
	id := fmt.Sprint("poison-", p.sentCount)
	p.mutex.Unlock()
	p.post(box, id, body)
}

// checkLateRetries checks that at least minCrashes upstreams crashed under a body, and that at most
// maxLateRetries retries reached upstreams later than convergencePeriod after the third crash.
func (p *poisonFleet) checkLateRetries(body string, minCrashes int) {
	p.t.Helper()
	p.mutex.Lock()
	l := p.crashes[body]
	p.mutex.Unlock()
	if len(l) < minCrashes {
		p.t.Errorf("%s: got %d crashes, want at least %d for the test to mean anything", body, len(l), minCrashes)
	}
	lateRetries := 0
	for _, x := range l {
		if len(l) > 3 && x.Sub(l[2]) > convergencePeriod {
			lateRetries++
		}
	}
	if lateRetries > maxLateRetries {
		p.t.Errorf("%s: retries later than %v after the third crash: got %d (of %d crashes), want at most %d", body, convergencePeriod, lateRetries, len(l), maxLateRetries)
	}
}

// boxesAlternatingHalls lists the boxes, alternating between the halls.
var boxesAlternatingHalls = []string{"box-a1", "box-b1", "box-a2", "box-b2"}

// TestPoisonRequestWhileBoxesRestart guards against a restarted box that no longer knows a poison
// request and lets two more upstreams crash. The boxes restart one after another while a caller
// keeps sending the request.
func TestPoisonRequestWhileBoxesRestart(t *testing.T) {
	withPoisonFleet(t, func(_ *testing.T, p *poisonFleet) {
		for i := range 4 {
			for _, b := range boxesAlternatingHalls {
				p.send(b, routed.PoisonPrefix)
				time.Sleep(time.Second)
			}
			p.restart(boxesAlternatingHalls[i])
			time.Sleep(convergencePeriod)
		}
		p.checkLateRetries(routed.PoisonPrefix, 2)
	})
}

// TestPoisonRequestReachesABoxThatKnowsNothing guards against boxes that missed the announcements
// of crashes because they joined, restarted, were paused or were cut off: each of them let two more
// upstreams crash. They have to learn what other boxes know before a caller reaches them, and at
// most convergencePeriod after their return.
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
					p.send("box-a1", routed.PoisonPrefix)
					time.Sleep(time.Second)
				}
				time.Sleep(3 * time.Second)
				before := p.crashCount(routed.PoisonPrefix)
				if before < 2 {
					t.Fatalf("crashes at first: got %d, want at least 2", before)
				}
				x.after(p)
				time.Sleep(convergencePeriod)
				for range 3 {
					for _, b := range x.boxes {
						p.send(b, routed.PoisonPrefix)
						time.Sleep(time.Second)
					}
				}
				if got := p.crashCount(routed.PoisonPrefix) - before; got != 0 {
					t.Errorf("crashes afterwards: got %d, want none", got)
				}
			})
		})
	}
}

// TestPoisonRequestForAnHour guards against a quarantine that ends while a caller still retries:
// one that ended two minutes after the last crash let two more upstreams crash each time. The
// caller retries every 20 s for an hour, and once after a pause of four minutes.
func TestPoisonRequestForAnHour(t *testing.T) {
	withPoisonFleet(t, func(_ *testing.T, p *poisonFleet) {
		for i := range 180 {
			p.send(boxesAlternatingHalls[i%len(boxesAlternatingHalls)], routed.PoisonPrefix)
			time.Sleep(20 * time.Second)
			if i == 90 {
				time.Sleep(4 * time.Minute)
			}
		}
		p.checkLateRetries(routed.PoisonPrefix, 2)
	})
}

// distinctDeadlyBodies returns the bodies of n different poison requests.
func distinctDeadlyBodies(n int) []string {
	var l []string
	for i := range n {
		l = append(l, fmt.Sprint(routed.PoisonPrefix, "-", i+1))
	}
	return l
}

// TestPoisonRequestsAtOnce guards against crashes that are not counted against poison requests
// because they occur together and look like the failure of a rack. Callers send one poison request
// several times at once, or several different ones, for eight rounds.
func TestPoisonRequestsAtOnce(t *testing.T) {
	for _, x := range []struct {
		name       string
		bodies     []string // sent at once
		minCrashes int      // under each body; 0 where other bodies may crash all upstreams first
	}{
		{"the same, three at once", []string{routed.PoisonPrefix, routed.PoisonPrefix, routed.PoisonPrefix}, 1},
		{"the same, four at once", []string{routed.PoisonPrefix, routed.PoisonPrefix, routed.PoisonPrefix, routed.PoisonPrefix}, 1},
		{"three different ones", distinctDeadlyBodies(3), 1},
		{"sixteen different ones", distinctDeadlyBodies(16), 0},
		{"two of two", []string{routed.PoisonPrefix + "-1", routed.PoisonPrefix + "-2", routed.PoisonPrefix + "-1", routed.PoisonPrefix + "-2"}, 1},
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
				totalCrashes := 0
				for _, body := range slices.Compact(slices.Sorted(slices.Values(x.bodies))) {
					p.checkLateRetries(body, x.minCrashes)
					totalCrashes += p.crashCount(body)
				}
				if totalCrashes < 3 {
					t.Errorf("crashes: got %d, want at least 3 for the test to mean anything", totalCrashes)
				}
			})
		})
	}
}
