// Package placement finds an upstream for a generation: by asking the owners
// of upstreams for a place, or, as the baseline does, alone.
package placement

import (
	"cmp"
	"context"
	"errors"
	"maps"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/linetiller/linetiller/internal/box"
	"github.com/linetiller/linetiller/internal/fail"
	"github.com/linetiller/linetiller/internal/member"
	"github.com/linetiller/linetiller/internal/metric"
	"github.com/linetiller/linetiller/internal/policy"
	"github.com/linetiller/linetiller/internal/resource"
)

// Place is an upstream at which a generation may start.
type Place struct {
	Granted  time.Time // when; a place is for using at once
	Upstream *resource.Upstream
}

// Stale reports whether the place is too old to be used.
func (p *Place) Stale(now time.Time) bool {
	return now.Sub(p.Granted) > placeLife
}

// Reserved asks the owner of an upstream before anything is sent there. It is
// safe for concurrent use.
type Reserved struct {
	// AskLocal answers an ask where this box is the owner; a seam.
	AskLocal func(ctx context.Context, a *box.Ask, answer func(*box.Reply) error)
	// Call asks another box; a seam.
	Call func(ctx context.Context, owner string, a *box.Ask, answer func(*box.Reply) error) error

	members *member.Table
	metrics *metric.Set
	mutex   sync.Mutex // guards router; no other lock is taken under it
	retries *policy.Retries
	router  *policy.Router
	view    *resource.View
}

const (
	asksMost = 3 // upstreams whose refusal for want of room is taken
	// looksMost is how many upstreams are asked before work waits at one.
	looksMost      = 4
	otherHallDelay = 1.5              // seconds of backlog that another hall counts for: a cut between halls ends its streams
	ownerPeriod    = 10 * time.Second // of finding no owner that answers, after which work is refused
	placeLife      = time.Second
	rerouteEvery   = time.Second
)

// search is the search for one place. It is used by one goroutine.
type search struct {
	failures  int       // asks in a row to which no owner answered
	lostSince time.Time // when the first of them failed
	next      string    // the upstream to ask about, where one is known to be better
	placement *Reserved
	queued    map[string]bool // upstreams where it would have to wait
	refused   int             // upstreams that refused for want of room
	skip      map[string]bool
	work      *policy.Work
}

// errQueued says that work would have to wait where it was asked for.
var errQueued = errors.New("it would have to wait")

// movedError says that an ask is better made at another upstream.
type movedError struct{ to string }

func (e movedError) Error() string { return "moved to " + e.to }

// NewReserved returns a placement over the upstreams in v.
func NewReserved(v *resource.View, m *member.Table, l *policy.Lengths, s *metric.Set, seed uint64) *Reserved {
	return &Reserved{members: m, metrics: s, retries: policy.NewRetries(), router: policy.NewRouter(l, seed), view: v}
}

// Learn takes in a load that an owner told.
func (p *Reserved) Learn(l *policy.Load) {
	if l == nil {
		return
	}
	p.mutex.Lock()
	defer p.mutex.Unlock()
	p.router.Learn(*l)
}

// Place returns a place for w at an upstream that is not among those to avoid.
// Its errors are of type fail.NotRun: nothing was sent anywhere.
func (p *Reserved) Place(ctx context.Context, w *policy.Work, avoid map[string]bool) (*Place, error) {
	ctx, cancel := context.WithDeadline(ctx, w.Deadline)
	defer cancel()
	s := &search{placement: p, queued: make(map[string]bool), skip: make(map[string]bool, len(avoid)), work: w}
	for n := range avoid {
		s.skip[n] = true
	}
	for {
		v, err := s.step(ctx)
		if v != nil || err != nil {
			return v, err
		}
	}
}

