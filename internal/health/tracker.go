// Package health keeps what a box has seen of upstreams with its own requests, and chooses
// among them by it. It does no I/O and reads no clock.
package health

import (
	"math"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/linetiller/linetiller/internal/resource"
)

// Load is what an upstream tells of its load with an answer.
type Load struct {
	Running int
	Slots   int
	Waiting int
}

// Tracker is what this box has seen of upstreams with its own requests, which goes before
// what others say of them. It is safe for concurrent use.
type Tracker struct {
	// ColdRateLimit returns how many requests a second this box may send to an upstream while
	// it is cold; a seam. By default none is bounded.
	ColdRateLimit func(u *resource.Upstream) int

	hall  string
	mutex sync.Mutex
	stats map[string]*upstreamStats
}

// upstreamStats is what was seen of one upstream.
type upstreamStats struct {
	inFlight         int // requests of this box in progress
	decayedAt        time.Time
	unreachableUntil time.Time   // it did not answer a connection a moment ago
	coldSends        []time.Time // of the last second, while it was cold
	connectFailures  int         // connections in a row that it did not answer
	failureRate      float64     // share of failures among the last answers
	load             float64     // running and waiting requests for each slot, as last told
	loadAt           time.Time
}

// candidate is an upstream with the load that it counts as having.
type candidate struct {
	score    float64
	upstream *resource.Upstream
}

const (
	// coldPenalty is the load that a cold upstream counts for: it is slower, by how much is
	// not told, and one that is warm and not full goes before it.
	coldPenalty       = 0.5
	coldWindow        = time.Second // in which requests to a cold upstream are counted
	unreachablePeriod = time.Second // that an upstream which could not be reached is passed over
	// unreachableThreshold is how many connections in a row an upstream does not answer before it
	// counts as out of reach: on a link that loses packets each of ten fails by itself.
	unreachableThreshold = 5
	probePeriod          = 300 * time.Millisecond // that one request may try an upstream that was out of reach, before another does
	statsTTL             = 30 * time.Second       // that evidence is kept after the last look at it
	failureWeight        = 0.2                    // of one answer in the share of failures
	failureHalfLife      = 3 * time.Second        // in which the share of failures halves, so that an upstream is tried again
	failurePenalty       = 6.0                    // load that an upstream which always fails counts for
	hallPenalty          = 0.05                   // load that the way to another hall counts for
	loadHalfLife         = 500 * time.Millisecond // in which a load that was told is half forgotten
	defaultSlots         = 6                      // requests in progress of this box that count as a load of 1
)

// New returns a tracker, for a box of a hall, that has seen nothing.
func New(hall string) *Tracker {
	return &Tracker{ColdRateLimit: func(*resource.Upstream) int { return math.MaxInt }, hall: hall, stats: make(map[string]*upstreamStats)}
}

// RecordAnswer notes an answer, or the lack of one.
func (t *Tracker) RecordAnswer(name string, failed bool, l *Load, now time.Time) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	e := t.statsOf(name)
	e.connectFailures, e.unreachableUntil = 0, time.Time{}
	e.decay(now)
	v := 0.0
	if failed {
		v = 1
	}
	e.failureRate += failureWeight * (v - e.failureRate)
	if l != nil && l.Slots > 0 {
		e.load, e.loadAt = float64(l.Running+l.Waiting)/float64(l.Slots), now
	}
}

// statsOf returns the evidence of an upstream; the lock is held.
func (t *Tracker) statsOf(name string) *upstreamStats {
	e := t.stats[name]
	if e == nil {
		e = new(upstreamStats)
		t.stats[name] = e
	}
	return e
}

// RecordUnreachable notes that an upstream could not be reached.
func (t *Tracker) RecordUnreachable(name string, now time.Time) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	e := t.statsOf(name)
	e.unreachableUntil = now.Add(unreachablePeriod)
	e.connectFailures++
}

// Begin counts a request in progress; the result ends it.
func (t *Tracker) Begin(name string) (end func()) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	e := t.statsOf(name)
	e.inFlight++
	return func() {
		t.mutex.Lock()
		defer t.mutex.Unlock()
		e.inFlight--
	}
}

