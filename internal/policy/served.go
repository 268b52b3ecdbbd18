package policy

import (
	"cmp"
	"slices"
	"sync"
	"time"
)

// Served remembers which requests lately ran to their ends: one that did is hardly the cause of a
// crash. It is safe for concurrent use.
type Served struct {
	mutex sync.Mutex
	// A full generation replaces the one before, so that memory stays bounded without an order of
	// all entries.
	before, now map[Fingerprint]ran
}

// ran is how often a request ran to its end, and when it last did.
type ran struct {
	at    time.Time
	times int
}

// ServedRun is a request that often ran to its end, and when it last did.
type ServedRun struct {
	At          time.Time   `json:"at"`
	Fingerprint Fingerprint `json:"fingerprint"`
}

const (
	// servedGeneration bounds each of the two generations, of some 50 B an entry.
	servedGeneration = 4096
	// servedLife is how long a run that ended well speaks for a request: what crashes an upstream
	// may have come with a new version of it.
	servedLife = 10 * time.Minute
	// A request counts as one that runs often from oftenLeast runs on; oftenMost of them are told.
	oftenLeast = 3
	oftenMost  = 64
)

// NewServed returns a memory of no request.
func NewServed() *Served {
	return &Served{now: make(map[Fingerprint]ran)}
}

// At returns when a request last ran to its end, the zero time where that is not known or long ago.
func (s *Served) At(p Fingerprint, now time.Time) time.Time {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	t := s.of(p).at
	if now.Sub(t) >= servedLife {
		return time.Time{}
	}
	return t
}

// Note records that a request ran to its end.
func (s *Served) Note(p Fingerprint, now time.Time) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	times := s.of(p).times + 1
	if len(s.now) >= servedGeneration {
		s.before, s.now = s.now, make(map[Fingerprint]ran)
	}
	s.now[p] = ran{now, times}
}

// Often returns requests that often ran to their ends, those first that did so last.
func (s *Served) Often(now time.Time) []ServedRun {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	var l []ServedRun
	for p, x := range s.now {
		if x.times >= oftenLeast && now.Sub(x.at) < servedLife {
			l = append(l, ServedRun{x.at, p})
		}
	}
	slices.SortFunc(l, func(a, b ServedRun) int {
		return cmp.Or(b.At.Compare(a.At), cmp.Compare(a.Fingerprint, b.Fingerprint))
	})
	return l[:min(oftenMost, len(l))]
}

// of returns what is remembered of a request; the lock is held.
func (s *Served) of(p Fingerprint) ran {
	if x, ok := s.now[p]; ok {
		return x
	}
	return s.before[p]
}
