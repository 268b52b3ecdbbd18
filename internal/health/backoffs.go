package health

import (
	"maps"
	"sync"
	"time"

	"github.com/linetiller/linetiller/internal/fail"
	"github.com/linetiller/linetiller/internal/policy"
	"github.com/linetiller/linetiller/internal/resource"
)

// Backoffs holds the back-off periods that upstreams requested from this box when they rejected
// requests. Without them, choices by load would favour an upstream that rejects everything, because
// it is never busy.
//
// A back-off applies to one instance of an upstream and lasts for the requested period, whatever the
// upstream answers meanwhile.
//
// If an upstream rejects requests without a back-off period, this box avoids it for a period that
// doubles with each consecutive rejection, but only while other upstreams are available.
//
// Backoffs is safe for concurrent use.
type Backoffs struct {
	mutex      sync.Mutex
	rejections map[string]rejectionStreak // by upstream
	backoffs   map[string]backoff         // by upstream
	view       *resource.View
}

// rejectionStreak counts the consecutive rejections of one upstream that gave no back-off period.
type rejectionStreak struct {
	count int
	until time.Time // avoided until then if others are available
}

// backoff is the back-off that an upstream instance requested.
type backoff struct {
	startedAtMS int64 // start time of the instance, in Unix milliseconds
	probed      bool  // whether the one request that may be sent during the back-off was sent
	until       time.Time
}

const (
	// An upstream is avoided for minRejectionBackoff after its first rejection without a back-off
	// period. The time doubles with each consecutive one, up to maxRejectionBackoff.
	minRejectionBackoff = 250 * time.Millisecond
	maxRejectionBackoff = 4 * time.Second
	// rejectionTTL is how long a streak of rejections is kept after the upstream is no longer avoided.
	rejectionTTL = 4 * time.Second
)

// NewBackoffs returns an empty set of back-offs for the upstreams in v.
func NewBackoffs(v *resource.View) *Backoffs {
	return &Backoffs{rejections: make(map[string]rejectionStreak), backoffs: make(map[string]backoff), view: v}
}

// AllBackingOffError returns an error if every listed upstream that takes new work has requested
// back-off, and nil otherwise or if none takes new work. Its retry time is when the first back-off
// ends.
func (r *Backoffs) AllBackingOffError(l []*resource.Upstream, p fail.Origin, now time.Time) error {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	if r.evictExpired(now) {
		return nil
	}
	var earliest time.Time
	for _, u := range l {
		if !u.AcceptsWork(now) {
			continue
		}
		t := r.until(u.Name, now)
		if t.IsZero() {
			return nil
		}
		if earliest.IsZero() || t.Before(earliest) {
			earliest = t
		}
	}
	if earliest.IsZero() {
		return nil
	}
	return fail.WithRetryAt(fail.New(fail.NotRun, p, string(policy.ReasonBackOff), "every upstream has requested back-off"), earliest)
}

// Avoid returns the upstreams not to choose from l: those in avoid, those that requested back-off,
// and, if that leaves an upstream to choose, those that recently rejected a request without a
// back-off period. It returns avoid itself if nothing is recorded.
func (r *Backoffs) Avoid(l []*resource.Upstream, avoid map[string]bool, now time.Time) map[string]bool {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	if r.evictExpired(now) {
		return avoid
	}
	backingOff := make(map[string]bool)
	maps.Copy(backingOff, avoid)
	for n := range r.backoffs {
		if !r.until(n, now).IsZero() {
			backingOff[n] = true
		}
	}
	all := maps.Clone(backingOff)
	for n, x := range r.rejections {
		if now.Before(x.until) {
			all[n] = true
		}
	}
	for _, u := range l {
		if u.AcceptsWork(now) && !all[u.Name] {
			return all
		}
	}
	return backingOff
}

// RecordBackoff records that an upstream requested back-off until the given time. It does not
// shorten an earlier back-off of the same instance.
func (r *Backoffs) RecordBackoff(u *resource.Upstream, until time.Time) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	if old, ok := r.backoffs[u.Name]; ok && old.startedAtMS == u.Spec.StartedAtMS && old.until.After(until) {
		return
	}
	r.backoffs[u.Name] = backoff{startedAtMS: u.Spec.StartedAtMS, until: until}
}

// RecordRejection records that an upstream rejected a request without requesting back-off.
func (r *Backoffs) RecordRejection(name string, now time.Time) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	x := r.rejections[name]
	if now.Before(x.until) {
		return // the request was sent before the previous rejection was known
	}
	period := min(maxRejectionBackoff, minRejectionBackoff<<min(x.count, 8))
	r.rejections[name] = rejectionStreak{count: x.count + 1, until: now.Add(period)}
}

// RecordSuccess records that an upstream ran a request, which ends its streak of rejections.
func (r *Backoffs) RecordSuccess(name string) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	delete(r.rejections, name)
}

// TakeProbe reports whether a request that no other upstream can take may be sent to this one. During
// a back-off one such request may be sent.
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

// Until returns the end of an upstream's back-off, or zero if it requested none.
func (r *Backoffs) Until(name string, now time.Time) time.Time {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	return r.until(name, now)
}

// evictExpired removes expired entries and reports whether none is left. The caller holds the lock.
func (r *Backoffs) evictExpired(now time.Time) bool {
	for n, x := range r.backoffs {
		if !now.Before(x.until) {
			delete(r.backoffs, n)
		}
	}
	for n, x := range r.rejections {
		if now.Sub(x.until) > rejectionTTL {
			delete(r.rejections, n)
		}
	}
	return len(r.backoffs) == 0 && len(r.rejections) == 0
}

// until implements Until. The caller holds the lock.
func (r *Backoffs) until(name string, now time.Time) time.Time {
	x, ok := r.backoffs[name]
	if !ok || !now.Before(x.until) {
		return time.Time{}
	}
	if u := r.view.Upstream(name); u != nil && u.Spec.StartedAtMS != x.startedAtMS {
		return time.Time{} // the instance that requested the back-off has ended
	}
	return x.until
}
