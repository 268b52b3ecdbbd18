package health

import (
	"maps"
	"sync"
	"time"

	"github.com/linetiller/linetiller/internal/fail"
	"github.com/linetiller/linetiller/internal/policy"
	"github.com/linetiller/linetiller/internal/resource"
)

// Backoffs are the back-off periods that upstreams asked this box for as they rejected requests. An
// upstream that rejects all is never busy, so that choices by load would send it more than its
// neighbours.
//
// A back-off is of one start of an upstream, and is kept until its end, whatever is answered
// meanwhile. It is safe for concurrent use.
//
// After refusals without a time this box stays away by itself, for longer with each in a row,
// while there are other upstreams.
type Backoffs struct {
	mutex    sync.Mutex
	refusals map[string]refusalStreak
	backoffs map[string]backoff
	view     *resource.View
}

// refusalStreak are those in a row of one upstream, without a time.
type refusalStreak struct {
	count int
	until time.Time // this box stays away, while there are others
}

// backoff is what one upstream asked for.
type backoff struct {
	startedAt int64 // the start that asked
	probed    bool  // a request has gone there all the same
	until     time.Time
}

const (
	// minRefusalBackoff and maxRefusalBackoff are how long this box stays away after a first refusal, and at
	// the most; it doubles with each in a row.
	minRefusalBackoff = 250 * time.Millisecond
	maxRefusalBackoff = 4 * time.Second
	// refusalTTL is how long refusals are remembered after that, in which none was added.
	refusalTTL = 4 * time.Second
)

// NewBackoffs returns no rests of the upstreams in v.
func NewBackoffs(v *resource.View) *Backoffs {
	return &Backoffs{refusals: make(map[string]refusalStreak), backoffs: make(map[string]backoff), view: v}
}

// RecordBackoff records that an upstream asked for back-off until a time.
func (r *Backoffs) RecordBackoff(u *resource.Upstream, until time.Time) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	if old, ok := r.backoffs[u.Name]; ok && old.startedAt == u.Spec.Born && old.until.After(until) {
		return
	}
	r.backoffs[u.Name] = backoff{startedAt: u.Spec.Born, until: until}
}

// Avoid returns the upstreams to avoid of a list: those named, those that rest, and, where
// that leaves another, those that have just refused. It returns avoid itself where there are
// no others.
func (r *Backoffs) Avoid(l []*resource.Upstream, avoid map[string]bool, now time.Time) map[string]bool {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	if r.evictExpired(now) {
		return avoid
	}
	throttled := make(map[string]bool)
	maps.Copy(throttled, avoid)
	for n := range r.backoffs {
		if !r.until(n, now).IsZero() {
			throttled[n] = true
		}
	}
	all := maps.Clone(throttled)
	for n, x := range r.refusals {
		if now.Before(x.until) {
			all[n] = true
		}
	}
	for _, u := range l {
		if u.AcceptsWork(now) && !all[u.Name] {
			return all
		}
	}
	return throttled
}

// AllBackingOffError returns the refusal of a request where each upstream of a list that takes new work
// rests, with the time at which the first has rested, or nil.
func (r *Backoffs) AllBackingOffError(l []*resource.Upstream, p fail.Place, now time.Time) error {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	if r.evictExpired(now) {
		return nil
	}
	var first time.Time
	for _, u := range l {
		if !u.AcceptsWork(now) {
			continue
		}
		t := r.until(u.Name, now)
		if t.IsZero() {
			return nil
		}
		if first.IsZero() || t.Before(first) {
			first = t
		}
	}
	if first.IsZero() {
		return nil
	}
	return fail.WithRetryAt(fail.New(fail.NotRun, p, string(policy.ReasonResting), "every upstream wants rest"), first)
}

// RecordRefusal records that an upstream rejected a request without asking for back-off.
func (r *Backoffs) RecordRefusal(name string, now time.Time) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	x := r.refusals[name]
	if now.Before(x.until) {
		return // it was on its way
	}
	period := min(maxRefusalBackoff, minRefusalBackoff<<min(x.count, 8))
	r.refusals[name] = refusalStreak{count: x.count + 1, until: now.Add(period)}
}

// RecordSuccess records that an upstream ran a request.
func (r *Backoffs) RecordSuccess(name string) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	delete(r.refusals, name)
}

// TakeProbe reports whether a request may go to an upstream all the same, for which there is no
// other way: one may in each rest.
func (r *Backoffs) TakeProbe(name string, now time.Time) bool {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	if r.until(name, now).IsZero() {
		return true
	}
	x := r.backoffs[name]
	if x.probed {
		return false
	}
	x.probed = true
	r.backoffs[name] = x
	return true
}

// Until returns until when an upstream asked for back-off, or zero where it is not throttled.
func (r *Backoffs) Until(name string, now time.Time) time.Time {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	return r.until(name, now)
}

// evictExpired drops what is over and reports whether nothing is left; the lock is held.
func (r *Backoffs) evictExpired(now time.Time) bool {
	for n, x := range r.backoffs {
		if !now.Before(x.until) {
			delete(r.backoffs, n)
		}
	}
	for n, x := range r.refusals {
		if now.Sub(x.until) > refusalTTL {
			delete(r.refusals, n)
		}
	}
	return len(r.backoffs) == 0 && len(r.refusals) == 0
}

// until is Until; the lock is held.
func (r *Backoffs) until(name string, now time.Time) time.Time {
	x, ok := r.backoffs[name]
	if !ok || !now.Before(x.until) {
		return time.Time{}
	}
	if u := r.view.Upstream(name); u != nil && u.Spec.Born != x.startedAt {
		return time.Time{} // it has started anew, and knows nothing of it
	}
	return x.until
}
