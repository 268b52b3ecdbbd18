package soak

import (
	"context"
	"math/rand/v2"
	"time"

	fakeplatform "github.com/linetiller/linetiller/internal/fake/platform"
)

// interval is a span of time; to is zero while it has not ended.
type interval struct{ from, to time.Time }

// evacuation is one evacuation of a data hall.
type evacuation struct {
	interval
	hall byte
}

const (
	coldPeriod    = 1500 * time.Millisecond // how long an upstream is cold after its start
	coldPerSecond = 6                       // requests per second that a cold upstream can serve
	coldSlack     = 2                       // requests allowed in excess of that in any second
	// evacuationBound is how long after the store's acknowledgement requests may still reach an
	// evacuated hall. Times when the store is faulty do not count.
	evacuationBound      = 5 * time.Second
	minEvacuation        = 6 * time.Second // minimum duration of an evacuation
	evacuationsRNGStream = 1 << 20         // stream of the random generator, distinct from the others
)

// allUpstreams returns all upstreams, including those that have ended.
func (w *cluster) allUpstreams() []*soakUpstream {
	l := w.liveUpstreams()
	w.mutex.Lock()
	defer w.mutex.Unlock()
	return append(l, w.endedUpstreams...)
}

// declaredColdRate returns the configured limit of requests per second to a cold upstream; 0 is no
// limit.
func (w *cluster) declaredColdRate() int {
	if w.cold {
		return coldPerSecond
	}
	return 0
}

// runEvacuations evacuates one hall after another for some seconds until the context ends.
func (w *cluster) runEvacuations(ctx context.Context, r *rand.Rand) {
	for ctx.Err() == nil {
		hall := w.halls[r.IntN(len(w.halls))]
		pause(ctx, time.Duration(r.Int64N(int64(time.Second))))
		w.setEvacuation(hall, true)
		e := evacuation{interval{from: time.Now()}, hall}
		pause(ctx, minEvacuation+time.Duration(r.Int64N(int64(3*time.Second))))
		e.to = time.Now()
		w.setEvacuation(hall, false)
		w.mutex.Lock()
		w.evacuations = append(w.evacuations, e)
		w.mutex.Unlock()
	}
}

// setStoreFaults sets the faults of the store, and records the time as the start or end of an outage.
func (w *cluster) setStoreFaults(f fakeplatform.Faults) {
	w.platform.SetFaults(f)
	w.mutex.Lock()
	defer w.mutex.Unlock()
	now := time.Now()
	if n := len(w.storeOutages); n > 0 && w.storeOutages[n-1].to.IsZero() {
		w.storeOutages[n-1].to = now
	}
	if f != (fakeplatform.Faults{}) {
		w.storeOutages = append(w.storeOutages, interval{from: now})
	}
}

// storeOutageDuration returns for how long the store was faulty between two times.
func (w *cluster) storeOutageDuration(from, to time.Time) time.Duration {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	var d time.Duration
	for _, x := range w.storeOutages {
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

// checkColdStarts checks that no upstream got more requests in a second than it can serve while it
// was cold.
func (c *callers) checkColdStarts() {
	for _, u := range c.cluster.allUpstreams() {
		var cold []time.Time
		for _, at := range u.engine.ArrivalTimes() {
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
				c.addViolation("%s got %d requests in a second while it was cold, where %d are allowed", u.name, n, coldPerSecond+coldSlack)
				break
			}
		}
	}
}

// checkEvacuations checks that no request reached an evacuated hall later than evacuationBound.
func (c *callers) checkEvacuations() {
	w := c.cluster
	for _, u := range w.allUpstreams() {
		for _, e := range w.evacuations {
			if u.name[2] != e.hall {
				continue
			}
			for _, at := range u.engine.ArrivalTimes() {
				overdue := at.Sub(e.from) - evacuationBound - w.storeOutageDuration(e.from, at)
				if at.Before(e.to) && overdue > 0 {
					c.addViolation("a request reached %s %s later than allowed after the evacuation of its hall began", u.name, overdue.Round(time.Millisecond))
				}
			}
		}
	}
}
