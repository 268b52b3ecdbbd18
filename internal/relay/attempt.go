package relay

import (
	"context"
	"time"

	"github.com/linetiller/linetiller/internal/fail"
	"github.com/linetiller/linetiller/internal/placement"
	"github.com/linetiller/linetiller/internal/policy"
	"github.com/linetiller/linetiller/internal/resource"
)

// seat is an upstream that a request may be sent to, with what counts the request there.
type seat struct {
	end      func()             // ends the count at a plain service; nil at an engine
	place    *placement.Place   // nil at a plain service
	running  *placement.Running // nil at a plain service
	upstream *resource.Upstream
}

// attempt sends the request to one upstream and passes its answer on. It reports
// whether another upstream may be tried.
func (e *exchange) attempt(ctx context.Context) (again bool, err error) {
	t, err := e.seat(ctx, e.work())
	if err != nil {
		return false, err
	}
	s := newStream(e, t)
	defer s.close()
	u, err := e.check(ctx, t)
	if err != nil {
		return true, err
	}
	a, again, err := e.send(ctx, u, nil)
	if err != nil {
		return again, err
	}
	defer func() { _ = a.Body.Close() }()
	if !e.route.Spec.Stream {
		return e.deliver(ctx, a)
	}
	return s.run(ctx, a)
}

// check makes sure, just before the send, that an upstream may still be used: the box may
// have been paused since it was chosen.
func (e *exchange) check(ctx context.Context, t *seat) (*resource.Upstream, error) {
	e.relay.Fresh(ctx)
	if err := e.quarantined(); err != nil {
		return nil, err // heard while it waited
	}
	now := time.Now()
	place := fail.Place{Peer: "upstream " + t.upstream.Name, Step: stepCheck}
	u := e.relay.view.Upstream(t.upstream.Name)
	switch {
	case u == nil || !u.KeepsWork(now):
		e.avoid[t.upstream.Name] = true
		return nil, fail.WithRetryAt(fail.New(fail.NotRun, place, string(policy.ReasonLeaving), "the upstream is leaving"), now)
	case u.Evacuated():
		e.avoid[t.upstream.Name] = true
		return nil, fail.WithRetryAt(fail.New(fail.NotRun, place, string(policy.ReasonEvacuated), "data hall %q is evacuated", u.Spec.Hall), now)
	case !e.relay.rests.Until(u.Name, now).IsZero():
		e.avoid[t.upstream.Name] = true
		return nil, fail.WithRetryAt(fail.New(fail.NotRun, place, string(policy.ReasonResting), "the upstream wants rest"), e.refusedUntil(now))
	case t.place != nil && t.place.Stale(now):
		return nil, fail.WithRetryAt(fail.New(fail.NotRun, place, "stale_place", "the place was given too long ago"), now)
	}
	e.tryOut(now)
	return u, nil
}

// choose finds an upstream for w: an engine that has a place for it, or a plain service.
func (e *exchange) choose(ctx context.Context, w *policy.Work, avoid map[string]bool) (*seat, error) {
	x := e.relay
	if e.service.Spec.Engine != nil {
		p, err := x.Place(ctx, w, avoid)
		if err != nil {
			return nil, err
		}
		return &seat{place: p, running: x.tracker.Start(w, p.Upstream.Name), upstream: p.Upstream}, nil
	}
	now := time.Now()
	u, backAt := x.health.Choose(e.upstreams(), avoid, now)
	if u == nil && !backAt.IsZero() {
		return nil, fail.WithRetryAt(fail.New(fail.NotRun, e.servicePlace(), reasonOutOfReach, "no upstream of %q can be reached", e.service.Name), backAt)
	}
	if u == nil {
		return nil, fail.WithRetryAt(fail.New(fail.NotRun, e.servicePlace(), string(policy.ReasonNoUpstream), "no upstream of %q takes new work", e.service.Name), now.Add(refusedPeriod))
	}
	return &seat{end: x.health.Begin(u.Name), upstream: u}, nil
}

// seat finds an upstream for w that the request may be sent to now.
func (e *exchange) seat(ctx context.Context, w *policy.Work) (*seat, error) {
	if err := e.quarantined(); err != nil {
		return nil, err
	}
	x := e.relay
	for asked := 0; ; asked++ {
		now := time.Now()
		l := e.upstreams()
		if err := x.rests.AllBackingOffError(l, e.servicePlace(), now); err != nil {
			return nil, err
		}
		avoid, waitTill, err := e.avoidLimited(l, x.rests.Avoid(l, e.avoid, now), asked, now)
		if err != nil {
			return nil, err
		}
		t, err := e.choose(ctx, w, avoid)
		if err != nil {
			return nil, err
		}
		if e.permitted(ctx, t.upstream, waitTill) {
			return t, nil
		}
		t.release(x, false)
		if ctx.Err() != nil {
			return nil, fail.Wrap(fail.NotRun, e.servicePlace(), string(policy.ReasonLimited), ctx.Err())
		}
	}
}

// release gives back what is held at the upstream; ended tells that the generation
// reached its own end there.
func (t *seat) release(x *Relay, ended bool) {
	if t.end != nil {
		t.end()
	}
	if t.running != nil {
		x.tracker.Finish(t.running, ended)
	}
}
