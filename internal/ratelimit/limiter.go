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
	// Ask asks the box that allocates the permits of an upstream for some; a seam.
	Ask func(ctx context.Context, q *Ask) (*Grant, error)

	limits *Limits
	mutex  sync.Mutex
	states map[string]*state
}

// Option sets one thing of a take of a permit.
type Option func(*Ask)

// state is what this box has been told about permits for one start of an upstream.
type state struct {
	born         int64
	permits      int       // not used yet
	refusedUntil time.Time // there are none before
	takes        int       // permits wanted since takesSince
	takesBefore  int       // in the permitLife before that
	takesSince   time.Time
	until        time.Time // the permits may be used
}

const (
	// failedPeriod is how long no permit is asked for where no box answered an ask.
	failedPeriod = 100 * time.Millisecond
	// refusedLeast is how long none is asked for at the least where there was none.
	refusedLeast = 5 * time.Millisecond
)

// NewLimiter returns a limiter by the limits in s.
func NewLimiter(s *Limits) *Limiter {
	return &Limiter{limits: s, states: make(map[string]*state)}
}

// Urgent says that the request is lost without a permit.
func Urgent() Option {
	return func(q *Ask) { q.Urgent = true }
}

// WaitTill says that a permit for a time up to t is of use, too. Take then waits for that time.
func WaitTill(t time.Time) Option {
	return func(q *Ask) { q.WaitTill = t }
}

// Limits returns the limits.
func (m *Limiter) Limits() *Limits { return m.limits }

// Limited reports whether an upstream needs permits.
func (m *Limiter) Limited(u Upstream, now time.Time) bool {
	return u.Cold > 0 || m.limits.Of(u.Name, u.Born, now) != nil
}

// RefusedUntil returns until when there is no permit for an upstream, as far as this box was told;
// zero where there may be one or none is needed.
func (m *Limiter) RefusedUntil(u Upstream, now time.Time) time.Time {
	if !m.Limited(u, now) {
		return time.Time{}
	}
	m.mutex.Lock()
	defer m.mutex.Unlock()
	x := m.states[u.Name]
	if x == nil || x.born != u.Born || x.has(now) || !now.Before(x.refusedUntil) {
		return time.Time{}
	}
	return x.refusedUntil
}

// Take takes a permit to send one request to an upstream now, and reports whether there was one or
// none is needed.
func (m *Limiter) Take(ctx context.Context, u Upstream, options ...Option) bool {
	now := time.Now()
	l := m.limits.Of(u.Name, u.Born, now)
	if l == nil && u.Cold <= 0 {
		return true
	}
	q := &Ask{Cold: u.Cold, Limit: Limit{Born: u.Born, Upstream: u.Name}}
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
	g, err := m.Ask(ctx, q)
	if err != nil {
		g = &Grant{RetryAt: time.Now().Add(failedPeriod)}
	}
	m.note(u, g)
	if g.Count == 0 {
		return false
	}
	return await(ctx, g.From)
}

// Forget drops what is old.
func (m *Limiter) Forget(now time.Time) {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	for n, x := range m.states {
		if now.Sub(x.takesSince) > bucketLife && now.After(x.refusedUntil) {
			delete(m.states, n)
		}
	}
}

// note records the answer to an ask, of which the asking request uses one permit.
func (m *Limiter) note(u Upstream, g *Grant) {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	x := m.at(u)
	if g.Count == 0 {
		x.refusedUntil = g.RetryAt
		if least := time.Now().Add(refusedLeast); x.refusedUntil.Before(least) {
			x.refusedUntil = least
		}
		return
	}
	x.refusedUntil = time.Time{}
	if g.Count > 1 {
		x.permits, x.until = g.Count-1, g.Until
	}
}

// takeHeld takes a permit that this box holds already, and reports whether there is one; if not, it
// returns how many to ask for.
func (m *Limiter) takeHeld(u Upstream, now time.Time) (taken bool, want int) {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	x := m.at(u)
	if since := now.Sub(x.takesSince); since >= permitLife {
		x.takesBefore, x.takes, x.takesSince = x.takes, 0, now
		if since >= 2*permitLife {
			x.takesBefore = 0
		}
	}
	x.takes++
	if !x.has(now) {
		return false, max(1, x.takesBefore)
	}
	x.permits--
	return true, 0
}

// at returns the state of one start of an upstream; the lock is held.
func (m *Limiter) at(u Upstream) *state {
	x := m.states[u.Name]
	if x == nil || x.born != u.Born {
		x = &state{born: u.Born}
		m.states[u.Name] = x
	}
	return x
}

// has reports whether a permit is held.
func (x *state) has(now time.Time) bool {
	return x.permits > 0 && now.Before(x.until)
}

// await waits until a time, and reports whether it came before ctx ended.
func await(ctx context.Context, until time.Time) bool {
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
