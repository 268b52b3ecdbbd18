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
	// maxPermitRequests is how many permits one request asks for, at one upstream after another, before it
	// goes past all upstreams that have limits.
	maxPermitRequests = 2
	// permitTimeout bounds the wait for the answer to an ask where there may be other upstreams.
	permitTimeout = 100 * time.Millisecond
	// permitTolerance is how much later than waited for a permit may be taken.
	permitTolerance = 10 * time.Millisecond
)

// Limits returns what this box knows of the rate limits of upstreams.
func (x *Relay) Limits() *ratelimit.Limits { return x.limiter.Limits() }

// RecordLimit records and logs what was heard of the rate limit of an upstream, from itself or from a
// box. It returns nil where that is not news.
func (x *Relay) RecordLimit(l ratelimit.Limit, from string) *ratelimit.Change {
	return x.logLimitChange(x.limiter.Limits().Record(l, time.Now()), from)
}

// logLimitChange logs a change of a limit, and returns it.
func (x *Relay) logLimitChange(c *ratelimit.Change, from string) *ratelimit.Change {
	switch {
	case c == nil:
	case c.After.Lifted:
		event.LimitLifted.Log(x.log, "upstream", c.After.Upstream, "per_second", c.After.PerSecond, "from", from)
	case c.NeedsAnnouncement() || c.After.PerSecond != c.Before.PerSecond:
		event.LimitNamed.Log(x.log, "upstream", c.After.Upstream, "per_second", c.After.PerSecond, "before", c.Before.PerSecond, "from", from)
	}
	return c
}

// observeLimit records what an answer of an upstream says of its rate limit.
func (x *Relay) observeLimit(u *resource.Upstream, a *Answer) {
	if a.EchoMismatch {
		return
	}
	now, limits := time.Now(), x.limiter.Limits()
	switch {
	case a.LimitError != nil:
		x.metrics.Count(metric.UpstreamWords, "word", noticeLimitInvalid)
		if limits.MarkInvalid(u.Name, u.Spec.Born) {
			event.LimitInvalid.Log(x.log, "upstream", u.Name, "error", a.LimitError.Error())
		}
	case a.Limit != nil:
		x.metrics.Count(metric.UpstreamWords, "word", noticeLimit)
		x.announceLimit(x.RecordLimit(ratelimit.Limit{ReportedAt: now, StartedAt: u.Spec.Born, PerSecond: *a.Limit, Upstream: u.Name}, fromAnswer))
	case a.Stamped || (a.NotRun && a.Status != http.StatusMisdirectedRequest):
		x.announceLimit(x.logLimitChange(limits.Lift(u.Name, u.Spec.Born, now), fromAnswer))
	}
}

// announceLimit announces a change that an answer brought; nil is none.
func (x *Relay) announceLimit(c *ratelimit.Change) {
	if c != nil {
		x.AnnounceLimit(c)
	}
}

// avoidAllLimited adds the upstreams that have limits to those to avoid of a list, where that leaves
// another.
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

// avoidUnpermitted adds the upstreams to those to avoid of a list for which there is no permit now. Where
// none is left, it returns the refusal of the request, or, where one has a permit while the request
// can still be in time, until when it is worth waiting for.
//
// Retries, and requests that have asked for permits in vain, go past all upstreams that have limits
// while there are others.
func (e *exchange) avoidUnpermitted(l []*resource.Upstream, avoid map[string]bool, denied int, now time.Time) (map[string]bool, time.Time, error) {
	x := e.relay
	if x.limiter.Limits().Empty() && e.service.Spec.Engine != nil { // cold engines have owners
		return avoid, time.Time{}, nil
	}
	if e.sends > 0 || denied >= maxPermitRequests {
		avoid = x.avoidAllLimited(l, avoid, now)
	}
	refused, free := x.refusedPermits(l, avoid, now)
	if len(refused) == 0 {
		return avoid, time.Time{}, nil
	}
	if free {
		return avoidRefused(avoid, refused, time.Time{}), time.Time{}, nil
	}
	first := slices.MinFunc(slices.Collect(maps.Values(refused)), time.Time.Compare)
	until := e.permitWaitDeadline(now)
	if first.After(until) {
		return nil, time.Time{}, fail.WithRetryAt(fail.New(fail.NotRun, e.servicePlace(), string(policy.ReasonLimited), "the upstreams accept no more requests for now"), first)
	}
	return avoidRefused(avoid, refused, until), until, nil
}

// permitWaitDeadline returns until when the request may wait for a permit: half of what is left until its
// answer would be late.
func (e *exchange) permitWaitDeadline(now time.Time) time.Time {
	d := e.route.Spec.LatencyTarget.Duration()
	if d <= 0 || e.status != 0 {
		return now
	}
	if left := e.request.Arrived.Add(d).Sub(now); left > 0 {
		return now.Add(left / 2)
	}
	return now
}

// takePermit takes a permit to send the request to an upstream, and reports whether there was one or
// none is needed. One for a time up to waitTill is of use, too; it is then waited for.
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

// takeResumePermit does so for a run that was stopped for a move, and is lost without a permit.
func (e *exchange) takeResumePermit(ctx context.Context, u *resource.Upstream) bool {
	x, now := e.relay, time.Now()
	v := x.limiterUpstream(u, now)
	if !x.limiter.NeedsPermit(v, now) {
		return true
	}
	return x.countPermit(x.limiter.Take(ctx, v, ratelimit.Urgent()))
}

// countPermit counts whether a permit was granted, and returns that.
func (x *Relay) countPermit(granted bool) bool {
	result := "refused"
	if granted {
		result = "granted"
	}
	x.metrics.Count(metric.Permits, "result", result)
	return granted
}

// limiterUpstream returns what the permits for an upstream depend on. What a cold engine gets is up to
// its owner.
func (x *Relay) limiterUpstream(u *resource.Upstream, now time.Time) ratelimit.Upstream {
	v := ratelimit.Upstream{StartedAt: u.Spec.Born, Name: u.Name}
	if u.Engine() == nil && u.Cold(now) {
		v.ColdRate = x.coldRate(u)
	}
	return v
}

// refusedPermits returns, of the upstreams of a list that are not to be avoided, those for which there
// is no permit, with when to ask again, and reports whether there are others.
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

// avoidRefused returns the upstreams to avoid and those that are refused until later than a time.
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

// localAsk returns an Ask of a limiter for a box that sends alone.
func localAsk() func(context.Context, *ratelimit.PermitRequest) (*ratelimit.Grant, error) {
	a := ratelimit.NewAllocator()
	return func(_ context.Context, q *ratelimit.PermitRequest) (*ratelimit.Grant, error) {
		g := a.Allocate(q, 1, 1, time.Now())
		return &g, nil
	}
}