// Choose returns the best of the upstreams that take new work, or nil where there is
// none, and then when one may be within reach again; zero where none would be. Of the two
// best one is drawn where they are close, so that boxes which know the same do not all
// choose alike. An upstream that is out of reach gets one request now and then, to be found
// again.
func (t *Tracker) Choose(l []*resource.Upstream, avoid map[string]bool, now time.Time) (u *resource.Upstream, retryAt time.Time) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	var first, second candidate
	first.score, second.score = math.Inf(1), math.Inf(1)
	for _, u := range l {
		if avoid[u.Name] || !u.AcceptsWork(now) {
			continue
		}
		if at := t.blockedUntil(u, now); !at.IsZero() {
			if retryAt.IsZero() || at.Before(retryAt) {
				retryAt = at
			}
			continue
		}
		x := candidate{t.score(u, now) + rand.Float64()*hallPenalty, u}
		switch {
		case x.score < first.score:
			first, second = x, first
		case x.score < second.score:
			second = x
		}
	}
	if second.upstream != nil && second.score-first.score < hallPenalty && rand.IntN(2) == 0 {
		first = second
	}
	if first.upstream == nil {
		return nil, retryAt
	}
	t.statsOf(first.upstream.Name).recordChoice(first.upstream, now)
	return first.upstream, time.Time{}
}

// EvictIdle drops what is old.
func (t *Tracker) EvictIdle(now time.Time) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	for n, e := range t.stats {
		if e.inFlight == 0 && now.Sub(e.decayedAt) > statsTTL {
			delete(t.stats, n)
		}
	}
}

// blockedUntil returns until when an upstream that takes new work is to get none from this
// box, or zero: it is out of reach, or cold and has had its share; the lock is held.
func (t *Tracker) blockedUntil(u *resource.Upstream, now time.Time) time.Time {
	e := t.statsOf(u.Name)
	switch {
	case e.unreachable(now):
		return e.unreachableUntil
	case e.coldLimitReached(u, t.ColdRateLimit, now):
		return u.ColdUntil
	}
	return time.Time{}
}

// score returns how much load an upstream counts as having; the lock is held.
func (t *Tracker) score(u *resource.Upstream, now time.Time) float64 {
	e := t.statsOf(u.Name)
	e.decay(now)
	s := float64(e.inFlight)/defaultSlots + failurePenalty*e.failureRate
	s += e.load * math.Exp2(-now.Sub(e.loadAt).Seconds()/loadHalfLife.Seconds())
	if u.Spec.Hall != t.hall {
		s += hallPenalty
	}
	if u.Cold(now) {
		s += coldPenalty
	}
	if now.Before(e.unreachableUntil) {
		s += failurePenalty
	}
	return s
}

// recordChoice notes that a request goes to the upstream.
func (e *upstreamStats) recordChoice(u *resource.Upstream, now time.Time) {
	if e.connectFailures >= unreachableThreshold {
		e.unreachableUntil = now.Add(probePeriod)
	}
	if u.Cold(now) {
		e.coldSends = append(e.coldSends, now)
	}
}

// coldLimitReached reports whether an upstream is cold and has had what this box may send it.
func (e *upstreamStats) coldLimitReached(u *resource.Upstream, limit func(*resource.Upstream) int, now time.Time) bool {
	if !u.Cold(now) {
		e.coldSends = nil
		return false
	}
	e.coldSends = slices.DeleteFunc(e.coldSends, func(t time.Time) bool { return now.Sub(t) > coldWindow })
	return len(e.coldSends) >= limit(u)
}

// unreachable reports whether the upstream is out of reach.
func (e *upstreamStats) unreachable(now time.Time) bool {
	return e.connectFailures >= unreachableThreshold && now.Before(e.unreachableUntil)
}

// decay lets failures of long ago count less.
func (e *upstreamStats) decay(now time.Time) {
	if !e.decayedAt.IsZero() {
		e.failureRate *= math.Exp2(-now.Sub(e.decayedAt).Seconds() / failureHalfLife.Seconds())
	}
	e.decayedAt = now
}
