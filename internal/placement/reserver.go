// Package placement chooses the upstream for a generation: either by reserving a place with the
// upstream's owner, or, as the baseline does, by reported load alone.
package placement

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"github.com/linetiller/linetiller/internal/box"
	"github.com/linetiller/linetiller/internal/fail"
	"github.com/linetiller/linetiller/internal/member"
	"github.com/linetiller/linetiller/internal/metric"
	"github.com/linetiller/linetiller/internal/policy"
	"github.com/linetiller/linetiller/internal/resource"
)

// Reserver reserves a place with the owner of an upstream before anything is sent to the
// upstream. It is safe for concurrent use.
type Reserver struct {
	// RequestLocal sends a placement request to an owner on this box. It must be set before
	// Place is called.
	RequestLocal func(ctx context.Context, a *box.PlacementRequest, answer func(*box.Reply) error)
	// RequestRemote sends a placement request to an owner on another box. It must be set before
	// Place is called.
	RequestRemote func(ctx context.Context, owner string, a *box.PlacementRequest, answer func(*box.Reply) error) error

	candidates *candidateCache
	loadAge    *metrics.Histogram
	members    *member.Table
	metrics    *metric.Set
	mutex      sync.Mutex // guards prompts and router; only the lock of the router's Lengths is taken while it is held
	prompts    *policy.Prompts
	router     *policy.Router
	view       *resource.View
}

// rerouteInterval is how often a better upstream is sought for queued work.
const rerouteInterval = time.Second

// NewReserver returns a Reserver for the upstreams in v.
func NewReserver(v *resource.View, m *member.Table, l *policy.Lengths, s *metric.Set, seed uint64) *Reserver {
	return &Reserver{candidates: newCandidateCache(v, m), loadAge: s.Histogram(metric.LoadAge), members: m, metrics: s, prompts: policy.NewPrompts(), router: policy.NewRouter(l, seed), view: v}
}

// ChooseLocally returns the upstream that seems best for w without a placement request to its
// owner, or nil. It is meant for work that should run even if no place can be reserved.
func (p *Reserver) ChooseLocally(w *policy.Work, avoid map[string]bool) *resource.Upstream {
	return p.view.Upstream(p.route(w, avoid))
}

