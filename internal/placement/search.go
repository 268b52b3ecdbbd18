package placement

import (
	"cmp"
	"context"
	"errors"
	"maps"
	"time"

	"github.com/linetiller/linetiller/internal/fail"
	"github.com/linetiller/linetiller/internal/metric"
	"github.com/linetiller/linetiller/internal/policy"
	"github.com/linetiller/linetiller/internal/resource"
)

// search is the search for a place for one request. It is used by one goroutine only.
type search struct {
	failures        int       // consecutive placement requests that no owner answered
	unansweredSince time.Time // when the first of them failed
	preferred       string    // the upstream at which to request a place next, if a better one is known
	reserver        *Reserver
	queued          map[string]bool // upstreams probed in this round that would queue the work
	rounds          int             // waits in the queue of one upstream that ended without a place
	refusals        int             // upstreams that refused, except for an evacuation
	skip            map[string]bool // upstreams that the caller avoids, and those that refused
	work            *policy.Work
}

const (
	// maxRefusals is how many upstreams may refuse the work for lack of capacity before the
	// search ends. The search for large prompts, for which few upstreams have capacity, is
	// longer: with a limit of 3 for them, too, half as many of the largest tenth are served
	// (TestLargePromptsAreServedUnderACrowd). With 6 or more for all work, many callers
	// disconnect before they are refused.
	maxRefusals      = 3
	maxRefusalsLarge = 6
	// maxProbes and maxProbesOtherHalls are how many upstreams are probed, in any hall and then in
	// other halls, before the work waits in the queue of one; a probe takes 3 ms. Under
	// overload, limits of 4 and 4 cost 0.012 of the value served. Later rounds, of which there are
	// many when all engines are full, probe fewer.
	maxProbes                = 8
	maxProbesOtherHalls      = 8
	maxLaterProbes           = 2
	maxLaterProbesOtherHalls = 2
	// initialQueueWait is how long work waits in the queue of one upstream before it probes
	// others again. Places become free elsewhere meanwhile: with 80 streams ending per second,
	// one ends every 12 ms. Probing again adds 0.016 to the share of the value that is served
	// under overload, and 0.040 under light load. The wait doubles with each round, up to
	// maxQueueWait, so that a large amount of work that waits for long causes few probes.
	initialQueueWait = 200 * time.Millisecond
	maxQueueWait     = 3200 * time.Millisecond
	ownerTimeout     = 10 * time.Second // work is refused after no owner has answered for so long
)

// errQueued says that a probed upstream would queue the work, or that the time that the work may
// wait in its queue has passed.
var errQueued = errors.New("work is queued at the upstream")

// rerouteError says that the work should be placed at another upstream, which is better.
type rerouteError struct{ to string }

func (e rerouteError) Error() string { return "better upstream known: " + e.to }

// choose returns the upstream at which to request a place next, and how long to wait in its
// queue; 0 makes the request a probe. Upstreams that would queue the work are passed over until
// the limits of probes are reached.
func (s *search) choose() (u *resource.Upstream, wait time.Duration, err error) {
	p := s.reserver
	next := s.preferred
	s.preferred = ""
	anyHall, otherHalls := s.probeLimits()
	if next == "" && len(s.queued) > 0 && len(s.queued) < anyHall+otherHalls {
		if u := s.nextProbe(anyHall); u != nil {
			return u, 0, nil
		}
	}
	if s.work.NoQueue && len(s.queued) > 0 {
		return nil, 0, fail.New(fail.NotRun, fail.Origin{Peer: "upstreams", Step: "choose"}, string(policy.ReasonNoUpstream), "no upstream can start the work at once")
	}
	u, err = p.chooseUpstream(s.work, s.skip, next)
	if len(s.queued) > 0 {
		wait = s.queueWait()
	}
	return u, wait, err
}

// probeLimits returns how many upstreams are probed in this round, in any hall and then in other
// halls.
func (s *search) probeLimits() (anyHall, otherHalls int) {
	if s.rounds > 0 {
		return maxLaterProbes, maxLaterProbesOtherHalls
	}
	return maxProbes, maxProbesOtherHalls
}

