package soak

import (
	"context"
	"math/rand/v2"
	"time"

	fakeplatform "github.com/linetiller/linetiller/internal/fake/platform"
)

// interval is a span of time; its end is zero while it lasts.
type interval struct{ from, to time.Time }

// emptied is one evacuation of a data hall.
type emptied struct {
	interval
	hall byte
}

const (
	coldPeriod    = 1500 * time.Millisecond // that an upstream which starts is cold
	coldPerSecond = 6                       // requests that it bears meanwhile
	coldSlack     = 2                       // and some beside
	// evacuationBound is how long after the store's acknowledgement requests may still
	// reach an evacuated hall, while the store can be read.
	evacuationBound = 5 * time.Second
	evacuationLeast = 6 * time.Second
	hallsStream     = 1 << 20 // of the random numbers, beside those of faults and callers
)

// evacuateInTurn evacuates one hall after another for some seconds until the context ends.
func (w *world) evacuateInTurn(ctx context.Context, r *rand.Rand) {
	for ctx.Err() == nil {
		hall := w.halls[r.IntN(len(w.halls))]
		pause(ctx, time.Duration(r.Int64N(int64(time.Second))))
		w.setEvacuation(hall, true)
		e := emptied{interval{from: time.Now()}, hall}
		pause(ctx, evacuationLeast+time.Duration(r.Int64N(int64(3*time.Second))))
		e.to = time.Now()
		w.setEvacuation(hall, false)
		w.mutex.Lock()
		w.emptied = append(w.emptied, e)
		w.mutex.Unlock()
	}
}

// coldBears returns how many requests a second cold upstreams are said to bear; 0 is no bound.
func (w *world) coldBears() int {
	if w.cold {
		return coldPerSecond
	}
	return 0
}

// setStore switches faults of the store, and notes since when it is bad or how long it was.
func (w *world) setStore(f fakeplatform.Faults) {
	w.platform.SetFaults(f)
	w.mutex.Lock()
	defer w.mutex.Unlock()
	now := time.Now()
	if n := len(w.away); n > 0 && w.away[n-1].to.IsZero() {
		w.away[n-1].to = now
	}
	if f != (fakeplatform.Faults{}) {
		w.away = append(w.away, interval{from: now})
	}
}

// awayWithin returns how long the store was bad between two moments.
func (w *world) awayWithin(from, to time.Time) time.Duration {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	var d time.Duration
	for _, x := range w.away {
		a, b := x.from, x.to
		if b.IsZero() || b.After(to) {
			b = to
		}
		if a.Before(from) {
			a = from
		}
		d += max(0, b.Sub(a))
	}
	return d
}

// every returns all upstreams that ever stood.
func (w *world) every() []*soakUpstream {
	l := w.all()
	w.mutex.Lock()
	defer w.mutex.Unlock()
	return append(l, w.dead...)
}

// evacuated checks that no request reached an evacuated hall beyond the bound.
func (c *callers) evacuated() {
	w := c.world
	for _, u := range w.every() {
		for _, e := range w.emptied {
			if u.name[2] != e.hall {
				continue
			}
			for _, at := range u.engine.Arrivals() {
				late := at.Sub(e.from) - evacuationBound - w.awayWithin(e.from, at)
				if at.Before(e.to) && late > 0 {
					c.fail("a request reached %s %s after the bound of its hall's evacuation", u.name, late.Round(time.Millisecond))
				}
			}
		}
	}
}

// spared checks that no upstream got more requests in a second while it was cold than it
// bears.
func (c *callers) spared() {
	for _, u := range c.world.every() {
		var cold []time.Time
		for _, at := range u.engine.Arrivals() {
			if at.After(u.cold.from) && at.Before(u.cold.to) {
				cold = append(cold, at)
			}
		}
		for i := range cold {
			n := 0
			for _, at := range cold[i:] {
				if at.Sub(cold[i]) < time.Second {
					n++
				}
			}
			if n > coldPerSecond+coldSlack {
				c.fail("%s got %d requests in a second while it was cold, and bears %d", u.name, n, coldPerSecond+coldSlack)
				break
			}
		}
	}
}
