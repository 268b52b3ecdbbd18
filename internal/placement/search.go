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
	queued    map[string]bool // upstreams where it would have to wait, in this round
	rounds    int             // waits at one upstream that ended without a place
	refused   int             // upstreams that refused for want of room
	skip      map[string]bool // upstreams to avoid, and those that refused
	work      *policy.Work
}

const (
	// asksMost is how many upstreams' refusals for want of room end the search. Large prompts,
	// which few upstreams have room for, are looked for longer: with three for them, too, half
	// as many of the largest tenth are served (TestLargePromptsAreServedUnderACrowd). Six or more
	// for all hold many until their callers go who are refused in the end.
	asksMost      = 3
	asksMostLarge = 6
	// looksMost and looksAway are how many upstreams are asked, of all halls and then of
	// others, before work waits at one: an ask takes 3 ms. Four and four cost 0.012 of the
	// worth of crowded days, as the mean of three. Later rounds, of which there are many where
	// all engines are full, ask fewer.
	looksMost      = 8
	looksAway      = 8
	looksMostLater = 2
	looksAwayLater = 2
	// lookAgainFirst is how long work waits at one upstream before it looks around again:
	// places elsewhere get free meanwhile, where 80 streams a second end one each 12 ms; it
	// is worth 0.016 of crowded days and 0.040 of a quiet one. It doubles with
	// each round, up to lookAgainMost, so that much work which waits long asks little.
	lookAgainFirst = 200 * time.Millisecond
	lookAgainMost  = 3200 * time.Millisecond
	ownerPeriod    = 10 * time.Second // of finding no owner that answers, after which work is refused
)

// errQueued says that work would have to wait where it was asked for.
var errQueued = errors.New("it would have to wait")

// movedError says that an ask is better made at another upstream.
type movedError struct{ to string }

func (e movedError) Error() string { return "moved to " + e.to }

// choose returns the upstream to ask about next, and how long to wait there. Those
// where the work would have to wait are passed over a few times, while there are others.
func (s *search) choose() (u *resource.Upstream, wait time.Duration, err error) {
	p := s.placement
	next := s.next
	s.next = ""
	most, away := s.looks()
	if next == "" && len(s.queued) > 0 && len(s.queued) < most+away {
		if u := s.other(most); u != nil {
			return u, 0, nil
		}
	}
	u, err = p.choose(s.work, s.skip, next)
	if len(s.queued) > 0 {
		wait = s.patience()
	}
	return u, wait, err
}

// looks returns how many upstreams are asked in this round, of all halls and then of others.
func (s *search) looks() (most, away int) {
	if s.rounds > 0 {
		return looksMostLater, looksAwayLater
	}
	return looksMost, looksAway
}

// other returns an upstream at which the work might start at once, or nil: in any hall at
// first, and once it would have to wait at several, in the other halls. A run there ends
// with a cut between the halls, but one that waits comes late.
func (s *search) other(most int) *resource.Upstream {
	p, w := s.placement, s.work
	others := maps.Clone(s.skip)
	maps.Copy(others, s.queued)
	if len(s.queued) < most {
		return p.view.Upstream(p.route(w, others))
	}
	if w.Moved {
		return nil
	}
	home := cmp.Or(w.Hall, p.members.Self().Hall)
	for _, u := range p.view.UpstreamsOfModel(w.Model) {
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
	u, wait, err := s.choose()
	if err != nil {
		return nil, err
	}
	var a *policy.Answer
	if u != nil {
		a, err = p.ask(ctx, u, s.work, wait)
	}
	var m movedError
	switch {
	case errors.Is(err, errQueued):
		s.waited(u, wait)
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

// patience returns how long the work waits at one upstream in this round. The time of a run
// that is moved is bounded by its mover.
func (s *search) patience() time.Duration {
	if s.work.Moved {
		return lookAgainMost
	}
	return min(lookAgainMost, lookAgainFirst<<min(s.rounds, 8))
}

// waited takes in that the work did not start at an upstream for some time: it looks at
// others, anew where it has been patient.
func (s *search) waited(u *resource.Upstream, wait time.Duration) {
	if wait == 0 {
		s.queued[u.Name] = true
		return
	}
	clear(s.queued)
	s.rounds++
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
	if s.refused >= s.refusalsMost() || !s.placement.left(s.work, s.skip) {
		return refusalError(u.Name, a)
	}
	return nil
}

// refusalsMost returns how many refusals for want of room end the search.
func (s *search) refusalsMost() int {
	if s.work.Large {
		return asksMostLarge
	}
	return asksMost
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
	if a.ShortOf != "" {
		err = fail.WithShortOf(err, string(a.ShortOf))
	}
	if a.RetryAt.IsZero() {
		return err
	}
	return fail.WithRetryAt(err, a.RetryAt)
}
