package box

import (
	"time"

	"github.com/linetiller/linetiller/internal/policy"
	"github.com/linetiller/linetiller/internal/ratelimit"
)

// The clocks of boxes may differ by seconds and jump. Times in a message are in the sender's
// clock. The receiver shifts them by the difference between its own clock on arrival and the
// sender's clock on sending. The network latency, a few milliseconds, is ignored.

// Shift converts the times in q to the receiver's clock; now is its time of arrival.
func (q *Request) Shift(now time.Time) {
	if q.SentAt.IsZero() {
		return
	}
	by := now.Sub(q.SentAt)
	if q.Placement != nil {
		shift(&q.Placement.Work.Arrived, by)
		shift(&q.Placement.Work.Deadline, by)
	}
	if q.MoveSlot != nil {
		shift(&q.MoveSlot.Run.Deadline, by)
	}
	for i := range q.Loads {
		shift(&q.Loads[i].AsOf, by)
	}
	shiftCrashes(q.Crashes, by)
	shiftLimits(q.Limits, by)
	for i := range q.CompletedRuns {
		shift(&q.CompletedRuns[i].At, by)
	}
	if q.Permit != nil {
		shift(&q.Permit.Limit.ReportedAt, by)
		shift(&q.Permit.WaitUntil, by)
	}
	if q.Progress != nil {
		q.Progress.shift(by)
	}
}

// Shift converts the times in r to the receiver's clock; now is its time of arrival.
func (r *Reply) Shift(now time.Time) {
	if r.SentAt.IsZero() {
		return
	}
	by := now.Sub(r.SentAt)
	if r.Answer != nil {
		shift(&r.Answer.RetryAt, by)
	}
	shiftCrashes(r.Crashes, by)
	shiftLimits(r.Limits, by)
	if g := r.Grant; g != nil {
		shift(&g.From, by)
		shift(&g.RetryAt, by)
		shift(&g.Until, by)
	}
	if r.Load != nil {
		shift(&r.Load.AsOf, by)
	}
	for i := range r.Loads {
		shift(&r.Loads[i].AsOf, by)
	}
}

func (u *ProgressReport) shift(by time.Duration) {
	for i := range u.Items {
		if w := u.Items[i].Work; w != nil {
			shift(&w.Arrived, by)
			shift(&w.Deadline, by)
		}
	}
}

func shiftCrashes(l []policy.Crash, by time.Duration) {
	for i := range l {
		shift(&l[i].At, by)
		shift(&l[i].LastResentAt, by)
	}
}

func shiftLimits(l []ratelimit.Limit, by time.Duration) {
	for i := range l {
		shift(&l[i].ReportedAt, by)
	}
}

func shift(t *time.Time, by time.Duration) {
	if !t.IsZero() {
		*t = t.Add(by)
	}
}
