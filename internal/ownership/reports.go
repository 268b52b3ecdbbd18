package ownership

import (
	"context"
	"time"

	"github.com/linetiller/linetiller/internal/event"
	"github.com/linetiller/linetiller/internal/metric"
	"github.com/linetiller/linetiller/internal/upstream"
)

// readReport reads and applies an upstream's load report.
func (o *Owners) readReport(ctx context.Context, x *ownedUpstream) {
	defer x.endReportRead()
	u := o.view.Upstream(x.owner.Upstream)
	if u == nil || (o.BackedOff != nil && o.BackedOff(u.Name)) {
		return
	}
	r, cancel := context.WithTimeout(ctx, o.reportInterval)
	defer cancel()
	l, err := o.ReadLoad(r, u.Spec.Address)
	selfReported := err == nil && l.Leaving && l.Role != upstream.RoleLeaving // by its own decision, not by an operator's order, which may be withdrawn
	if selfReported && o.OnLeaving != nil {
		o.OnLeaving(u)
	}
	if err != nil {
		if x.countReportFailure() == 1 && ctx.Err() == nil {
			event.LoadReportMissing.Log(o.log, "upstream", u.Name, "error", err.Error())
		}
		o.metrics.Add(metric.UpstreamReportErrors, 1)
		return
	}
	x.applyReport(l, u.IsLeaving(), u.ReportedLeaving || selfReported)
}

// currentReportInterval returns how often the load report of an upstream is read: seldom if it is
// idle, and more often while the platform's list of upstreams is unavailable, since a report is then
// the only sign that an upstream is leaving.
func (o *Owners) currentReportInterval(idle bool) time.Duration {
	switch {
	case o.PlatformUnavailable != nil && o.PlatformUnavailable():
		return min(o.reportInterval, outageReportInterval)
	case idle:
		return max(o.reportInterval, IdleReportInterval)
	default:
		return o.reportInterval
	}
}
