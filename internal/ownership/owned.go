package ownership

import (
	"sync"
	"time"

	"github.com/linetiller/linetiller/internal/policy"
	"github.com/linetiller/linetiller/internal/resource"
	"github.com/linetiller/linetiller/internal/upstream"
)

// owned is one upstream owned by this box.
type owned struct {
	mutex      sync.Mutex
	failures   int // reads of the load report that failed in a row
	instance   string
	mine       bool // the upstream falls to this box
	owner      *policy.Owner
	reportedAt time.Time // when the report was read last
	reporting  bool
	waiters    map[string]chan policy.Answer
}

// dueReport reports whether the upstream's report is to be read now, and notes that it
// is being read.
func (x *owned) dueReport(now time.Time, every time.Duration) bool {
	x.mutex.Lock()
	defer x.mutex.Unlock()
	if x.reporting || now.Sub(x.reportedAt) < every {
		return false
	}
	x.reporting = true
	x.reportedAt = now
	return true
}

// evacuate takes in whether the upstream's hall is evacuated, and has what waits go
// elsewhere at once; the lock is held.
func (x *owned) evacuate(evacuated bool) {
	x.owner.Evacuated = evacuated
	if evacuated {
		x.flush(policy.ReasonEvacuated)
	}
}

// flush refuses all that waits; the lock is held.
func (x *owned) flush(r policy.Reason) {
	for id, c := range x.waiters {
		now := time.Now()
		x.owner.Cancel(id, now)
		c <- policy.Answer{ID: id, Reason: r, RetryAt: policy.ClosedRetryAt(r, now), Verdict: policy.VerdictRefuse}
		delete(x.waiters, id)
	}
}

// idle reports whether a tick would change nothing.
func (x *owned) idle() bool {
	x.mutex.Lock()
	defer x.mutex.Unlock()
	return x.mine && x.owner.Running() == 0 && len(x.waiters) == 0
}

// load returns the upstream's load as it is now.
func (x *owned) load() policy.Load {
	x.mutex.Lock()
	defer x.mutex.Unlock()
	return x.owner.Load(time.Now())
}

// missed counts a report that could not be read, and returns how many in a row that is.
func (x *owned) missed() int {
	x.mutex.Lock()
	defer x.mutex.Unlock()
	x.failures++
	return x.failures
}

// next hands out places to those who wait; the lock is held.
func (x *owned) next(now time.Time) {
	for _, a := range x.owner.Dispatch(now) {
		if c := x.waiters[a.ID]; c != nil {
			delete(x.waiters, a.ID)
			c <- a
		}
	}
}

// reported notes that a report is no longer being read.
func (x *owned) reported() {
	x.mutex.Lock()
	defer x.mutex.Unlock()
	x.reporting = false
}

// see takes in what the box's view says of the upstream, nil where it is not known any more;
// the lock is held.
func (x *owned) see(u *resource.Upstream) {
	if u != nil {
		x.owner.StartedAtMS, x.owner.LeavingReported = u.Spec.Born, u.ReportedLeaving
	}
	x.owner.Leaving = x.owner.Leaving || (u != nil && u.IsLeaving())
	x.evacuate(u != nil && u.Evacuated())
}

// take takes in a report; leaving tells that the upstream is known to leave, and told that it
// said so itself.
func (x *owned) take(l *upstream.Load, leaving, told bool) {
	x.mutex.Lock()
	defer x.mutex.Unlock()
	x.failures = 0
	x.owner.Leaving = leaving || l.Leaving
	x.owner.LeavingReported = told
	if x.instance != "" && x.instance != l.Instance {
		x.owner.HandleRestart()
	}
	x.instance = l.Instance
	x.owner.SetReport(policy.Report{
		AsOf: l.AsOf, Preemptions: l.Preemptions, Running: l.Running,
		StepSeconds: float64(l.StepMicros) / 1e6, UsedTokens: l.Used, Waiting: l.Waiting,
	}, time.Now())
}
