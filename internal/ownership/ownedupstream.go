package ownership

import (
	"sync"
	"time"

	"github.com/linetiller/linetiller/internal/policy"
	"github.com/linetiller/linetiller/internal/resource"
	"github.com/linetiller/linetiller/internal/upstream"
)

// ownedUpstream is an upstream for which this box runs the owner.
type ownedUpstream struct {
	mutex          sync.Mutex
	reportFailures int    // consecutive failed reads of the load report
	instance       string // of the upstream, as its last load report names it; changes with a restart
	assigned       bool   // this box owns the upstream at present
	lastReportIdle bool   // the last report has no generations, running or waiting
	owner          *policy.Owner
	reportReadAt   time.Time // when the last read of the load report began
	readingReport  bool
	waiters        map[string]chan policy.Answer // by ID of the queued work
}

// applyEntry updates the owner from the upstream's entry in the box's view; u is nil if the
// upstream is no longer listed. The caller holds the mutex.
func (x *ownedUpstream) applyEntry(u *resource.Upstream) {
	if u != nil {
		x.owner.StartedAtMS, x.owner.LeavingReported = u.Spec.StartedAtMS, u.ReportedLeaving
	}
	x.owner.Leaving = x.owner.Leaving || (u != nil && u.IsLeaving())
	x.setEvacuated(u != nil && u.Evacuated())
}

// applyReport updates the owner from a load report. leaving says that the upstream is known to
// be leaving, selfReported that it announced this itself.
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
	x.lastReportIdle = l.Running == 0 && l.Waiting == 0
	x.owner.SetReport(policy.Report{
		AsOf: l.AsOf, Preemptions: l.Preemptions, Running: l.Running,
		StepSeconds: float64(l.StepMicros) / 1e6, UsedTokens: l.UsedTokens, Waiting: l.Waiting,
	}, time.Now())
}

// beginReportRead reports whether the upstream's load report is due, and if so marks it as being
// read. Each call that returns true must be followed by endReportRead.
func (x *ownedUpstream) beginReportRead(now time.Time, interval time.Duration) bool {
	x.mutex.Lock()
	defer x.mutex.Unlock()
	if x.readingReport || now.Sub(x.reportReadAt) < interval {
		return false
	}
	x.readingReport = true
	x.reportReadAt = now
	return true
}

// countReportFailure counts a failed read of the load report, and returns the number of consecutive
// failures.
func (x *ownedUpstream) countReportFailure() int {
	x.mutex.Lock()
	defer x.mutex.Unlock()
	x.reportFailures++
	return x.reportFailures
}

// endReportRead marks the load report as no longer being read.
func (x *ownedUpstream) endReportRead() {
	x.mutex.Lock()
	defer x.mutex.Unlock()
	x.readingReport = false
}

// grantNext answers queued work that may start now or is refused now. The caller holds the
// mutex.
func (x *ownedUpstream) grantNext(now time.Time) {
	for _, a := range x.owner.Dispatch(now) {
		if c := x.waiters[a.ID]; c != nil {
			delete(x.waiters, a.ID)
			c <- a
		}
	}
}

// idle reports whether Owners.tick would have nothing to do for the upstream.
func (x *ownedUpstream) idle() bool {
	x.mutex.Lock()
	defer x.mutex.Unlock()
	return x.assigned && x.owner.Running() == 0 && len(x.waiters) == 0
}

// load returns the upstream's current load.
func (x *ownedUpstream) load() policy.Load {
	x.mutex.Lock()
	defer x.mutex.Unlock()
	return x.owner.Load(time.Now())
}

// refuseWaiting refuses all queued work with the given reason. The caller holds the mutex.
func (x *ownedUpstream) refuseWaiting(r policy.Reason) {
	for id, c := range x.waiters {
		now := time.Now()
		x.owner.Cancel(id, now)
		c <- policy.Answer{ID: id, Reason: r, RetryAt: policy.ClosedRetryAt(r, now), Verdict: policy.VerdictRefuse}
		delete(x.waiters, id)
	}
}

// reportedIdle reports whether the last load report could be read and has no generations.
func (x *ownedUpstream) reportedIdle() bool {
	x.mutex.Lock()
	defer x.mutex.Unlock()
	return x.lastReportIdle && x.reportFailures == 0
}

// setEvacuated records whether the upstream's hall is evacuated; if it is, queued work is
// refused at once, so that it can go elsewhere. The caller holds the mutex.
func (x *ownedUpstream) setEvacuated(evacuated bool) {
	x.owner.Evacuated = evacuated
	if evacuated {
		x.refuseWaiting(policy.ReasonEvacuated)
	}
}
