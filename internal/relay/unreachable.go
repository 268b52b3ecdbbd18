package relay

import (
	"maps"
	"time"

	"github.com/linetiller/linetiller/internal/fail"
	"github.com/linetiller/linetiller/internal/resource"
)

// allUnreachableError returns an error if some upstreams of the list l take new work and this box can
// connect to none of those that the request has not tried yet, and nil otherwise. avoid are the upstreams
// that were tried or are unreachable. A request is not to wait for a connection that is known to fail,
// nor for a place that it could not use.
func (e *exchange) allUnreachableError(l []*resource.Upstream, avoid map[string]bool, now time.Time) error {
	unreachable := false
	for _, u := range l {
		switch {
		case !u.AcceptsWork(now):
		case !avoid[u.Name]:
			return nil
		case !e.avoid[u.Name]:
			unreachable = true
		}
	}
	if !unreachable {
		return nil
	}
	return fail.WithRetryAt(fail.New(fail.NotRun, e.serviceOrigin(), reasonAllUnreachable, "no upstream of %q can be reached", e.service.Name), now.Add(refusedRetryDelay))
}

// avoidUnreachable returns avoid with those upstreams of the list l added to which this box cannot
// connect, or avoid itself if there are none.
func (x *Relay) avoidUnreachable(l []*resource.Upstream, avoid map[string]bool) map[string]bool {
	unreachable := x.Unreachable(l)
	if len(unreachable) == 0 {
		return avoid
	}
	all := make(map[string]bool)
	maps.Copy(all, avoid)
	for _, u := range unreachable {
		all[u.Name] = true
	}
	return all
}
