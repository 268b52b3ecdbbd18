package ownership

import (
	"context"
	"time"

	"github.com/linetiller/linetiller/internal/event"
	"github.com/linetiller/linetiller/internal/metric"
	"github.com/linetiller/linetiller/internal/upstream"
)

// readReport reads the load report of an upstream and takes it in.
func (o *Owners) readReport(ctx context.Context, x *ownedUpstream) {
	defer x.endReport()
	u := o.view.Upstream(x.owner.Upstream)
	if u == nil || (o.BackedOff != nil && o.BackedOff(u.Name)) {
		return
	}
	r, cancel := context.WithTimeout(ctx, o.reportInterval)
	defer cancel()
	l, err := o.ReadLoad(r, u.Spec.Address)
	selfReported := err == nil && l.Leaving && l.Role != upstream.RoleLeaving // of its own, and not by an order, which may be taken back
	if selfReported && o.OnLeaving != nil {
		o.OnLeaving(u)
	}
	if err != nil {
		if x.reportFailed() == 1 && ctx.Err() == nil {
			event.ReportMissing.Log(o.log, "upstream", u.Name, "error", err.Error())
		}
		o.metrics.Add(metric.UpstreamReports, 1)
		return
	}
	x.applyReport(l, u.IsLeaving(), u.ReportedLeaving || selfReported)
}

// currentReportInterval returns how often reports are read: more often while the platform's
// list cannot be had, since they are then the only word of an upstream's leaving.
func (o *Owners) currentReportInterval() time.Duration {
	if o.PlatformUnavailable != nil && o.PlatformUnavailable() {
		return min(o.reportInterval, outageReportInterval)
	}
	return o.reportInterval
}
