package relay

import (
	"context"
	"maps"
	"net/http"
	"slices"
	"time"

	"github.com/linetiller/linetiller/internal/event"
	"github.com/linetiller/linetiller/internal/fail"
	"github.com/linetiller/linetiller/internal/metric"
	"github.com/linetiller/linetiller/internal/policy"
	"github.com/linetiller/linetiller/internal/ratelimit"
	"github.com/linetiller/linetiller/internal/resource"
)

const (
	// maxPermitRefusals is the number of permits that may be refused to one request, at one upstream after
	// another, before it avoids all rate-limited upstreams.
	maxPermitRefusals = 2
	// permitTimeout bounds the wait for the answer to a permit request while there may be other upstreams.
	permitTimeout = 100 * time.Millisecond
	// permitTolerance is how long after the end of the wait a permit is still accepted.
	permitTolerance = 10 * time.Millisecond
)

// Limits returns the rate limits of upstreams that this box knows.
func (x *Relay) Limits() *ratelimit.Limits { return x.limiter.Limits() }

// RecordLimit records and logs an upstream's rate limit, as announced by the upstream itself or by
// another box; from names the source in the log. It returns nil if nothing has changed.
func (x *Relay) RecordLimit(l ratelimit.Limit, from string) *ratelimit.Change {
	return x.logLimitChange(x.limiter.Limits().Record(l, time.Now()), from)
}

// logLimitChange logs a change of a limit if it must be announced, lifts the limit or changes the rate.
// It returns c.
func (x *Relay) logLimitChange(c *ratelimit.Change, from string) *ratelimit.Change {
	switch {
	case c == nil:
	case c.After.Lifted:
		event.LimitLifted.Log(x.log, "upstream", c.After.Upstream, "per_second", c.After.PerSecond, "from", from)
	case c.NeedsAnnouncement() || c.After.PerSecond != c.Before.PerSecond:
		event.LimitAnnounced.Log(x.log, "upstream", c.After.Upstream, "per_second", c.After.PerSecond, "before", c.Before.PerSecond, "from", from)
	}
	return c
}

// observeLimit records and announces what an upstream's answer says about its rate limit. If the
// answer is from the upstream itself and names no limit, the previous limit is lifted.
func (x *Relay) observeLimit(u *resource.Upstream, a *Answer) {
	if a.EchoMismatch {
		return
	}
	now, limits := time.Now(), x.limiter.Limits()
	switch {
	case a.LimitError != nil:
		x.metrics.Count(metric.UpstreamNotices, "word", noticeLimitInvalid)
		if limits.MarkInvalid(u.Name, u.Spec.StartedAtMS) {
			event.LimitInvalid.Log(x.log, "upstream", u.Name, "error", a.LimitError.Error())
		}
	case a.Limit != nil:
		x.metrics.Count(metric.UpstreamNotices, "word", noticeLimit)
		x.announceLimit(x.RecordLimit(ratelimit.Limit{ReportedAt: now, StartedAtMS: u.Spec.StartedAtMS, PerSecond: *a.Limit, Upstream: u.Name}, fromAnswer))
	case a.Stamped || (a.NotRun && a.Status != http.StatusMisdirectedRequest):
		x.announceLimit(x.logLimitChange(limits.Lift(u.Name, u.Spec.StartedAtMS, now), fromAnswer))
	}
}

// announceLimit announces a change of a limit to the other boxes; nil means no change.
func (x *Relay) announceLimit(c *ratelimit.Change) {
	if c != nil {
		x.AnnounceLimit(c)
	}
}

// avoidAllLimited returns avoid with all rate-limited upstreams of the list l added, or avoid itself
// if that would leave no upstream.
func (x *Relay) avoidAllLimited(l []*resource.Upstream, avoid map[string]bool, now time.Time) map[string]bool {
	all := make(map[string]bool)
	maps.Copy(all, avoid)
	free := false
	for _, u := range l {
		switch {
		case avoid[u.Name] || !u.AcceptsWork(now):
		case x.limiter.NeedsPermit(x.limiterUpstream(u, now), now):
			all[u.Name] = true
		default:
			free = true
		}
	}
	if free {
		return all
	}
	return avoid
}

