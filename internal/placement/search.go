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
	failures  int       // asks in a row to which no owner answered
	lostSince time.Time // when the first of them failed
	next      string    // the upstream to ask about, where one is known to be better
	placement *Reserved
	queued    map[string]bool // upstreams where it would have to wait
	refused   int             // upstreams that refused for want of room
	skip      map[string]bool // upstreams to avoid, and those that refused
	work      *policy.Work
}

const (
	asksMost    = 3                // upstreams whose refusal for want of room is taken
	looksMost   = 4                // upstreams that are asked before work looks in other halls, and
	looksAway   = 4                // upstreams of other halls that are asked then, before it waits at one
	ownerPeriod = 10 * time.Second // of finding no owner that answers, after which work is refused
)

// errQueued says that work would have to wait where it was asked for.
var errQueued = errors.New("it would have to wait")

// movedError says that an ask is better made at another upstream.
type movedError struct{ to string }

func (e movedError) Error() string { return "moved to " + e.to }

// choose returns the upstream to ask about next, and whether to wait there. Those
// where the work would have to wait are passed over a few times, while there are others.
func (s *search) choose() (u *resource.Upstream, patient bool, err error) {
	p := s.placement
	next := s.next
	s.next = ""
	if next == "" && len(s.queued) > 0 && len(s.queued) < looksMost+looksAway {
		if u := s.other(); u != nil {
			return u, false, nil
		}
	}
	u, err = p.choose(s.work, s.skip, next)
	return u, len(s.queued) > 0, err
}

// other returns an upstream at which the work might start at once, or nil: in any hall at
// first, and once it would have to wait at several, in the other halls. A run there ends
// with a cut between the halls, but one that waits comes late.
func (s *search) other() *resource.Upstream {
	p, w := s.placement, s.work
	others := maps.Clone(s.skip)
	maps.Copy(others, s.queued)
	if len(s.queued) < looksMost {
		return p.view.Upstream(p.route(w, others))
	}
	if w.Moved {
		return nil
	}
	home := cmp.Or(w.Hall, p.members.Self().Hall)
	for _, u := range p.view.UpstreamsOf(w.Model) {
		if u.Spec.Hall == home {
			others[u.Name] = true
		}
	}
	return p.view.Upstream(p.route(w, others))
}

// step asks about one upstream. It returns neither a place nor an error where the
// search goes on.
func (s *search) step(ctx context.Context) (*Place, error) {
	p := s.placement
	u, patient, err := s.choose()
	if err != nil {
		return nil, err
	}
	var a *policy.Answer
	if u != nil {
		a, err = p.ask(ctx, u, s.work, patient)
	}
	var m movedError
	switch {
	case errors.Is(err, errQueued):
		s.queued[u.Name] = true
		return nil, nil
	case errors.As(err, &m):
		s.next = m.to
		p.metrics.Count(metric.Retries, "reason", "better_upstream")
		return nil, nil
	case ctx.Err() != nil:
		return nil, p.late(ctx, s.work)
	case a != nil && a.Verdict == policy.VerdictStart:
		return &Place{Granted: time.Now(), Upstream: u}, nil
	case a != nil && a.Reason != policy.ReasonMoved:
		return nil, s.takeRefusal(u, a)
	}
	return nil, s.takeFailure(ctx, err)
}

// takeFailure waits after an ask to which no owner answered, and gives up where
// none has answered for long.
func (s *search) takeFailure(ctx context.Context, err error) error {
	s.failures++
	if s.lostSince.IsZero() {
		s.lostSince = time.Now()
	}
	if time.Since(s.lostSince) > ownerPeriod {
		return noOwner(s.work, err)
	}
	s.placement.pause(ctx, s.failures, err)
	return nil
}

// takeRefusal goes on at another upstream after a refusal, while there is one
// and not too many have refused.
func (s *search) takeRefusal(u *resource.Upstream, a *policy.Answer) error {
	s.skip[u.Name] = true
	if a.Reason != policy.ReasonEvacuated {
		s.refused++
	}
	s.lostSince, s.failures = time.Time{}, 0
	if s.refused == asksMost || !s.placement.left(s.work, s.skip) {
		return refusalError(u.Name, a)
	}
	return nil
}

// noOwner refuses work for whose upstreams no owner could be asked.
func noOwner(w *policy.Work, err error) error {
	p := fail.Place{Peer: "boxes", Step: "ask"}
	if err == nil {
		err = fail.New(fail.NotRun, p, "no_owner", "no box is known that owns an upstream of model %q", w.Model)
	}
	return fail.WithRetryAt(fail.Wrap(fail.NotRun, p, fail.Reason(err), err), time.Now().Add(ownerPeriod))
}

// refusalError returns an owner's refusal as an error.
func refusalError(upstream string, a *policy.Answer) error {
	err := fail.New(fail.NotRun, fail.Place{Peer: "upstream " + upstream, Step: "ask"}, string(a.Reason), "refused: %s", a.Reason)
	if a.RetryAt.IsZero() {
		return err
	}
	return fail.WithRetryAt(err, a.RetryAt)
}
