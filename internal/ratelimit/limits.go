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

// Limits are the rate limits of upstreams, as far as one box knows. It is safe for concurrent use;
// its lock is a leaf.
type Limits struct {
	count   atomic.Int32     // of limits, so that nothing is locked while there are none
	invalid map[string]int64 // by upstream: its start that named a limit which cannot be used
	limits  map[string]Limit
	mutex   sync.Mutex
}

// maxInvalid bounds the upstreams of which it is remembered that they named what is no limit.
const maxInvalid = 1024

// NewLimits returns limits of no upstream.
func NewLimits() *Limits {
	return &Limits{invalid: make(map[string]int64), limits: make(map[string]Limit)}
}

// All returns what is known of every limit, in order of the upstreams' names.
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

// Digest returns what tells the limited upstreams that are known here from those that another box
// knows; 0 for none. It does not depend on their rates, which those boxes hear that need them.
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
		b := binary.LittleEndian.AppendUint64(nil, uint64(x.StartedAt))
		if x.Lifted {
			b = append(b, 1)
		}
		_, _ = h.Write(b)
		sum ^= h.Sum64()
	}
	return sum
}

// Empty reports whether no limit is known.
func (s *Limits) Empty() bool { return s.count.Load() == 0 }

// MarkInvalid records that one start of an upstream named what is no limit, and reports whether it is
// the first time.
func (s *Limits) MarkInvalid(upstream string, startedAt int64) bool {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if b, ok := s.invalid[upstream]; ok && b == startedAt {
		return false
	}
	if len(s.invalid) >= maxInvalid {
		clear(s.invalid)
	}
	s.invalid[upstream] = startedAt
	return true
}

// Lift records that an answer of one start of an upstream named no limit. It returns nil where that
// changes nothing.
func (s *Limits) Lift(upstream string, startedAt int64, now time.Time) *Change {
	if s.Empty() {
		return nil
	}
	s.mutex.Lock()
	defer s.mutex.Unlock()
	x, ok := s.limits[upstream]
	if !ok || x.Lifted || x.StartedAt != startedAt {
		return nil
	}
	x.ReportedAt, x.Lifted = now, true
	return s.record(x, now)
}

// Get returns the limit in force of one start of an upstream, or nil.
func (s *Limits) Get(upstream string, startedAt int64, now time.Time) *Limit {
	if s.Empty() {
		return nil
	}
	s.mutex.Lock()
	defer s.mutex.Unlock()
	x, ok := s.limits[upstream]
	if !ok || x.StartedAt != startedAt || !x.inForce(now) {
		return nil
	}
	l := x // so that nothing is allocated where there is no limit
	return &l
}

// Record records what a box heard of a limit. It returns nil where that is older than what is known.
func (s *Limits) Record(l Limit, now time.Time) *Change {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	l.ReportedAt = now.Add(l.ReportedAt.Sub(now)) // a time of another box does not follow steps of the time of day otherwise
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

// evictExpired drops what is old; the lock is held.
func (s *Limits) evictExpired(now time.Time) {
	for n, x := range s.limits {
		if x.expired(now) {
			delete(s.limits, n)
		}
	}
	s.count.Store(int32(len(s.limits)))
}

// record is Record; the lock is held.
func (s *Limits) record(l Limit, now time.Time) *Change {
	known, ok := s.limits[l.Upstream]
	if l.expired(now) || (ok && !l.supersedes(&known)) {
		return nil
	}
	s.limits[l.Upstream] = l
	s.count.Store(int32(len(s.limits)))
	return &Change{After: l, Before: known, Known: ok}
}
