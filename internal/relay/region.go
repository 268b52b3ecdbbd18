package relay

import (
	"context"
	"slices"
	"time"

	"github.com/linetiller/linetiller/internal/fail"
	"github.com/linetiller/linetiller/internal/metric"
	"github.com/linetiller/linetiller/internal/policy"
	"github.com/linetiller/linetiller/internal/resource"
)

// outsideRegionsGrace is how long a generation that runs outside its regions, since these have
// changed, may go on until it has moved. A change is in force everywhere within a few seconds.
const outsideRegionsGrace = time.Second

// WithHallRegions sets the region of each data hall. By default no hall is in a region, so that
// requests which are restricted to regions are refused.
func WithHallRegions(m resource.HallRegions) Option {
	return func(x *Relay) { x.hallRegions = m }
}

// allowedHalls returns the data halls to which the request's route and workspace restrict it, or nil
// for all. Both are looked up again, since a restriction also holds for what runs; where they were
// removed, the last one holds.
func (e *exchange) allowedHalls() []string {
	x := e.relay
	route, workspace := e.route, e.workspace
	if r := x.view.Route(resource.HostOf(e.request.Host), e.request.Path); r != nil {
		route = r
	}
	regions := route.Spec.Regions
	if workspace != nil {
		if w := x.view.Workspace(workspace.Name); w != nil {
			workspace = w
		}
		regions = regions.And(workspace.Spec.Regions)
	}
	return x.hallRegions.Allowed(regions)
}

// allowsHall reports whether the request may be processed in a data hall.
func (e *exchange) allowsHall(hall string) bool {
	l := e.allowedHalls()
	return l == nil || slices.Contains(l, hall)
}

// inAllowedHalls returns the upstreams of a list in the halls in which the request may be processed.
func (e *exchange) inAllowedHalls(l []*resource.Upstream) []*resource.Upstream {
	halls := e.allowedHalls()
	if halls == nil {
		return l
	}
	var allowed []*resource.Upstream
	for _, u := range l {
		if slices.Contains(halls, u.Spec.Hall) {
			allowed = append(allowed, u)
		}
	}
	return allowed
}

// regionError returns the error for a request that may not be processed in the hall of an upstream.
func (e *exchange) regionError(u *resource.Upstream, step string) error {
	p := fail.Origin{Peer: "upstream " + u.Name, Step: step}
	return fail.WithRetryAt(fail.New(fail.NotRun, p, string(policy.ReasonRegion), "the request may not be processed in data hall %q", u.Spec.Hall), time.Now())
}

// endOutsideRegions breaks the stream off after outsideRegionsGrace if the generation then still
// runs where it may not be processed. It continues elsewhere if the route allows that.
func (s *stream) endOutsideRegions() {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if s.endsOutside || s.closed {
		return
	}
	s.endsOutside = true
	t := time.AfterFunc(outsideRegionsGrace, func() {
		s.mutex.Lock()
		s.endsOutside = false
		closeAnswer, u := s.closeAnswer, s.assignment.upstream
		ended := s.closed
		s.mutex.Unlock()
		if !ended && closeAnswer != nil && !s.exchange.allowsHall(u.Spec.Hall) {
			s.exchange.relay.metrics.Count(metric.Refusals, "reason", string(policy.ReasonRegion))
			closeAnswer()
		}
	})
	context.AfterFunc(s.exchange.callerCtx, func() { t.Stop() })
}
