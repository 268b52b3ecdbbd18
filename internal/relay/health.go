package relay

import (
	"math"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/linetiller/linetiller/internal/resource"
)

// health is what this box has seen of upstreams with its own requests, which
// goes before what others say of them. It is safe for concurrent use.
type health struct {
	hall  string
	mutex sync.Mutex
	seen  map[string]*evidence
}

// evidence is what was seen of one upstream.
type evidence struct {
	active    int // requests of this box in progress
	askedAt   time.Time
	awayUntil time.Time // it did not answer a connection a moment ago
	misses    int       // connections in a row that it did not answer
	failures  float64   // share of failures among the last answers
	load      float64   // running and waiting requests for each slot, as last told
	loadAt    time.Time
}

const (
	awayPeriod = time.Second // that an upstream which could not be reached is passed over
	// goneMisses is how many connections in a row an upstream does not answer before it
	// counts as out of reach: on a link that loses packets each of ten fails by itself.
	goneMisses     = 5
	probePeriod    = 300 * time.Millisecond // that one request may try an upstream that was out of reach, before another does
	evidenceLife   = 30 * time.Second       // that evidence is kept after the last look at it
	failureWeight  = 0.2                    // of one answer in the share of failures
	failureHalf    = 3 * time.Second        // in which the share of failures halves, so that an upstream is tried again
	failurePenalty = 6.0                    // load that an upstream which always fails counts for
	hallPenalty    = 0.05                   // load that the way to another hall counts for
	loadHalf       = 500 * time.Millisecond // in which a load that was told is half forgotten
	slotsDefault   = 6                      // requests in progress of this box that count as a load of 1
)

func newHealth(hall string) *health {
	return &health{hall: hall, seen: make(map[string]*evidence)}
}

// answered notes an answer, or the lack of one.
func (h *health) answered(name string, failed bool, l *ServerLoad, now time.Time) {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	e := h.at(name)
	e.misses, e.awayUntil = 0, time.Time{}
	e.decay(now)
	v := 0.0
	if failed {
		v = 1
	}
	e.failures += failureWeight * (v - e.failures)
	if l != nil && l.Slots > 0 {
		e.load, e.loadAt = float64(l.Running+l.Waiting)/float64(l.Slots), now
	}
}

// at returns the evidence of an upstream; the lock is held.
func (h *health) at(name string) *evidence {
	e := h.seen[name]
	if e == nil {
		e = new(evidence)
		h.seen[name] = e
	}
	return e
}

// away notes that an upstream could not be reached.
func (h *health) away(name string, now time.Time) {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	e := h.at(name)
	e.awayUntil = now.Add(awayPeriod)
	e.misses++
}

// begin counts a request in progress; the result ends it.
func (h *health) begin(name string) (end func()) {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	e := h.at(name)
	e.active++
	return func() {
		h.mutex.Lock()
		defer h.mutex.Unlock()
		e.active--
	}
}

// choose returns the best of the upstreams that take new work, or nil where there is
// none, and then when one may be within reach again; zero where none would be. Of two drawn
// at random the better one is taken, so that boxes which know the same do not all choose
// alike. An upstream that is out of reach gets one request now and then, to be found again.
func (h *health) choose(l []*resource.Upstream, avoid map[string]bool, now time.Time) (u *resource.Upstream, backAt time.Time) {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	var best, second *resource.Upstream
	least, next := math.Inf(1), math.Inf(1)
	for _, u := range l {
		if avoid[u.Name] || !u.Takes(now) {
			continue
		}
		if e := h.at(u.Name); e.gone(now) {
			if backAt.IsZero() || e.awayUntil.Before(backAt) {
				backAt = e.awayUntil
			}
			continue
		}
		s := h.score(u, now) + rand.Float64()*hallPenalty
		switch {
		case s < least:
			second, next = best, least
			best, least = u, s
		case s < next:
			second, next = u, s
		}
	}
	if second != nil && next-least < hallPenalty && rand.IntN(2) == 0 {
		best = second
	}
	if best == nil {
		return nil, backAt
	}
	if e := h.at(best.Name); e.misses >= goneMisses {
		e.awayUntil = now.Add(probePeriod)
	}
	return best, time.Time{}
}

// forget drops what is old.
func (h *health) forget(now time.Time) {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	for n, e := range h.seen {
		if e.active == 0 && now.Sub(e.askedAt) > evidenceLife {
			delete(h.seen, n)
		}
	}
}

// score returns how much load an upstream counts as having; the lock is held.
func (h *health) score(u *resource.Upstream, now time.Time) float64 {
	e := h.at(u.Name)
	e.decay(now)
	s := float64(e.active)/slotsDefault + failurePenalty*e.failures
	s += e.load * math.Exp2(-now.Sub(e.loadAt).Seconds()/loadHalf.Seconds())
	if u.Spec.Hall != h.hall {
		s += hallPenalty
	}
	if now.Before(e.awayUntil) {
		s += failurePenalty
	}
	return s
}

// gone reports whether the upstream is out of reach.
func (e *evidence) gone(now time.Time) bool {
	return e.misses >= goneMisses && now.Before(e.awayUntil)
}

// decay lets failures of long ago count less.
func (e *evidence) decay(now time.Time) {
	if !e.askedAt.IsZero() {
		e.failures *= math.Exp2(-now.Sub(e.askedAt).Seconds() / failureHalf.Seconds())
	}
	e.askedAt = now
}