// Place reserves a place for w at an upstream that is not in avoid. Its errors are of kind
// fail.NotRun: nothing was sent to any upstream.
func (p *Reserver) Place(ctx context.Context, w *policy.Work, avoid map[string]bool) (*Place, error) {
	ctx, cancel := context.WithDeadline(ctx, waitDeadline(w))
	defer cancel()
	if !w.Moved {
		w.Large = p.observePrompt(w)
	}
	s := &search{reserver: p, queued: make(map[string]bool), skip: make(map[string]bool, len(avoid)), work: w}
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

// RecordLoad records the load of an upstream as reported by its owner; nil is ignored.
func (p *Reserver) RecordLoad(l *policy.Load) {
	if l == nil {
		return
	}
	p.mutex.Lock()
	defer p.mutex.Unlock()
	p.router.UpdateLoad(*l)
}

// backOff counts a retry and waits before the next request, for a time that depends on the
// number of consecutive failures; err is the last of them, or nil if the upstream has another
// owner now.
func (p *Reserver) backOff(ctx context.Context, failures int, err error) {
	r := string(policy.ReasonOwnerChanged)
	if err != nil {
		r = fail.Reason(err)
	}
	p.metrics.Count(metric.Retries, "reason", r)
	select {
	case <-ctx.Done():
	case <-time.After(time.Until(policy.Backoff(time.Now(), failures, rand.Float64()))):
	}
}

// betterUpstream returns an upstream that is much better for w than the one where it is queued,
// or "".
func (p *Reserver) betterUpstream(w *policy.Work, current string) string {
	now := time.Now()
	c := p.candidates.get(w, now)
	p.mutex.Lock()
	defer p.mutex.Unlock()
	return p.router.BetterUpstream(w, current, c, now)
}

// chooseUpstream returns the upstream at which to request a place, which is next unless that is "".
// It returns nil if upstreams outside skip accept w, but none of them has an owner that can be
// reached, and an error if there is no such upstream.
func (p *Reserver) chooseUpstream(w *policy.Work, skip map[string]bool, next string) (*resource.Upstream, error) {
	if next == "" {
		next = p.route(w, skip)
	}
	if next == "" && !p.hasUpstream(w, skip) {
		return nil, fail.WithRetryAt(fail.New(fail.NotRun, fail.Origin{Peer: "upstreams", Step: "choose"},
			string(p.unavailableReason(w)), "no upstream takes new work for model %q", w.Model), time.Now().Add(time.Second))
	}
	return p.view.Upstream(next), nil
}

// drainReplies returns the final answer if it is still buffered in replies after the exchange
// has ended, or else the exchange's error. Without an answer it also marks the owner as failed,
// unless the owner is this box or ctx has ended.
func (p *Reserver) drainReplies(ctx context.Context, err error, replies <-chan *box.Reply, owner string, began time.Time, origin fail.Origin) (*policy.Answer, error) {
	for {
		select {
		case r := <-replies:
			if a := p.finalAnswer(r); a != nil {
				return a, nil
			}
			continue
		default:
		}
		if ctx.Err() == nil && owner != p.members.Self().Name {
			p.members.RecordFailure(owner, began, time.Now())
		}
		if err == nil {
			err = fail.New(fail.Unavailable, origin, "owner_lost", "the owner ended the call without a final answer")
		}
		return nil, err
	}
}

// exchange sends one placement request and forwards the replies until the last.
func (p *Reserver) exchange(ctx context.Context, owner string, a *box.PlacementRequest, replies chan<- *box.Reply) error {
	forward := func(r *box.Reply) error {
		select {
		case replies <- r:
			return nil
		case <-ctx.Done():
			return ctx.Err()
		}
	}
	if owner == p.members.Self().Name {
		p.RequestLocal(ctx, a, forward)
		return nil
	}
	return p.RequestRemote(ctx, owner, a, forward)
}

// finalAnswer records the load in a reply and returns its answer, or nil if the work is queued,
// so that another answer follows.
func (p *Reserver) finalAnswer(r *box.Reply) *policy.Answer {
	p.RecordLoad(r.Load)
	if r.Answer == nil || r.Answer.Verdict == policy.VerdictQueue {
		return nil
	}
	return r.Answer
}

// observePrompt records the size of the prompt of w, and reports whether it is large for its
// kind of work.
func (p *Reserver) observePrompt(w *policy.Work) bool {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	return p.prompts.Observe(w)
}

// requestPlace requests a place from u's owner and returns the final answer. While w is queued it
// waits for at most the given time, after which it returns errQueued, or until a much better
// upstream is known, in which case it returns a rerouteError.
func (p *Reserver) requestPlace(ctx context.Context, u *resource.Upstream, w *policy.Work, wait time.Duration) (*policy.Answer, error) {
	owner := policy.HighestRanked(u.Name, p.members.Active(u.Spec.Hall))
	origin := fail.Origin{Peer: "box " + owner, Step: "ask"}
	if owner == "" {
		return nil, fail.New(fail.NotRun, origin, "no_owner", "no box is known in hall %q", u.Spec.Hall)
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	began := time.Now()
	replies := make(chan *box.Reply, 2)
	failed := make(chan error, 1)
	go func() { failed <- p.exchange(ctx, owner, &box.PlacementRequest{Upstream: u.Name, Work: *w}, replies) }()
	t := time.NewTicker(rerouteInterval)
	defer t.Stop()
	waited := time.NewTimer(wait)
	defer waited.Stop()
	for {
		select {
		case r := <-replies:
			if a := p.finalAnswer(r); a != nil {
				return a, nil
			}
			if r.Answer != nil && wait == 0 {
				return nil, errQueued
			}
		case err := <-failed:
			return p.drainReplies(ctx, err, replies, owner, began, origin)
		case <-t.C:
			if to := p.betterUpstream(w, u.Name); to != "" {
				return nil, rerouteError{to}
			}
		case <-waited.C:
			if wait > 0 {
				return nil, errQueued
			}
		case <-ctx.Done():
			return nil, ctx.Err()
		}
	}
}

// waitDeadline returns until when work may wait for a place. After that its caller would
// disconnect before the first token, so the work is refused while the caller is still
// connected. The time to prefill a prompt is only an estimate, so any work may wait for at least
// half of the time that its caller waits for the first token.
func waitDeadline(w *policy.Work) time.Time {
	b := policy.LatestStart(w)
	if b.IsZero() {
		return w.Deadline
	}
	if half := w.Arrived.Add(w.FirstBy.Sub(w.Arrived) / 2); b.Before(half) {
		b = half
	}
	if b.Before(w.Deadline) {
		return b
	}
	return w.Deadline
}

// route returns the name of the upstream at which to request a place, or "" if all candidates are
// in skip.
func (p *Reserver) route(w *policy.Work, skip map[string]bool) string {
	now := time.Now()
	c := p.candidates.get(w, now)
	p.mutex.Lock()
	defer p.mutex.Unlock()
	n := p.router.Choose(w, c, now, func(n string) bool { return !skip[n] })
	if l, ok := p.router.Load(n); ok {
		p.loadAge.Update(now.Sub(l.AsOf).Seconds())
	}
	return n
}

// unavailableReason returns why no upstream accepts w.
func (p *Reserver) unavailableReason(w *policy.Work) policy.Reason {
	reason := policy.ReasonNoUpstream
	for _, u := range p.view.UpstreamsOfModel(w.Model) {
		switch {
		case !w.AllowsHall(u.Spec.Hall):
			reason = policy.ReasonRegion
		case u.Evacuated():
			return policy.ReasonEvacuated
		}
	}
	return reason
}

// hasUpstream reports whether any upstream outside skip serves w's model and accepts new work.
func (p *Reserver) hasUpstream(w *policy.Work, skip map[string]bool) bool {
	now := time.Now()
	for _, u := range p.view.UpstreamsOfModel(w.Model) {
		if u.AcceptsWork(now) && !skip[u.Name] && w.AllowsHall(u.Spec.Hall) {
			return true
		}
	}
	return false
}

// waitError returns the error for work that got no place before its deadline or before its
// caller disconnected.
func (p *Reserver) waitError(ctx context.Context, w *policy.Work) error {
	origin := fail.Origin{Peer: "upstreams", Step: "wait for a place"}
	if time.Now().Before(waitDeadline(w)) {
		return fail.Wrap(fail.NotRun, origin, "caller_gone", ctx.Err())
	}
	return fail.WithRetryAt(fail.New(fail.NotRun, origin, string(policy.ReasonDeadline), "the deadline passed while waiting for a place"), time.Now())
}
