package ownership

import (
	"sync"
	"time"

	"github.com/linetiller/linetiller/internal/policy"
	"github.com/linetiller/linetiller/internal/resource"
	"github.com/linetiller/linetiller/internal/upstream"
)

// ownedUpstream is one upstream owned by this box.
type ownedUpstream struct {
	mutex          sync.Mutex
	reportFailures int // reads of the load report that failed in a row
	instance       string
	assigned       bool // the upstream falls to this box
	owner          *policy.Owner
	reportReadAt   time.Time // when the report was read last
	readingReport  bool
	waiters        map[string]chan policy.Answer
}

// beginReport reports whether the upstream's report is to be read now, and notes that it
// is being read.
func (x *ownedUpstream) beginReport(now time.Time, interval time.Duration) bool {
	x.mutex.Lock()
	defer x.mutex.Unlock()
	if x.readingReport || now.Sub(x.reportReadAt) < interval {
		return false
	}
	x.readingReport = true
	x.reportReadAt = now
	return true
}

// setEvacuated takes in whether the upstream's hall is evacuated, and has what waits go
// elsewhere at once; the lock is held.
func (x *ownedUpstream) setEvacuated(evacuated bool) {
	x.owner.Evacuated = evacuated
	if evacuated {
		x.refuseWaiting(policy.ReasonEvacuated)
	}
}

// refuseWaiting refuses all that waits; the lock is held.
func (x *ownedUpstream) refuseWaiting(r policy.Reason) {
	for id, c := range x.waiters {
		now := time.Now()
		x.owner.Cancel(id, now)
		c <- policy.Answer{ID: id, Reason: r, RetryAt: policy.ClosedRetryAt(r, now), Verdict: policy.VerdictRefuse}
		delete(x.waiters, id)
	}
}

// idle reports whether a tick would change nothing.
func (x *ownedUpstream) idle() bool {
	x.mutex.Lock()
	defer x.mutex.Unlock()
	return x.assigned && x.owner.Running() == 0 && len(x.waiters) == 0
}

// load returns the upstream's load as it is now.
func (x *ownedUpstream) load() policy.Load {
	x.mutex.Lock()
	defer x.mutex.Unlock()
	return x.owner.Load(time.Now())
}

// reportFailed counts a report that could not be read, and returns how many in a row that is.
func (x *ownedUpstream) reportFailed() int {
	x.mutex.Lock()
	defer x.mutex.Unlock()
	x.reportFailures++
	return x.reportFailures
}

// grantNext hands out places to those who wait; the lock is held.
func (x *ownedUpstream) grantNext(now time.Time) {
	for _, a := range x.owner.Dispatch(now) {
		if c := x.waiters[a.ID]; c != nil {
			delete(x.waiters, a.ID)
			c <- a
		}
	}
}

// endReport notes that a report is no longer being read.
func (x *ownedUpstream) endReport() {
	x.mutex.Lock()
	defer x.mutex.Unlock()
	x.readingReport = false
}

// applyEntry takes in what the box's view says of the upstream, nil where it is not known any more;
// the lock is held.
func (x *ownedUpstream) applyEntry(u *resource.Upstream) {
	if u != nil {
		x.owner.StartedAtMS, x.owner.LeavingReported = u.Spec.Born, u.ReportedLeaving
	}
	x.owner.Leaving = x.owner.Leaving || (u != nil && u.IsLeaving())
	x.setEvacuated(u != nil && u.Evacuated())
}

// applyReport takes in a report; leaving tells that the upstream is known to leave, and told that it
// said so itself.
func (x *ownedUpstream) applyReport(l *upstream.Load, leaving, selfReported bool) {
	x.mutex.Lock()
	defer x.mutex.Unlock()
	x.reportFailures = 0
	x.owner.Leaving = leaving || l.Leaving
	x.owner.LeavingReported = selfReported
	if x.instance != "" && x.instance != l.Instance {
		x.owner.HandleRestart()
	}
	x.instance = l.Instance
	x.owner.SetReport(policy.Report{
		AsOf: l.AsOf, Preemptions: l.Preemptions, Running: l.Running,
		StepSeconds: float64(l.StepMicros) / 1e6, UsedTokens: l.Used, Waiting: l.Waiting,
	}, time.Now())
}
