// Package health tracks how upstreams respond to this box's own requests, and chooses upstreams by
// these observations. It does no I/O and reads no clock.
package health

import (
	"math"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/linetiller/linetiller/internal/resource"
)

// Load is the load that an upstream reports with an answer, in requests.
type Load struct {
	// Pace is how long work takes at the upstream at present, relative to the usual: at 2 it takes
	// twice as long. It is 0 if the upstream does not report it.
	Pace    float64
	Running int
	Slots   int
	Waiting int
}

// Tracker holds what this box has observed of upstreams with its own requests. These observations
// take precedence over what other boxes report. It is safe for concurrent use.
type Tracker struct {
	// ColdRateLimit returns how many requests per second this box may send to an upstream while
	// the upstream is cold. It can be replaced before first use; the default sets no limit.
	ColdRateLimit func(u *resource.Upstream) int

	hall  string
	mutex sync.Mutex
	stats map[string]*upstreamStats
}

// upstreamStats holds the observations of one upstream.
type upstreamStats struct {
	inFlight         int         // requests of this box in progress
	decayedAt        time.Time   // when failureRate was last decayed, which every use of it does
	unreachableUntil time.Time   // end of the penalty for the last failed connection
	coldSends        []time.Time // requests within the last coldWindow, while the upstream was cold
	connectFailures  int         // consecutive failed connections
	failureRate      float64     // share of failures among recent answers, from 0 to 1
	load             float64     // running and waiting requests per slot, as last reported
	loadAt           time.Time   // when load was reported
	logPace          float64     // smoothed logarithm of the reported pace; 0 at the usual pace
	paceAt           time.Time   // when a pace was last reported
}

// candidate is an upstream and its score: the lower, the better.
type candidate struct {
	score    float64
	upstream *resource.Upstream
}

const (
	// Penalties add to the score, in units of load: a load of 1 means that all slots are taken.
	// coldPenalty is for cold upstreams. They are slower by an unknown amount, and a warm upstream
	// with free slots is preferred.
	coldPenalty       = 0.5
	coldWindow        = time.Second // sliding window of the cold rate limit
	unreachablePeriod = time.Second // how long a failed connection counts against an upstream
	// unreachableThreshold is the number of consecutive failed connections after which an upstream
	// counts as unreachable. On a link with packet loss one connection in ten fails although the
	// upstream is up.
	unreachableThreshold = 5
	probePeriod          = 300 * time.Millisecond // time between two probes of an unreachable upstream
	statsTTL             = 30 * time.Second       // how long unused statistics are kept
	failureWeight        = 0.2                    // weight of the latest answer in the failure rate
	failureHalfLife      = 3 * time.Second        // of the failure rate; the decay lets a failing upstream be tried again
	failurePenalty       = 6.0                    // penalty at a failure rate of 1, and after a failed connection
	hallPenalty          = 0.05                   // penalty of an upstream in another hall
	loadHalfLife         = 500 * time.Millisecond // of the weight of a reported load
	// paceWeight is the weight of the latest report in the smoothed pace. An upstream's pace varies
	// many times a second, so that a single report says little about the next request.
	paceWeight = 0.3
	// paceHalfLife is the half-life of the logarithm of the pace. The decay lets an upstream that
	// was slow be tried again.
	paceHalfLife = time.Second
	// minPace and maxPace bound a reported pace, so that no report can make an upstream look free,
	// or keep it from being chosen for long.
	minPace      = 0.25
	maxPace      = 16.0
	defaultSlots = 6 // requests in flight from this box that count as a load of 1
)

// New returns a tracker without observations for a box in the given hall.
func New(hall string) *Tracker {
	return &Tracker{ColdRateLimit: func(*resource.Upstream) int { return math.MaxInt }, hall: hall, stats: make(map[string]*upstreamStats)}
}

// Begin counts a request to the upstream as in flight until end is called.
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

// Choose returns the upstream with the lowest score among those that take new work and are not in
// avoid. If there is none, it returns nil and the earliest time at which one may be available
// again, which is zero if waiting does not help.
//
// If the two best scores are close, one of the two is drawn at random, so that boxes with the same
// observations do not all choose the same upstream. An unreachable upstream is chosen now and then
// as a probe, to detect its recovery.
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

