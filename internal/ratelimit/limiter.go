package ratelimit

import (
	"context"
	"sync"
	"time"
)

// Limiter decides whether this box may send a request to an upstream now. A permit is required if
// the upstream has announced a limit or is cold. Limiter is safe for concurrent use. Its own lock
// and that of its limits are never held together.
type Limiter struct {
	// RequestPermits requests permits from the upstream's allocator. It must be set before the Limiter
	// is used.
	RequestPermits func(ctx context.Context, q *PermitRequest) (*Grant, error)

	limits *Limits
	mutex  sync.Mutex
	states map[string]*permitState
}

// Option modifies the permit request of one call of Take.
type Option func(*PermitRequest)

// permitState holds the permits of this box for one upstream instance, and its recent demand.
type permitState struct {
	startedAtMS    int64
	permits        int       // granted and unused
	refusedUntil   time.Time // no permit is available before this time
	windowDemand   int       // permits wanted since windowStart
	previousDemand int       // permits wanted in the previous window; a window lasts permitTTL or longer
	windowStart    time.Time
	permitsUntil   time.Time // when the unused permits expire
}

const (
	// errorBackoff is how long no permit is requested after a request that no box answered.
	errorBackoff = 100 * time.Millisecond
	// minBackoff is the shortest time between a refusal and the next permit request.
	minBackoff = 5 * time.Millisecond
)

// NewLimiter returns a limiter that enforces the limits in s.
func NewLimiter(s *Limits) *Limiter {
	return &Limiter{limits: s, states: make(map[string]*permitState)}
}

// Urgent marks a request that fails without a permit, because no other upstream can take it.
func Urgent() Option {
	return func(q *PermitRequest) { q.Urgent = true }
}

// WaitUntil accepts a permit that becomes valid by t. Take then waits until the permit is valid.
func WaitUntil(t time.Time) Option {
	return func(q *PermitRequest) { q.WaitUntil = t }
}

// EvictIdle removes the state of upstreams for which no permit was wanted within idleTTL.
func (m *Limiter) EvictIdle(now time.Time) {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	for n, x := range m.states {
		if now.Sub(x.windowStart) > idleTTL && now.After(x.refusedUntil) {
			delete(m.states, n)
		}
	}
}

// Limits returns the limits that the limiter enforces.
func (m *Limiter) Limits() *Limits { return m.limits }

// NeedsPermit reports whether requests to the upstream need a permit.
func (m *Limiter) NeedsPermit(u Upstream, now time.Time) bool {
	return u.ColdRate > 0 || m.limits.Get(u.Name, u.StartedAtMS, now) != nil
}

// RefusedUntil returns the time before which no permit for the upstream is available, as far as
// this box knows. It returns zero if one may be available or none is needed.
func (m *Limiter) RefusedUntil(u Upstream, now time.Time) time.Time {
	if !m.NeedsPermit(u, now) {
		return time.Time{}
	}
	m.mutex.Lock()
	defer m.mutex.Unlock()
	x := m.states[u.Name]
	if x == nil || x.startedAtMS != u.StartedAtMS || x.hasPermit(now) || !now.Before(x.refusedUntil) {
		return time.Time{}
	}
	return x.refusedUntil
}

// Take takes a permit for one request to the upstream and requests permits if this box holds none.
// It reports whether the request may be sent: it got a permit or needs none.
func (m *Limiter) Take(ctx context.Context, u Upstream, options ...Option) bool {
	now := time.Now()
	l := m.limits.Get(u.Name, u.StartedAtMS, now)
	if l == nil && u.ColdRate <= 0 {
		return true
	}
	q := &PermitRequest{ColdRate: u.ColdRate, Limit: Limit{StartedAtMS: u.StartedAtMS, Upstream: u.Name}}
	if l != nil {
		q.Limit = *l
	}
	for _, o := range options {
		o(q)
	}
	var ok bool
	if ok, q.Want = m.takeGranted(u, now); ok {
		return true
	}
	g, err := m.RequestPermits(ctx, q)
	if err != nil {
		g = &Grant{RetryAt: time.Now().Add(errorBackoff)}
	}
	m.recordGrant(u, g)
	if g.Count == 0 {
		return false
	}
	return waitUntil(ctx, g.From)
}

// recordGrant stores the permits of a grant, less the one that the caller uses, or the retry time of
// a refusal.
func (m *Limiter) recordGrant(u Upstream, g *Grant) {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	x := m.stateOf(u)
	if g.Count == 0 {
		x.refusedUntil = g.RetryAt
		if earliest := time.Now().Add(minBackoff); x.refusedUntil.Before(earliest) {
			x.refusedUntil = earliest
		}
		return
	}
	x.refusedUntil = time.Time{}
	if g.Count > 1 {
		x.permits, x.permitsUntil = g.Count-1, g.Until
	}
}

// stateOf returns the state of the upstream instance, and creates it if needed. The caller holds
// the lock.
func (m *Limiter) stateOf(u Upstream) *permitState {
	x := m.states[u.Name]
	if x == nil || x.startedAtMS != u.StartedAtMS {
		x = &permitState{startedAtMS: u.StartedAtMS}
		m.states[u.Name] = x
	}
	return x
}

// takeGranted takes a permit that this box already holds and reports whether there was one. If not, it
// returns how many to request: as many as were wanted in the previous window, at least 1.
func (m *Limiter) takeGranted(u Upstream, now time.Time) (ok bool, want int) {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	x := m.stateOf(u)
	if since := now.Sub(x.windowStart); since >= permitTTL {
		x.previousDemand, x.windowDemand, x.windowStart = x.windowDemand, 0, now
		if since >= 2*permitTTL {
			x.previousDemand = 0
		}
	}
	x.windowDemand++
	if !x.hasPermit(now) {
		return false, max(1, x.previousDemand)
	}
	x.permits--
	return true, 0
}

// hasPermit reports whether an unused, unexpired permit is held.
func (x *permitState) hasPermit(now time.Time) bool {
	return x.permits > 0 && now.Before(x.permitsUntil)
}

// waitUntil waits for the given time and reports whether it came before ctx ended.
func waitUntil(ctx context.Context, until time.Time) bool {
	d := time.Until(until)
	if d <= 0 {
		return ctx.Err() == nil
	}
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-t.C:
		return true
	}
}
