package relay

import (
	"context"
	"time"

	"github.com/linetiller/linetiller/internal/fail"
	"github.com/linetiller/linetiller/internal/placement"
	"github.com/linetiller/linetiller/internal/policy"
	"github.com/linetiller/linetiller/internal/resource"
)

// attempt sends the request to one upstream and passes its answer on. It reports
// whether another upstream may be tried.
func (e *exchange) attempt(ctx context.Context) (again bool, err error) {
	if e.service.Spec.Engine != nil {
		return e.attemptEngine(ctx)
	}
	now := time.Now()
	u := e.relay.health.choose(e.relay.view.UpstreamsOfService(e.service.Name), e.avoid, now)
	if u == nil {
		return false, fail.WithRetryAt(fail.New(fail.NotRun, e.servicePlace(), string(policy.ReasonNoUpstream), "no upstream of %q takes new work", e.service.Name), now.Add(refusedPeriod))
	}
	defer e.relay.health.begin(u.Name)()
	a, again, err := e.send(ctx, u, nil)
	if err != nil {
		return again, err
	}
	defer func() { _ = a.Body.Close() }()
	if e.route.Spec.Stream {
		s := newStream(e, u, nil)
		defer s.close()
		return false, s.run(ctx, a)
	}
	return e.deliver(ctx, a)
}

// attemptEngine sends a generation to an engine that has a place for it.
func (e *exchange) attemptEngine(ctx context.Context) (again bool, err error) {
	x := e.relay
	w := e.work()
	p, err := x.Place(ctx, w, e.avoid)
	if err != nil {
		return false, err
	}
	r := x.tracker.Start(w, p.Upstream.Name)
	s := newStream(e, p.Upstream, r)
	defer s.close()
	u, err := e.check(ctx, p)
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
	return false, s.run(ctx, a)
}

// check makes sure, just before the send, that the place may still be used: the
// box may have been paused since it was given.
func (e *exchange) check(ctx context.Context, p *placement.Place) (*resource.Upstream, error) {
	e.relay.Fresh(ctx)
	now := time.Now()
	place := fail.Place{Peer: "upstream " + p.Upstream.Name, Step: stepCheck}
	u := e.relay.view.Upstream(p.Upstream.Name)
	if u == nil || !u.Takes(now) {
		e.avoid[p.Upstream.Name] = true
		return nil, fail.WithRetryAt(fail.New(fail.NotRun, place, string(policy.ReasonLeaving), "the upstream is leaving"), now)
	}
	if p.Stale(now) {
		return nil, fail.WithRetryAt(fail.New(fail.NotRun, place, "stale_place", "the place was given too long ago"), now)
	}
	return u, nil
}
