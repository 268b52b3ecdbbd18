package health

import (
	"maps"
	"time"

	"github.com/linetiller/linetiller/internal/fail"
	"github.com/linetiller/linetiller/internal/resource"
)

// ReasonAllUnreachable is the refusal reason when connections to all upstreams that could take a request
// are known to fail.
const ReasonAllUnreachable = "upstreams_out_of_reach"

// unreachableRetryDelay is the time after which a caller may retry that was refused because no upstream is
// reachable.
const unreachableRetryDelay = 500 * time.Millisecond

// AvoidUnreachable returns avoid with unreachable upstreams added, or avoid itself if there are none.
func AvoidUnreachable(unreachable []*resource.Upstream, avoid map[string]bool) map[string]bool {
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

// AllUnreachableError returns an error if some upstreams of the list l take new work and those of them that
// the request has not tried yet are all unreachable, and nil otherwise. avoid are the upstreams that were
// tried or are unreachable. A request is not to wait for a connection that is known to fail, nor for a place
// that it could not use.
func AllUnreachableError(l []*resource.Upstream, tried, avoid map[string]bool, p fail.Origin, now time.Time) error {
	unreachable := false
	for _, u := range l {
		switch {
		case !u.AcceptsWork(now):
		case !avoid[u.Name]:
			return nil
		case !tried[u.Name]:
			unreachable = true
		}
	}
	if !unreachable {
		return nil
	}
	return fail.WithRetryAt(fail.New(fail.NotRun, p, ReasonAllUnreachable, "no upstream can be reached"), now.Add(unreachableRetryDelay))
}
