package health

import (
	"maps"
	"sync"
	"time"

	"github.com/linetiller/linetiller/internal/fail"
	"github.com/linetiller/linetiller/internal/policy"
	"github.com/linetiller/linetiller/internal/resource"
)

// Rests are the back-off periods that upstreams asked this box for as they rejected requests. An
// upstream that rejects all is never busy, so that choices by load would send it more than its
// neighbours.
//
// A back-off is of one start of an upstream, and is kept until its end, whatever is answered
// meanwhile. It is safe for concurrent use.
//
// After refusals without a time this box stays away by itself, for longer with each in a row,
// while there are other upstreams.
type Rests struct {
	mutex    sync.Mutex
	refusals map[string]refusals
	rests    map[string]rest
	view     *resource.View
}

// refusals are those in a row of one upstream, without a time.
type refusals struct {
	count int
	until time.Time // this box stays away, while there are others
}

// rest is what one upstream asked for.
type rest struct {
	born  int64 // the start that asked
	spent bool  // a request has gone there all the same
	until time.Time
}

const (
	// awayFirst and awayMost are how long this box stays away after a first refusal, and at
	// the most; it doubles with each in a row.
	awayFirst = 250 * time.Millisecond
	awayMost  = 4 * time.Second
	// refusalLife is how long refusals are remembered after that, in which none was added.
	refusalLife = 4 * time.Second
)

// NewRests returns no rests of the upstreams in v.
func NewRests(v *resource.View) *Rests {
	return &Rests{refusals: make(map[string]refusals), rests: make(map[string]rest), view: v}
}

// Asked records that an upstream asked for back-off until a time.
func (r *Rests) Asked(u *resource.Upstream, until time.Time) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	if old, ok := r.rests[u.Name]; ok && old.born == u.Spec.Born && old.until.After(until) {
		return
	}
	r.rests[u.Name] = rest{born: u.Spec.Born, until: until}
}

// Avoid returns the upstreams to avoid of a list: those named, those that rest, and, where
// that leaves another, those that have just refused. It returns avoid itself where there are
// no others.
func (r *Rests) Avoid(l []*resource.Upstream, avoid map[string]bool, now time.Time) map[string]bool {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	if r.none(now) {
		return avoid
	}
	asked := make(map[string]bool)
	maps.Copy(asked, avoid)
	for n := range r.rests {
		if !r.until(n, now).IsZero() {
			asked[n] = true
		}
	}
	all := maps.Clone(asked)
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
	return asked
}

// Refusal returns the refusal of a request where each upstream of a list that takes new work
// rests, with the time at which the first has rested, or nil.
func (r *Rests) Refusal(l []*resource.Upstream, p fail.Place, now time.Time) error {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	if r.none(now) {
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

// Refused records that an upstream rejected a request without asking for back-off.
func (r *Rests) Refused(name string, now time.Time) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	x := r.refusals[name]
	if now.Before(x.until) {
		return // it was on its way
	}
	away := min(awayMost, awayFirst<<min(x.count, 8))
	r.refusals[name] = refusals{count: x.count + 1, until: now.Add(away)}
}

// Served records that an upstream ran a request.
func (r *Rests) Served(name string) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	delete(r.refusals, name)
}

// Spend reports whether a request may go to an upstream all the same, for which there is no
// other way: one may in each rest.
func (r *Rests) Spend(name string, now time.Time) bool {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	if r.until(name, now).IsZero() {
		return true
	}
	x := r.rests[name]
	if x.spent {
		return false
	}
	x.spent = true
	r.rests[name] = x
	return true
}

// Until returns until when an upstream asked for back-off, or zero where it is not throttled.
func (r *Rests) Until(name string, now time.Time) time.Time {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	return r.until(name, now)
}

// none drops what is over and reports whether nothing is left; the lock is held.
func (r *Rests) none(now time.Time) bool {
	for n, x := range r.rests {
		if !now.Before(x.until) {
			delete(r.rests, n)
		}
	}
	for n, x := range r.refusals {
		if now.Sub(x.until) > refusalLife {
			delete(r.refusals, n)
		}
	}
	return len(r.rests) == 0 && len(r.refusals) == 0
}

// until is Until; the lock is held.
func (r *Rests) until(name string, now time.Time) time.Time {
	x, ok := r.rests[name]
	if !ok || !now.Before(x.until) {
		return time.Time{}
	}
	if u := r.view.Upstream(name); u != nil && u.Spec.Born != x.born {
		return time.Time{} // it has started anew, and knows nothing of it
	}
	return x.until
}