// EvictIdle removes the statistics of upstreams without requests in flight that have not been used
// for statsTTL.
func (t *Tracker) EvictIdle(now time.Time) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	for n, e := range t.stats {
		if e.inFlight == 0 && now.Sub(e.decayedAt) > statsTTL {
			delete(t.stats, n)
		}
	}
}

// RecordAnswer records the outcome of a request that may have reached the upstream, and the load that
// the upstream reported with its answer; nil if there is none.
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
	if l != nil && l.Pace > 0 {
		e.recordPace(l.Pace, now)
	}
}

// RecordUnreachable records a failed connection to the upstream.
func (t *Tracker) RecordUnreachable(name string, now time.Time) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	e := t.statsOf(name)
	e.unreachableUntil = now.Add(unreachablePeriod)
	e.connectFailures++
}

// blockedUntil returns the time before which this box must not send requests to the upstream,
// because the upstream is unreachable, or cold with its rate limit used up; zero if it may. The
// caller holds the lock.
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

// score returns the time that a request is expected to take at the upstream, beyond that at an idle
// one and in units of it, plus penalties. The caller holds the lock.
func (t *Tracker) score(u *resource.Upstream, now time.Time) float64 {
	e := t.statsOf(u.Name)
	e.decay(now)
	s := float64(e.inFlight) / defaultSlots
	s += e.load * math.Exp2(-now.Sub(e.loadAt).Seconds()/loadHalfLife.Seconds())
	s = (1+s)*e.pace(now) - 1
	s += failurePenalty * e.failureRate
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

// statsOf returns the statistics of an upstream, and creates them if needed. The caller holds the
// lock.
func (t *Tracker) statsOf(name string) *upstreamStats {
	e := t.stats[name]
	if e == nil {
		e = new(upstreamStats)
		t.stats[name] = e
	}
	return e
}

// coldLimitReached reports whether the upstream is cold and this box has sent it as many requests
// within coldWindow as the limit allows.
func (e *upstreamStats) coldLimitReached(u *resource.Upstream, limit func(*resource.Upstream) int, now time.Time) bool {
	if !u.Cold(now) {
		e.coldSends = nil
		return false
	}
	e.coldSends = slices.DeleteFunc(e.coldSends, func(t time.Time) bool { return now.Sub(t) > coldWindow })
	return len(e.coldSends) >= limit(u)
}

// decay reduces the failure rate by the time since the last decay.
func (e *upstreamStats) decay(now time.Time) {
	if !e.decayedAt.IsZero() {
		e.failureRate *= math.Exp2(-now.Sub(e.decayedAt).Seconds() / failureHalfLife.Seconds())
	}
	e.decayedAt = now
}

// pace returns how long work is expected to take at the upstream, relative to the usual.
func (e *upstreamStats) pace(now time.Time) float64 {
	return math.Exp2(e.decayedLogPace(now))
}

// decayedLogPace returns the smoothed binary logarithm of the pace, reduced by the time since the
// last report.
func (e *upstreamStats) decayedLogPace(now time.Time) float64 {
	return e.logPace * math.Exp2(-now.Sub(e.paceAt).Seconds()/paceHalfLife.Seconds())
}

// recordPace adds a reported pace to the smoothed one. Logarithms are averaged, so that half and
// twice the usual pace cancel out.
func (e *upstreamStats) recordPace(pace float64, now time.Time) {
	l := e.decayedLogPace(now)
	v := math.Log2(min(maxPace, max(minPace, pace)))
	e.logPace, e.paceAt = l+paceWeight*(v-l), now
}

// recordChoice records that the upstream was chosen for a request. If it was unreachable, the
// request is a probe, and no other one follows within probePeriod.
func (e *upstreamStats) recordChoice(u *resource.Upstream, now time.Time) {
	if e.connectFailures >= unreachableThreshold {
		e.unreachableUntil = now.Add(probePeriod)
	}
	if u.Cold(now) {
		e.coldSends = append(e.coldSends, now)
	}
}

// unreachable reports whether the upstream is unreachable and no probe is due.
func (e *upstreamStats) unreachable(now time.Time) bool {
	return e.connectFailures >= unreachableThreshold && now.Before(e.unreachableUntil)
}
