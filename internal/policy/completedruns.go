package policy

import (
	"slices"
	"sync"
	"time"
)

// CompletedRuns records which requests recently ran to completion at this box. Such a request is
// unlikely to be the cause of a crash. It is safe for concurrent use.
type CompletedRuns struct {
	mutex sync.Mutex
	// When current is full, it replaces previous. This bounds the memory without a list of
	// entries in order of use.
	previous, current map[Fingerprint]runStats
	unreported        map[Fingerprint]runStats // since the last report
}

// runStats counts the completed runs of a request and records the time of the last one.
type runStats struct {
	lastAt time.Time
	times  int
}

// CompletedRun describes the completed runs of one request: how many there were, and when the last one
// was.
type CompletedRun struct {
	At          time.Time   `cbor:"1,keyasint"`
	Fingerprint Fingerprint `cbor:"2,keyasint"`
	Times       int         `cbor:"3,keyasint"`
}

const (
	// maxRunsPerSet bounds each of current and previous; an entry takes about 50 bytes.
	maxRunsPerSet = 4096
	// completedRunTTL is how long a completed run counts as evidence that a request is harmless.
	// It is short because a new version of the upstream may crash on the same request.
	completedRunTTL = 10 * time.Minute
	// maxUnreported bounds the requests that are kept for the next report, which contains the
	// most frequent of them.
	maxUnreported = 1024
)

// NewCompletedRuns returns an empty record.
func NewCompletedRuns() *CompletedRuns {
	return &CompletedRuns{current: make(map[Fingerprint]runStats), unreported: make(map[Fingerprint]runStats)}
}

// LastRun returns when a request last ran to completion and how often it did so recently. It returns the zero
// time if that is unknown or more than completedRunTTL ago.
func (c *CompletedRuns) LastRun(p Fingerprint, now time.Time) (at time.Time, times int) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	x := c.statsOf(p)
	if now.Sub(x.lastAt) >= completedRunTTL {
		return time.Time{}, 0
	}
	return x.lastAt, x.times
}

// Record records that a request ran to completion.
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

// RestoreReport adds back a report that could not be delivered.
func (c *CompletedRuns) RestoreReport(l []CompletedRun) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	for _, x := range l {
		c.addUnreported(x.Fingerprint, runStats{x.At, x.Times})
	}
}

// TakeReport returns up to count requests that ran to completion since the last report, the most
// frequent first, and drops the rest: a request that runs often will be in one of the next reports.
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

// addUnreported adds runs to the next report. The caller holds the mutex.
func (c *CompletedRuns) addUnreported(p Fingerprint, x runStats) {
	old, found := c.unreported[p]
	if !found && len(c.unreported) >= maxUnreported {
		return
	}
	if old.lastAt.After(x.lastAt) {
		x.lastAt = old.lastAt
	}
	c.unreported[p] = runStats{x.lastAt, old.times + x.times}
}

// statsOf returns what is recorded of a request. The caller holds the mutex.
func (c *CompletedRuns) statsOf(p Fingerprint) runStats {
	if x, ok := c.current[p]; ok {
		return x
	}
	return c.previous[p]
}
