package ownership

import (
	"context"
	"time"

	"github.com/linetiller/linetiller/internal/event"
	"github.com/linetiller/linetiller/internal/metric"
	"github.com/linetiller/linetiller/internal/upstream"
)

// readReport reads the load report of an upstream and takes it in.
func (o *Owners) readReport(ctx context.Context, x *owned) {
	defer x.reported()
	u := o.view.Upstream(x.owner.Upstream)
	if u == nil || (o.Rests != nil && o.Rests(u.Name)) {
		return
	}
	r, cancel := context.WithTimeout(ctx, o.report)
	defer cancel()
	l, err := o.ReadLoad(r, u.Spec.Address)
	tells := err == nil && l.Leaving && l.Role != upstream.RoleLeaving // of its own, and not by an order, which may be taken back
	if tells && o.Leaving != nil {
		o.Leaving(u)
	}
	if err != nil {
		if x.missed() == 1 && ctx.Err() == nil {
			event.ReportMissing.Log(o.log, "upstream", u.Name, "error", err.Error())
		}
		o.metrics.Add(metric.UpstreamReports, 1)
		return
	}
	x.take(l, u.IsLeaving(), u.ReportedLeaving || tells)
}

// reportEvery returns how often reports are read: more often while the platform's
// list cannot be had, since they are then the only word of an upstream's leaving.
func (o *Owners) reportEvery() time.Duration {
	if o.Away != nil && o.Away() {
		return min(o.report, awayReportEvery)
	}
	return o.report
}
