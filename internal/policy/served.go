package policy

import (
	"sync"
	"time"
)

// Served remembers which requests lately ran to their ends: one that did is hardly the cause of a
// crash. It is safe for concurrent use.
type Served struct {
	mutex sync.Mutex
	// A full generation replaces the one before, so that memory stays bounded without an order of
	// all entries.
	before, now map[Fingerprint]time.Time
}

const (
	// servedGeneration bounds each of the two generations, of some 50 B an entry.
	servedGeneration = 4096
	// servedLife is how long a run that ended well speaks for a request: what crashes an upstream
	// may have come with a new version of it.
	servedLife = 10 * time.Minute
)

// NewServed returns a memory of no request.
func NewServed() *Served {
	return &Served{now: make(map[Fingerprint]time.Time)}
}

// At returns when a request last ran to its end, the zero time where that is not known or long ago.
func (s *Served) At(p Fingerprint, now time.Time) time.Time {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	t, ok := s.now[p]
	if !ok {
		t = s.before[p]
	}
	if now.Sub(t) >= servedLife {
		return time.Time{}
	}
	return t
}

// Note records that a request ran to its end.
func (s *Served) Note(p Fingerprint, now time.Time) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if len(s.now) >= servedGeneration {
		s.before, s.now = s.now, make(map[Fingerprint]time.Time)
	}
	s.now[p] = now
}
