package policy

import (
	"slices"
	"sync"
	"time"
)

// CompletedRuns remembers which requests lately ran to their ends at this box: one that did is hardly the
// cause of a crash. It is safe for concurrent use.
type CompletedRuns struct {
	mutex sync.Mutex
	// A full generation replaces the one before, so that memory stays bounded without an order of
	// all entries.
	previous, current map[Fingerprint]runStats
	unreported        map[Fingerprint]runStats // since the last report
}

// runStats is how often a request ran to its end, and when it last did.
type runStats struct {
	lastAt time.Time
	times  int
}

// CompletedRun is a request that ran to its end: how often it did, and when it last did.
type CompletedRun struct {
	At          time.Time   `cbor:"1,keyasint"`
	Fingerprint Fingerprint `cbor:"2,keyasint"`
	Times       int         `cbor:"3,keyasint"`
}

const (
	// maxRunsPerSet bounds each of the two generations, of some 50 B an entry.
	maxRunsPerSet = 4096
	// completedRunTTL is how long a run that ended well speaks for a request: what crashes an upstream
	// may have come with a new version of it.
	completedRunTTL = 10 * time.Minute
	// maxUnreported bounds the requests of which some go into the next report.
	maxUnreported = 1024
)

// NewCompletedRuns returns a memory of no request.
func NewCompletedRuns() *CompletedRuns {
	return &CompletedRuns{current: make(map[Fingerprint]runStats), unreported: make(map[Fingerprint]runStats)}
}

// LastRunAt returns when a request last ran to its end, the zero time where that is not known or long ago.
func (c *CompletedRuns) LastRunAt(p Fingerprint, now time.Time) time.Time {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	t := c.statsOf(p).lastAt
	if now.Sub(t) >= completedRunTTL {
		return time.Time{}
	}
	return t
}

// Record records that a request ran to its end.
func (c *CompletedRuns) Record(p Fingerprint, now time.Time) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	times := c.statsOf(p).times + 1
	if len(c.current) >= maxRunsPerSet {
		c.previous, c.current = c.current, make(map[Fingerprint]runStats)
	}
	c.current[p] = runStats{now, times}
	c.addUnreported(p, runStats{now, 1})
}

// TakeReport returns up to so many requests that ran to their ends since the last report, the most
// frequent ones first. The others are left out: what runs often is in one of the next reports.
func (c *CompletedRuns) TakeReport(count int) []CompletedRun {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	l := make([]CompletedRun, 0, len(c.unreported))
	for p, x := range c.unreported {
		l = append(l, CompletedRun{x.lastAt, p, x.times})
	}
	clear(c.unreported)
	slices.SortFunc(l, compareCompletedRuns)
	return l[:min(count, len(l))]
}

// RestoreReport puts back a report that did not arrive.
func (c *CompletedRuns) RestoreReport(l []CompletedRun) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	for _, x := range l {
		c.addUnreported(x.Fingerprint, runStats{x.At, x.Times})
	}
}

// addUnreported records runs that are not reported yet; the lock is held.
func (c *CompletedRuns) addUnreported(p Fingerprint, x runStats) {
	old, known := c.unreported[p]
	if !known && len(c.unreported) >= maxUnreported {
		return
	}
	if old.lastAt.After(x.lastAt) {
		x.lastAt = old.lastAt
	}
	c.unreported[p] = runStats{x.lastAt, old.times + x.times}
}

// statsOf returns what is remembered of a request; the lock is held.
func (c *CompletedRuns) statsOf(p Fingerprint) runStats {
	if x, ok := c.current[p]; ok {
		return x
	}
	return c.previous[p]
}