// avoidUnpermitted returns avoid with those upstreams of the list l added for which no permit is
// available now. If no upstream is left, it returns the time until which it is worth waiting for a
// permit, or an error if none becomes available before the request would be late.
//
// Retries, and requests to which maxPermitRefusals permits were refused, avoid all rate-limited
// upstreams while there are others, so that the permits are left to first attempts.
func (e *exchange) avoidUnpermitted(l []*resource.Upstream, avoid map[string]bool, refusals int, now time.Time) (map[string]bool, time.Time, error) {
	x := e.relay
	if x.limiter.Limits().Empty() && e.service.Spec.Engine != nil { // cold engines are limited by their owners
		return avoid, time.Time{}, nil
	}
	if e.sends > 0 || refusals >= maxPermitRefusals {
		avoid = x.avoidAllLimited(l, avoid, now)
	}
	refused, free := x.refusedPermits(l, avoid, now)
	if len(refused) == 0 {
		return avoid, time.Time{}, nil
	}
	if free {
		return avoidRefused(avoid, refused, time.Time{}), time.Time{}, nil
	}
	earliest := slices.MinFunc(slices.Collect(maps.Values(refused)), time.Time.Compare)
	until := e.permitWaitDeadline(now)
	if earliest.After(until) {
		return nil, time.Time{}, fail.WithRetryAt(fail.New(fail.NotRun, e.serviceOrigin(), string(policy.ReasonLimited), "all upstreams have reached their request limits"), earliest)
	}
	return avoidRefused(avoid, refused, until), until, nil
}

// permitWaitDeadline returns the time until which the request may wait for a permit: half of what is
// left of its target latency.
func (e *exchange) permitWaitDeadline(now time.Time) time.Time {
	d := e.route.Spec.LatencyTarget.Duration()
	if d <= 0 || e.status != 0 {
		return now
	}
	if remaining := e.request.Arrived.Add(d).Sub(now); remaining > 0 {
		return now.Add(remaining / 2)
	}
	return now
}

// takePermit takes a permit to send the request to an upstream. It reports whether the request may be
// sent: a permit was granted, or none is needed. If waitUntil is set, it also accepts a permit that
// becomes valid by then, and waits for it.
func (e *exchange) takePermit(ctx context.Context, u *resource.Upstream, waitUntil time.Time) bool {
	x, now := e.relay, time.Now()
	v := x.limiterUpstream(u, now)
	if !x.limiter.NeedsPermit(v, now) {
		return true
	}
	until := waitUntil
	if until.IsZero() {
		until = now.Add(permitTimeout)
	}
	ctx, cancel := context.WithDeadline(ctx, until.Add(permitTolerance))
	defer cancel()
	return x.countPermit(x.limiter.Take(ctx, v, ratelimit.WaitUntil(waitUntil)))
}

// takeResumePermit takes an urgent permit to resume a run that was stopped for a move. Without one the
// run would be lost.
func (e *exchange) takeResumePermit(ctx context.Context, u *resource.Upstream) bool {
	x, now := e.relay, time.Now()
	v := x.limiterUpstream(u, now)
	if !x.limiter.NeedsPermit(v, now) {
		return true
	}
	return x.countPermit(x.limiter.Take(ctx, v, ratelimit.Urgent()))
}

// countPermit records the result of a permit request in the metrics, and returns it.
func (x *Relay) countPermit(granted bool) bool {
	result := "refused"
	if granted {
		result = "granted"
	}
	x.metrics.Count(metric.LimitPermits, "result", result)
	return granted
}

// limiterUpstream describes an upstream to the limiter. Only upstreams of plain services are limited
// by permits while they are cold; a cold engine is limited by its owner.
func (x *Relay) limiterUpstream(u *resource.Upstream, now time.Time) ratelimit.Upstream {
	v := ratelimit.Upstream{StartedAtMS: u.Spec.StartedAtMS, Name: u.Name}
	if u.Engine() == nil && u.Cold(now) {
		v.ColdRate = x.coldRate(u)
	}
	return v
}

// refusedPermits returns the usable upstreams of the list l for which no permit is available, with the
// time of the next permit request. free reports whether there are other usable upstreams.
func (x *Relay) refusedPermits(l []*resource.Upstream, avoid map[string]bool, now time.Time) (refused map[string]time.Time, free bool) {
	for _, u := range l {
		if avoid[u.Name] || !u.AcceptsWork(now) {
			continue
		}
		at := x.limiter.RefusedUntil(x.limiterUpstream(u, now), now)
		if at.IsZero() {
			free = true
			continue
		}
		if refused == nil {
			refused = make(map[string]time.Time)
		}
		refused[u.Name] = at
	}
	return refused, free
}

// avoidRefused returns avoid with those refused upstreams added for which no permit becomes available by
// until.
func avoidRefused(avoid map[string]bool, refused map[string]time.Time, until time.Time) map[string]bool {
	all := make(map[string]bool, len(avoid)+len(refused))
	maps.Copy(all, avoid)
	for n, at := range refused {
		if at.After(until) {
			all[n] = true
		}
	}
	return all
}

// localAllocator returns a function for Limiter.RequestPermits that allocates permits in this process,
// for a box that is the only one to send to the upstreams.
func localAllocator() func(context.Context, *ratelimit.PermitRequest) (*ratelimit.Grant, error) {
	a := ratelimit.NewAllocator()
	return func(_ context.Context, q *ratelimit.PermitRequest) (*ratelimit.Grant, error) {
		g := a.Allocate(q, 1, 1, time.Now())
		return &g, nil
	}
}
