package ratelimit

import (
	"encoding/binary"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Limits holds the rate limits of upstreams that one box knows. It is safe for concurrent use and
// takes no other lock while it holds its own.
type Limits struct {
	count   atomic.Int32     // number of limits; spares the lock while there are none
	invalid map[string]int64 // start times of instances that announced an invalid limit, by upstream
	limits  map[string]Limit // by upstream
	mutex   sync.Mutex
}

// maxInvalid bounds the number of upstreams in Limits.invalid, which is cleared when it is full.
const maxInvalid = 1024

// NewLimits returns an empty set of limits.
func NewLimits() *Limits {
	return &Limits{invalid: make(map[string]int64), limits: make(map[string]Limit)}
}

// All returns all known limits, lifted ones included, sorted by upstream.
func (s *Limits) All(now time.Time) []Limit {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.evictExpired(now)
	l := make([]Limit, 0, len(s.limits))
	for _, x := range s.limits {
		l = append(l, x)
	}
	slices.SortFunc(l, func(a, b Limit) int { return strings.Compare(a.Upstream, b.Upstream) })
	return l
}

// Digest returns a hash of the known limited upstreams by which boxes detect that they know
// different ones; 0 if none is known. It does not cover the rates, which are sent only to the boxes
// that need them.
func (s *Limits) Digest(now time.Time) uint64 {
	if s.Empty() {
		return 0
	}
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.evictExpired(now)
	var sum uint64
	for _, x := range s.limits {
		h := xxhash.New()
		_, _ = h.WriteString(x.Upstream)
		b := binary.LittleEndian.AppendUint64(nil, uint64(x.StartedAtMS))
		if x.Lifted {
			b = append(b, 1)
		}
		_, _ = h.Write(b)
		sum ^= h.Sum64()
	}
	return sum
}

// Empty reports whether no limit is known. It takes no lock.
func (s *Limits) Empty() bool { return s.count.Load() == 0 }

// Get returns the limit in force for the given instance of an upstream, or nil if there is none.
func (s *Limits) Get(upstream string, startedAtMS int64, now time.Time) *Limit {
	if s.Empty() {
		return nil
	}
	s.mutex.Lock()
	defer s.mutex.Unlock()
	x, ok := s.limits[upstream]
	if !ok || x.StartedAtMS != startedAtMS || !x.inForce(now) {
		return nil
	}
	l := x // copied here so that x does not escape, and lookups without a limit do not allocate
	return &l
}

// Lift records that an answer of the given instance of an upstream announced no limit. It returns
// nil if that changes nothing.
func (s *Limits) Lift(upstream string, startedAtMS int64, now time.Time) *Change {
	if s.Empty() {
		return nil
	}
	s.mutex.Lock()
	defer s.mutex.Unlock()
	x, ok := s.limits[upstream]
	if !ok || x.Lifted || x.StartedAtMS != startedAtMS {
		return nil
	}
	x.ReportedAt, x.Lifted = now, true
	return s.record(x, now)
}

// MarkInvalid records that the given instance of an upstream announced an invalid limit. It reports
// whether this is the first time.
func (s *Limits) MarkInvalid(upstream string, startedAtMS int64) bool {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if b, ok := s.invalid[upstream]; ok && b == startedAtMS {
		return false
	}
	if len(s.invalid) >= maxInvalid {
		clear(s.invalid)
	}
	s.invalid[upstream] = startedAtMS
	return true
}

// Record records a limit that this or another box learned of. It returns nil if the limit is expired
// or no newer than the known one.
func (s *Limits) Record(l Limit, now time.Time) *Change {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	// Times from other boxes have no monotonic reading. Derive the time from now, which has one, so
	// that later steps of the wall clock do not affect it.
	l.ReportedAt = now.Add(l.ReportedAt.Sub(now))
	return s.record(l, now)
}

// Size returns how many limits are in force.
func (s *Limits) Size(now time.Time) int {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	n := 0
	for _, x := range s.limits {
		if x.inForce(now) {
			n++
		}
	}
	return n
}

// evictExpired removes expired limits. The caller holds the lock.
func (s *Limits) evictExpired(now time.Time) {
	for n, x := range s.limits {
		if x.expired(now) {
			delete(s.limits, n)
		}
	}
	s.count.Store(int32(len(s.limits)))
}

// record implements Record without the clock correction. The caller holds the lock.
func (s *Limits) record(l Limit, now time.Time) *Change {
	old, ok := s.limits[l.Upstream]
	if l.expired(now) || (ok && !l.supersedes(&old)) {
		return nil
	}
	s.limits[l.Upstream] = l
	s.count.Store(int32(len(s.limits)))
	return &Change{After: l, Before: old, HasBefore: ok}
}