// nextProbe returns the next upstream to probe, at which the work might start at once, or nil.
// The first anyHall probes go to upstreams of any hall, further ones to other halls than that of
// the work: a run there ends if the halls are disconnected, but work that is queued starts late. A
// run that is being moved is limited to the first anyHall probes.
func (s *search) nextProbe(anyHall int) *resource.Upstream {
	p, w := s.reserver, s.work
	exclude := maps.Clone(s.skip)
	maps.Copy(exclude, s.queued)
	if len(s.queued) < anyHall {
		return p.view.Upstream(p.route(w, exclude))
	}
	if w.Moved {
		return nil
	}
	home := cmp.Or(w.Hall, p.members.Self().Hall)
	for _, u := range p.view.UpstreamsOfModel(w.Model) {
		if u.Spec.Hall == home {
			exclude[u.Name] = true
		}
	}
	return p.view.Upstream(p.route(w, exclude))
}

// step requests a place at one upstream. If it returns neither a place nor an error, the search
// continues.
func (s *search) step(ctx context.Context) (*Place, error) {
	p := s.reserver
	u, wait, err := s.choose()
	if err != nil {
		return nil, err
	}
	var a *policy.Answer
	if u != nil {
		a, err = p.requestPlace(ctx, u, s.work, wait)
	}
	var m rerouteError
	switch {
	case errors.Is(err, errQueued):
		s.recordWait(u, wait)
		return nil, nil
	case errors.As(err, &m):
		s.preferred = m.to
		p.metrics.Count(metric.Retries, "reason", "better_upstream")
		return nil, nil
	case ctx.Err() != nil:
		return nil, p.waitError(ctx, s.work)
	case a != nil && a.Verdict == policy.VerdictStart:
		return &Place{GrantedAt: time.Now(), Upstream: u}, nil
	case a != nil && a.Reason != policy.ReasonOwnerChanged:
		return nil, s.handleRefusal(u, a)
	}
	return nil, s.handleFailure(ctx, err)
}

// queueWait returns how long the work waits in the queue of one upstream in this round. For a
// run that is being moved, the code that moves it bounds the total time.
func (s *search) queueWait() time.Duration {
	if s.work.Moved {
		return maxQueueWait
	}
	return min(maxQueueWait, initialQueueWait<<min(s.rounds, 8))
}

// recordWait records that the work did not start at an upstream. After a probe, that upstream is
// passed over for the rest of the round; after a wait in its queue, a new round begins.
func (s *search) recordWait(u *resource.Upstream, wait time.Duration) {
	if wait == 0 {
		s.queued[u.Name] = true
		return
	}
	clear(s.queued)
	s.rounds++
}

// handleFailure backs off after a request that no owner answered, and returns an error if none
// has answered for ownerTimeout.
func (s *search) handleFailure(ctx context.Context, err error) error {
	s.failures++
	if s.unansweredSince.IsZero() {
		s.unansweredSince = time.Now()
	}
	if time.Since(s.unansweredSince) > ownerTimeout {
		return noOwnerError(s.work, err)
	}
	s.reserver.backOff(ctx, s.failures, err)
	return nil
}

// handleRefusal excludes the upstream that refused, and returns the refusal as an error if too
// many upstreams have refused or none is left.
func (s *search) handleRefusal(u *resource.Upstream, a *policy.Answer) error {
	s.skip[u.Name] = true
	if a.Reason != policy.ReasonEvacuated {
		s.refusals++
	}
	s.unansweredSince, s.failures = time.Time{}, 0
	if s.refusals >= s.refusalLimit() || !s.reserver.hasUpstream(s.work, s.skip) {
		return refusalError(u.Name, a)
	}
	return nil
}

// refusalLimit returns how many refusals for lack of capacity end the search.
func (s *search) refusalLimit() int {
	if s.work.Large {
		return maxRefusalsLarge
	}
	return maxRefusals
}

// noOwnerError returns the error for work for which no owner could be reached; err is the last
// failure, or nil.
func noOwnerError(w *policy.Work, err error) error {
	p := fail.Origin{Peer: "boxes", Step: "ask"}
	if err == nil {
		err = fail.New(fail.NotRun, p, "no_owner", "no box is known that owns an upstream of model %q", w.Model)
	}
	return fail.WithRetryAt(fail.Wrap(fail.NotRun, p, fail.Reason(err), err), time.Now().Add(ownerTimeout))
}

// refusalError returns an owner's refusal as an error.
func refusalError(upstream string, a *policy.Answer) error {
	err := fail.New(fail.NotRun, fail.Origin{Peer: "upstream " + upstream, Step: "ask"}, string(a.Reason), "refused: %s", a.Reason)
	if a.ShortOf != "" {
		err = fail.WithShortage(err, string(a.ShortOf))
	}
	if a.RetryAt.IsZero() {
		return err
	}
	return fail.WithRetryAt(err, a.RetryAt)
}
