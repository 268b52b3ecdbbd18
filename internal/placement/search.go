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

// search is the search for one place. It is used by one goroutine.
type search struct {
	failures        int       // asks in a row to which no owner answered
	unansweredSince time.Time // when the first of them failed
	preferred       string    // the upstream to ask about, where one is known to be better
	placement       *Reserved
	queued          map[string]bool // upstreams where it would have to wait, in this round
	rounds          int             // waits at one upstream that ended without a place
	refusals        int             // upstreams that refused for want of room
	skip            map[string]bool // upstreams to avoid, and those that refused
	work            *policy.Work
}

const (
	// maxRefusals is how many upstreams' refusals for want of room end the search. Large prompts,
	// which few upstreams have room for, are looked for longer: with three for them, too, half
	// as many of the largest tenth are served (TestLargePromptsAreServedUnderACrowd). Six or more
	// for all hold many until their callers go who are refused in the end.
	maxRefusals      = 3
	maxRefusalsLarge = 6
	// maxProbes and maxProbesAway are how many upstreams are asked, of all halls and then of
	// others, before work waits at one: an ask takes 3 ms. Four and four cost 0.012 of the
	// worth of crowded days, as the mean of three. Later rounds, of which there are many where
	// all engines are full, ask fewer.
	maxProbes          = 8
	maxProbesAway      = 8
	maxProbesLater     = 2
	maxProbesAwayLater = 2
	// initialQueueWait is how long work waits at one upstream before it looks around again:
	// places elsewhere get free meanwhile, where 80 streams a second end one each 12 ms; it
	// is worth 0.016 of crowded days and 0.040 of a quiet one. It doubles with
	// each round, up to maxQueueWait, so that much work which waits long asks little.
	initialQueueWait = 200 * time.Millisecond
	maxQueueWait     = 3200 * time.Millisecond
	ownerTimeout     = 10 * time.Second // of finding no owner that answers, after which work is refused
)

// errQueued says that work would have to wait where it was asked for.
var errQueued = errors.New("it would have to wait")

// rerouteError says that an ask is better made at another upstream.
type rerouteError struct{ to string }

func (e rerouteError) Error() string { return "moved to " + e.to }

// choose returns the upstream to ask about next, and how long to wait there. Those
// where the work would have to wait are passed over a few times, while there are others.
func (s *search) choose() (u *resource.Upstream, wait time.Duration, err error) {
	p := s.placement
	next := s.preferred
	s.preferred = ""
	anyHall, otherHalls := s.probeLimits()
	if next == "" && len(s.queued) > 0 && len(s.queued) < anyHall+otherHalls {
		if u := s.nextProbe(anyHall); u != nil {
			return u, 0, nil
		}
	}
	u, err = p.chooseUpstream(s.work, s.skip, next)
	if len(s.queued) > 0 {
		wait = s.queueWait()
	}
	return u, wait, err
}

// probeLimits returns how many upstreams are asked in this round, of all halls and then of others.
func (s *search) probeLimits() (anyHall, otherHalls int) {
	if s.rounds > 0 {
		return maxProbesLater, maxProbesAwayLater
	}
	return maxProbes, maxProbesAway
}

// nextProbe returns an upstream at which the work might start at once, or nil: in any hall at
// first, and once it would have to wait at several, in the other halls. A run there ends
// with a cut between the halls, but one that waits comes late.
func (s *search) nextProbe(anyHall int) *resource.Upstream {
	p, w := s.placement, s.work
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

// step asks about one upstream. It returns neither a place nor an error where the
// search goes on.
func (s *search) step(ctx context.Context) (*Place, error) {
	p := s.placement
	u, wait, err := s.choose()
	if err != nil {
		return nil, err
	}
	var a *policy.Answer
	if u != nil {
		a, err = p.ask(ctx, u, s.work, wait)
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
	case a != nil && a.Reason != policy.ReasonMoved:
		return nil, s.handleRefusal(u, a)
	}
	return nil, s.handleFailure(ctx, err)
}

// queueWait returns how long the work waits at one upstream in this round. The time of a run
// that is moved is bounded by its mover.
func (s *search) queueWait() time.Duration {
	if s.work.Moved {
		return maxQueueWait
	}
	return min(maxQueueWait, initialQueueWait<<min(s.rounds, 8))
}

// recordWait takes in that the work did not start at an upstream for some time: it looks at
// others, anew where it has been patient.
func (s *search) recordWait(u *resource.Upstream, wait time.Duration) {
	if wait == 0 {
		s.queued[u.Name] = true
		return
	}
	clear(s.queued)
	s.rounds++
}

// handleFailure waits after an ask to which no owner answered, and gives up where
// none has answered for long.
func (s *search) handleFailure(ctx context.Context, err error) error {
	s.failures++
	if s.unansweredSince.IsZero() {
		s.unansweredSince = time.Now()
	}
	if time.Since(s.unansweredSince) > ownerTimeout {
		return noOwnerError(s.work, err)
	}
	s.placement.backOff(ctx, s.failures, err)
	return nil
}

// handleRefusal goes on at another upstream after a refusal, while there is one
// and not too many have refused.
func (s *search) handleRefusal(u *resource.Upstream, a *policy.Answer) error {
	s.skip[u.Name] = true
	if a.Reason != policy.ReasonEvacuated {
		s.refusals++
	}
	s.unansweredSince, s.failures = time.Time{}, 0
	if s.refusals >= s.refusalLimit() || !s.placement.upstreamLeft(s.work, s.skip) {
		return refusalError(u.Name, a)
	}
	return nil
}

// refusalLimit returns how many refusals for want of room end the search.
func (s *search) refusalLimit() int {
	if s.work.Large {
		return maxRefusalsLarge
	}
	return maxRefusals
}

// noOwnerError refuses work for whose upstreams no owner could be asked.
func noOwnerError(w *policy.Work, err error) error {
	p := fail.Place{Peer: "boxes", Step: "ask"}
	if err == nil {
		err = fail.New(fail.NotRun, p, "no_owner", "no box is known that owns an upstream of model %q", w.Model)
	}
	return fail.WithRetryAt(fail.Wrap(fail.NotRun, p, fail.Reason(err), err), time.Now().Add(ownerTimeout))
}

// refusalError returns an owner's refusal as an error.
func refusalError(upstream string, a *policy.Answer) error {
	err := fail.New(fail.NotRun, fail.Place{Peer: "upstream " + upstream, Step: "ask"}, string(a.Reason), "refused: %s", a.Reason)
	if a.ShortOf != "" {
		err = fail.WithShortOf(err, string(a.ShortOf))
	}
	if a.RetryAt.IsZero() {
		return err
	}
	return fail.WithRetryAt(err, a.RetryAt)
}