// Guess returns the upstream that seems best for w without asking its owner, or
// nil. It is for work that is better run without a place than not at all.
func (p *Reserved) Guess(w *policy.Work, avoid map[string]bool) *resource.Upstream {
	c := p.candidates(w, avoid)
	p.mutex.Lock()
	n := p.router.Choose(w, c, time.Now(), func(string) bool { return true })
	p.mutex.Unlock()
	return p.view.Upstream(n)
}

// ask asks u's owner and waits while w is queued, or until a much better
// upstream is known.
//
// Unless patient, it returns errQueued in place of waiting.
func (p *Reserved) ask(ctx context.Context, u *resource.Upstream, w *policy.Work, patient bool) (*policy.Answer, error) {
	owner := policy.First(u.Name, p.members.Alive(u.Spec.Hall))
	place := fail.Place{Peer: "box " + owner, Step: "ask"}
	if owner == "" {
		return nil, fail.New(fail.NotRun, place, "no_owner", "no box is known in hall %q", u.Spec.Hall)
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	began := time.Now()
	replies := make(chan *box.Reply, 2)
	failed := make(chan error, 1)
	go func() { failed <- p.exchange(ctx, owner, &box.Ask{Upstream: u.Name, Work: *w}, replies) }()
	t := time.NewTicker(rerouteEvery)
	defer t.Stop()
	for {
		select {
		case r := <-replies:
			if a := p.final(r); a != nil {
				return a, nil
			}
			if r.Answer != nil && !patient {
				return nil, errQueued
			}
		case err := <-failed:
			return p.afterExchange(ctx, err, replies, owner, began, place)
		case <-t.C:
			if to := p.better(w, u.Name); to != "" {
				return nil, movedError{to}
			}
		case <-ctx.Done():
			return nil, ctx.Err()
		}
	}
}

// afterExchange returns the answer that may still stand in replies once the
// exchange has ended, or its error.
func (p *Reserved) afterExchange(ctx context.Context, err error, replies <-chan *box.Reply, owner string, began time.Time, place fail.Place) (*policy.Answer, error) {
	for {
		select {
		case r := <-replies:
			if a := p.final(r); a != nil {
				return a, nil
			}
			continue
		default:
		}
		if ctx.Err() == nil && owner != p.members.Self().Name {
			p.members.Failed(owner, began, time.Now())
		}
		if err == nil {
			err = fail.New(fail.Unavailable, place, "owner_lost", "the owner hung up")
		}
		return nil, err
	}
}

func (p *Reserved) better(w *policy.Work, at string) string {
	c := p.candidates(w, map[string]bool{})
	p.mutex.Lock()
	defer p.mutex.Unlock()
	return p.router.Better(w, at, c, time.Now())
}

// candidates returns the upstreams that run w's model, may get new work, and have
// a box in their hall that could own them.
func (p *Reserved) candidates(w *policy.Work, skip map[string]bool) []policy.Candidate {
	hall := cmp.Or(w.Hall, p.members.Self().Hall)
	now := time.Now()
	reachable := make(map[string]bool)
	for _, h := range p.members.Halls() {
		reachable[h] = len(p.members.Alive(h)) > 0
	}
	var l []policy.Candidate
	all := p.view.UpstreamsOf(w.Model)
	inHall := make(map[string]int)
	for _, u := range all {
		if u.Takes(now) {
			inHall[u.Spec.Hall]++
		}
	}
	for _, u := range all {
		if !u.Takes(now) || skip[u.Name] || !reachable[u.Spec.Hall] {
			continue
		}
		c := policy.Candidate{Alone: inHall[u.Spec.Hall] == 1, Capacity: policy.Capacity{KVTokens: u.Spec.KVTokens, MaxBatch: u.Spec.MaxBatch}, Name: u.Name}
		if g := u.Engine(); g != nil && g.Migrates {
			c.Capacity.CopyToken = g.CopyTime(1)
		}
		if u.Spec.Hall != hall {
			c.Delay = otherHallDelay
		}
		l = append(l, c)
	}
	return l
}

// choose returns the upstream to ask about, or nil where those that there are
// have no owner that could be asked. An error means that there are none.
func (p *Reserved) choose(w *policy.Work, skip map[string]bool, next string) (*resource.Upstream, error) {
	if next == "" {
		c := p.candidates(w, skip)
		p.mutex.Lock()
		next = p.router.Choose(w, c, time.Now(), func(string) bool { return true })
		p.mutex.Unlock()
	}
	if next == "" && !p.left(w, skip) {
		return nil, fail.WithRetryAt(fail.New(fail.NotRun, fail.Place{Peer: "upstreams", Step: "choose"},
			string(policy.ReasonNoUpstream), "no upstream takes new work for model %q", w.Model), time.Now().Add(time.Second))
	}
	return p.view.Upstream(next), nil
}

// exchange makes one ask and passes its replies on until the last.
func (p *Reserved) exchange(ctx context.Context, owner string, a *box.Ask, replies chan<- *box.Reply) error {
	pass := func(r *box.Reply) error {
		select {
		case replies <- r:
			return nil
		case <-ctx.Done():
			return ctx.Err()
		}
	}
	if owner == p.members.Self().Name {
		p.AskLocal(ctx, a, pass)
		return nil
	}
	return p.Call(ctx, owner, a, pass)
}

// final takes in a reply and returns its answer, unless that is a place in the
// queue, which another answer follows.
func (p *Reserved) final(r *box.Reply) *policy.Answer {
	p.Learn(r.Load)
	if r.Answer == nil || r.Answer.Verdict == policy.VerdictQueue {
		return nil
	}
	return r.Answer
}

// late returns the refusal of work whose time ran out, or whose caller went.
func (p *Reserved) late(ctx context.Context, w *policy.Work) error {
	place := fail.Place{Peer: "upstreams", Step: "wait for a place"}
	if time.Now().Before(w.Deadline) {
		return fail.Wrap(fail.NotRun, place, "caller_gone", ctx.Err())
	}
	return fail.WithRetryAt(fail.New(fail.NotRun, place, string(policy.ReasonDeadline), "the deadline passed in the queue"), time.Now())
}

// left reports whether an upstream is left that runs w's model and takes new work.
func (p *Reserved) left(w *policy.Work, skip map[string]bool) bool {
	now := time.Now()
	for _, u := range p.view.UpstreamsOf(w.Model) {
		if u.Takes(now) && !skip[u.Name] {
			return true
		}
	}
	return false
}

func (p *Reserved) pause(ctx context.Context, failures int, err error) {
	r := string(policy.ReasonMoved)
	if err != nil {
		r = fail.Reason(err)
	}
	p.metrics.Count(metric.Retries, "reason", r)
	select {
	case <-ctx.Done():
	case <-time.After(time.Until(policy.Backoff(time.Now(), failures, rand.Float64()))):
	}
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

// choose returns the upstream to ask about next, and whether to wait there. Those
// where the work would have to wait are passed over a few times, while there are others.
func (s *search) choose() (u *resource.Upstream, patient bool, err error) {
	p := s.placement
	next := s.next
	s.next = ""
	if next == "" && len(s.queued) > 0 && len(s.queued) < looksMost {
		others := maps.Clone(s.skip)
		maps.Copy(others, s.queued)
		if u, err := p.choose(s.work, others, ""); err == nil && u != nil {
			return u, false, nil
		}
	}
	u, err = p.choose(s.work, s.skip, next)
	return u, len(s.queued) > 0, err
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
	s.refused++
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

func refusalError(upstream string, a *policy.Answer) error {
	err := fail.New(fail.NotRun, fail.Place{Peer: "upstream " + upstream, Step: "ask"}, string(a.Reason), "refused: %s", a.Reason)
	if a.RetryAt.IsZero() {
		return err
	}
	return fail.WithRetryAt(err, a.RetryAt)
}
