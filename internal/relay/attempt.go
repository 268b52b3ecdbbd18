package relay

import (
	"context"
	"time"

	"github.com/linetiller/linetiller/internal/fail"
	"github.com/linetiller/linetiller/internal/health"
	"github.com/linetiller/linetiller/internal/placement"
	"github.com/linetiller/linetiller/internal/policy"
	"github.com/linetiller/linetiller/internal/resource"
)

// assignment is the upstream chosen for a request, with the handles that account for the request there.
type assignment struct {
	end      func()                // removes the request from the load count of a plain service; nil for an engine
	place    *placement.Place      // nil for a plain service
	running  *placement.Generation // nil for a plain service
	upstream *resource.Upstream
}

// assign chooses an upstream for w that is not in avoid and takes a permit to send to it. It avoids upstreams
// that asked for back-off. If the permit is refused, it chooses again.
func (e *exchange) assign(ctx context.Context, w *policy.Work, avoid map[string]bool) (*assignment, error) {
	if err := e.quarantineError(); err != nil {
		return nil, err
	}
	x := e.relay
	for refusals := 0; ; refusals++ {
		now := time.Now()
		l := e.upstreams()
		if err := x.backoffs.AllBackingOffError(l, e.serviceOrigin(), now); err != nil {
			return nil, err
		}
		reachable := health.AvoidUnreachable(x.Unreachable(l), avoid)
		if err := health.AllUnreachableError(l, avoid, reachable, e.serviceOrigin(), now); err != nil {
			return nil, err
		}
		permitted, waitUntil, err := e.avoidUnpermitted(l, x.backoffs.Avoid(l, reachable, now), refusals, now)
		if err != nil {
			return nil, err
		}
		t, err := e.chooseUpstream(ctx, w, permitted)
		if err != nil {
			return nil, err
		}
		if e.takePermit(ctx, t.upstream, waitUntil) {
			return t, nil
		}
		t.release(x, false)
		if ctx.Err() != nil {
			return nil, fail.Wrap(fail.NotRun, e.serviceOrigin(), string(policy.ReasonLimited), ctx.Err())
		}
	}
}

// attempt sends the request to one upstream and forwards its answer. retry reports
// whether another upstream may be tried.
func (e *exchange) attempt(ctx context.Context) (retry bool, err error) {
	t, err := e.assign(ctx, e.work(), e.avoid)
	if err != nil {
		return false, err
	}
	s := newStream(e, t)
	defer s.close()
	u, err := e.checkBeforeSend(ctx, t)
	if err != nil {
		return true, err
	}
	if e.route.Spec.Stream {
		x, err := s.open(ctx, t, u, nil)
		if err != nil {
			return true, err
		}
		return s.run(ctx, x)
	}
	a, err := e.send(ctx, u)
	if err != nil {
		return true, err
	}
	defer func() { _ = a.Body.Close() }()
	return e.deliver(ctx, a)
}

// checkBeforeSend checks, just before the send, that the chosen upstream may still be used: the
// box's process may have been suspended since the choice. It returns the upstream as listed now.
func (e *exchange) checkBeforeSend(ctx context.Context, t *assignment) (*resource.Upstream, error) {
	e.relay.RefreshViews(ctx)
	if err := e.quarantineError(); err != nil {
		return nil, err // quarantined while it waited for a place
	}
	now := time.Now()
	origin := fail.Origin{Peer: "upstream " + t.upstream.Name, Step: stepCheck}
	u := e.relay.view.Upstream(t.upstream.Name)
	switch {
	case u == nil || !u.KeepsWork(now):
		e.avoid[t.upstream.Name] = true
		return nil, fail.WithRetryAt(fail.New(fail.NotRun, origin, string(policy.ReasonLeaving), "the upstream is leaving"), now)
	case !e.allowsHall(u.Spec.Hall):
		e.avoid[t.upstream.Name] = true
		return nil, e.regionError(u, stepCheck)
	case u.Evacuated():
		e.avoid[t.upstream.Name] = true
		return nil, fail.WithRetryAt(fail.New(fail.NotRun, origin, string(policy.ReasonEvacuated), "data hall %q is evacuated", u.Spec.Hall), now)
	case !e.relay.backoffs.Until(u.Name, now).IsZero():
		e.avoid[t.upstream.Name] = true
		return nil, fail.WithRetryAt(fail.New(fail.NotRun, origin, string(policy.ReasonBackOff), "the upstream asked for back-off"), e.retryAt(now))
	case t.place != nil && t.place.Stale(now):
		return nil, fail.WithRetryAt(fail.New(fail.NotRun, origin, "stale_place", "the reserved place has expired"), now)
	}
	e.startTrial(now)
	return u, nil
}

// chooseUpstream chooses an upstream for w: an engine that has reserved a place for it, or an upstream
// of a plain service.
func (e *exchange) chooseUpstream(ctx context.Context, w *policy.Work, avoid map[string]bool) (*assignment, error) {
	x := e.relay
	if e.service.Spec.Engine != nil {
		p, err := x.Place(ctx, w, avoid)
		if err != nil {
			return nil, err
		}
		return &assignment{place: p, running: x.tracker.Start(w, p.Upstream.Name), upstream: p.Upstream}, nil
	}
	now := time.Now()
	u, backAt := x.health.Choose(e.upstreams(), avoid, now)
	if u == nil && !backAt.IsZero() {
		return nil, fail.WithRetryAt(fail.New(fail.NotRun, e.serviceOrigin(), health.ReasonAllUnreachable, "no upstream of %q can be reached", e.service.Name), backAt)
	}
	if u == nil && e.allowedHalls() != nil {
		return nil, fail.WithRetryAt(fail.New(fail.NotRun, e.serviceOrigin(), string(policy.ReasonRegion), "no upstream of %q in the regions of the request takes new work", e.service.Name), now.Add(refusedRetryDelay))
	}
	if u == nil {
		return nil, fail.WithRetryAt(fail.New(fail.NotRun, e.serviceOrigin(), string(policy.ReasonNoUpstream), "no upstream of %q takes new work", e.service.Name), now.Add(refusedRetryDelay))
	}
	return &assignment{end: x.health.Begin(u.Name), upstream: u}, nil
}

// release removes the request from the counts of the upstream; ended is whether the
// generation ran to completion there. Further calls do nothing.
func (t *assignment) release(x *Relay, ended bool) {
	if t.end != nil {
		t.end()
		t.end = nil
	}
	if t.running != nil {
		x.tracker.Finish(t.running, ended)
	}
}
