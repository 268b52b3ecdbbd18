package ratelimit

import (
	"context"
	"sync"
	"time"
)

// Limiter decides whether this box may send to an upstream now: to one that has named a limit, or is
// cold, only with a permit. It is safe for concurrent use; of its own lock and that of its limits neither is
// taken under the other.
type Limiter struct {
	// RequestPermits asks the box that allocates the permits of an upstream for some; a seam.
	RequestPermits func(ctx context.Context, q *PermitRequest) (*Grant, error)

	limits *Limits
	mutex  sync.Mutex
	states map[string]*permitState
}

// Option sets one thing of a take of a permit.
type Option func(*PermitRequest)

// permitState is what this box has been told about permits for one start of an upstream.
type permitState struct {
	startedAt     int64
	permits       int       // not used yet
	refusedUntil  time.Time // there are none before
	windowTakes   int       // permits wanted since windowStart
	previousTakes int       // in the permitTTL before that
	windowStart   time.Time
	permitsUntil  time.Time // the permits may be used
}

const (
	// errorBackoff is how long no permit is asked for where no box answered an ask.
	errorBackoff = 100 * time.Millisecond
	// minBackoff is how long none is asked for at the least where there was none.
	minBackoff = 5 * time.Millisecond
)

// NewLimiter returns a limiter by the limits in s.
func NewLimiter(s *Limits) *Limiter {
	return &Limiter{limits: s, states: make(map[string]*permitState)}
}

// Urgent says that the request is lost without a permit.
func Urgent() Option {
	return func(q *PermitRequest) { q.Urgent = true }
}

// WaitUntil says that a permit for a time up to t is of use, too. Take then waits for that time.
func WaitUntil(t time.Time) Option {
	return func(q *PermitRequest) { q.WaitUntil = t }
}

// Limits returns the limits.
func (m *Limiter) Limits() *Limits { return m.limits }

// NeedsPermit reports whether an upstream needs permits.
func (m *Limiter) NeedsPermit(u Upstream, now time.Time) bool {
	return u.ColdRate > 0 || m.limits.Get(u.Name, u.StartedAt, now) != nil
}

// RefusedUntil returns until when there is no permit for an upstream, as far as this box was told;
// zero where there may be one or none is needed.
func (m *Limiter) RefusedUntil(u Upstream, now time.Time) time.Time {
	if !m.NeedsPermit(u, now) {
		return time.Time{}
	}
	m.mutex.Lock()
	defer m.mutex.Unlock()
	x := m.states[u.Name]
	if x == nil || x.startedAt != u.StartedAt || x.hasPermit(now) || !now.Before(x.refusedUntil) {
		return time.Time{}
	}
	return x.refusedUntil
}

// Take takes a permit to send one request to an upstream now, and reports whether there was one or
// none is needed.
func (m *Limiter) Take(ctx context.Context, u Upstream, options ...Option) bool {
	now := time.Now()
	l := m.limits.Get(u.Name, u.StartedAt, now)
	if l == nil && u.ColdRate <= 0 {
		return true
	}
	q := &PermitRequest{ColdRate: u.ColdRate, Limit: Limit{StartedAt: u.StartedAt, Upstream: u.Name}}
	if l != nil {
		q.Limit = *l
	}
	for _, o := range options {
		o(q)
	}
	var taken bool
	if taken, q.Want = m.takeHeld(u, now); taken {
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

// EvictIdle drops what is old.
func (m *Limiter) EvictIdle(now time.Time) {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	for n, x := range m.states {
		if now.Sub(x.windowStart) > idleTTL && now.After(x.refusedUntil) {
			delete(m.states, n)
		}
	}
}

// recordGrant records the answer to an ask, of which the asking request uses one permit.
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

// takeHeld takes a permit that this box holds already, and reports whether there is one; if not, it
// returns how many to ask for.
func (m *Limiter) takeHeld(u Upstream, now time.Time) (taken bool, want int) {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	x := m.stateOf(u)
	if since := now.Sub(x.windowStart); since >= permitTTL {
		x.previousTakes, x.windowTakes, x.windowStart = x.windowTakes, 0, now
		if since >= 2*permitTTL {
			x.previousTakes = 0
		}
	}
	x.windowTakes++
	if !x.hasPermit(now) {
		return false, max(1, x.previousTakes)
	}
	x.permits--
	return true, 0
}

// stateOf returns the state of one start of an upstream; the lock is held.
func (m *Limiter) stateOf(u Upstream) *permitState {
	x := m.states[u.Name]
	if x == nil || x.startedAt != u.StartedAt {
		x = &permitState{startedAt: u.StartedAt}
		m.states[u.Name] = x
	}
	return x
}

// hasPermit reports whether a permit is held.
func (x *permitState) hasPermit(now time.Time) bool {
	return x.permits > 0 && now.Before(x.permitsUntil)
}

// waitUntil waits until a time, and reports whether it came before ctx ended.
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
