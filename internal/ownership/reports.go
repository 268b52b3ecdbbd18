package ownership

import (
	"context"
	"time"

	"github.com/linetiller/linetiller/internal/event"
	"github.com/linetiller/linetiller/internal/metric"
	"github.com/linetiller/linetiller/internal/policy"
)

func (o *Owners) readReport(ctx context.Context, x *owned) {
	defer x.reported()
	u := o.view.Upstream(x.owner.Upstream)
	if u == nil {
		return
	}
	r, cancel := context.WithTimeout(ctx, o.report)
	defer cancel()
	l, err := o.ReadLoad(r, u.Spec.Address)
	if err == nil && l.Leaving && o.Leaving != nil {
		o.Leaving(ctx, u.Name)
	}
	x.mutex.Lock()
	defer x.mutex.Unlock()
	if err != nil {
		x.failures++
		if x.failures == 1 && ctx.Err() == nil {
			event.ReportMissing.Log(o.log, "upstream", u.Name, "error", err.Error())
		}
		o.metrics.Add(metric.UpstreamReports, 1)
		return
	}
	x.failures = 0
	x.owner.Leaving = u.Spec.Leaving || l.Leaving
	if x.instance != "" && x.instance != l.Instance {
		x.owner.Restarted()
	}
	x.instance = l.Instance
	x.owner.Report(policy.Report{
		AsOf: l.AsOf, Preemptions: l.Preemptions, Running: l.Running,
		StepSeconds: float64(l.StepMicros) / 1e6, Used: l.Used, Waiting: l.Waiting,
	}, time.Now())
}

// reportEvery returns how often reports are read: more often while the platform's
// list cannot be had, since they are then the only word of an upstream's leaving.
func (o *Owners) reportEvery() time.Duration {
	if o.Away != nil && o.Away() {
		return min(o.report, awayReportEvery)
	}
	return o.report
}

func (x *owned) dueReport(now time.Time, every time.Duration) bool {
	x.mutex.Lock()
	defer x.mutex.Unlock()
	if x.reporting || now.Before(x.reportAt) {
		return false
	}
	x.reporting = true
	x.reportAt = now.Add(every)
	return true
}

func (x *owned) reported() {
	x.mutex.Lock()
	defer x.mutex.Unlock()
	x.reporting = false
}
