package policy

import (
	"slices"
	"sync"
	"time"
)

// Served remembers which requests lately ran to their ends at this box: one that did is hardly the
// cause of a crash. It is safe for concurrent use.
type Served struct {
	mutex sync.Mutex
	// A full generation replaces the one before, so that memory stays bounded without an order of
	// all entries.
	before, now map[Fingerprint]ran
	unreported  map[Fingerprint]ran // since the last report
}

// ran is how often a request ran to its end, and when it last did.
type ran struct {
	at    time.Time
	times int
}

// ServedRun is a request that ran to its end: how often it did, and when it last did.
type ServedRun struct {
	At          time.Time   `cbor:"1,keyasint"`
	Fingerprint Fingerprint `cbor:"2,keyasint"`
	Times       int         `cbor:"3,keyasint"`
}

const (
	// servedGeneration bounds each of the two generations, of some 50 B an entry.
	servedGeneration = 4096
	// servedLife is how long a run that ended well speaks for a request: what crashes an upstream
	// may have come with a new version of it.
	servedLife = 10 * time.Minute
	// unreportedMost bounds the requests of which some go into the next report.
	unreportedMost = 1024
)

// NewServed returns a memory of no request.
func NewServed() *Served {
	return &Served{now: make(map[Fingerprint]ran), unreported: make(map[Fingerprint]ran)}
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
	s.addUnreported(p, ran{now, 1})
}

// Report returns up to so many requests that ran to their ends since the last report, the most
// frequent ones first. The others are left out: what runs often is in one of the next reports.
func (s *Served) Report(count int) []ServedRun {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	l := make([]ServedRun, 0, len(s.unreported))
	for p, x := range s.unreported {
		l = append(l, ServedRun{x.at, p, x.times})
	}
	clear(s.unreported)
	slices.SortFunc(l, compareRuns)
	return l[:min(count, len(l))]
}

// Unreport puts back a report that did not arrive.
func (s *Served) Unreport(l []ServedRun) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	for _, x := range l {
		s.addUnreported(x.Fingerprint, ran{x.At, x.Times})
	}
}

// addUnreported records runs that are not reported yet; the lock is held.
func (s *Served) addUnreported(p Fingerprint, x ran) {
	old, known := s.unreported[p]
	if !known && len(s.unreported) >= unreportedMost {
		return
	}
	if old.at.After(x.at) {
		x.at = old.at
	}
	s.unreported[p] = ran{x.at, old.times + x.times}
}

// of returns what is remembered of a request; the lock is held.
func (s *Served) of(p Fingerprint) ran {
	if x, ok := s.now[p]; ok {
		return x
	}
	return s.before[p]
}
