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

// Reserved reserves a place with the owner of an upstream before anything is sent to the
// upstream. It is safe for concurrent use.
type Reserved struct {
	// AskLocal asks the owner of an upstream on this box. It must be set before Place is called.
	AskLocal func(ctx context.Context, a *box.PlacementRequest, answer func(*box.Reply) error)
	// Call asks the owner of an upstream on another box. It must be set before Place is called.
	Call func(ctx context.Context, owner string, a *box.PlacementRequest, answer func(*box.Reply) error) error

	candidates *candidateCache
	loadAge    *metrics.Histogram
	members    *member.Table
	metrics    *metric.Set
	mutex      sync.Mutex // guards prompts and router; only the lock of the router's Lengths is taken while it is held
	prompts    *policy.Prompts
	router     *policy.Router
	view       *resource.View
}

// rerouteInterval is how often queued work checks for a better upstream.
const rerouteInterval = time.Second

// NewReserved returns a Reserved for the upstreams in v.
func NewReserved(v *resource.View, m *member.Table, l *policy.Lengths, s *metric.Set, seed uint64) *Reserved {
	return &Reserved{candidates: newCandidateCache(v, m), loadAge: s.Histogram(metric.LoadAge), members: m, metrics: s, prompts: policy.NewPrompts(), router: policy.NewRouter(l, seed), view: v}
}

// Guess returns the upstream that seems best for w without asking its owner, or nil. It is meant
// for work that should run even if no place could be reserved.
func (p *Reserved) Guess(w *policy.Work, avoid map[string]bool) *resource.Upstream {
	return p.view.Upstream(p.route(w, avoid))
}

// Place reserves a place for w at an upstream that is not in avoid. Its errors are of kind
// fail.NotRun: nothing was sent to any upstream.
func (p *Reserved) Place(ctx context.Context, w *policy.Work, avoid map[string]bool) (*Place, error) {
	ctx, cancel := context.WithDeadline(ctx, waitDeadline(w))
	defer cancel()
	if !w.Moved {
		w.Large = p.observePrompt(w)
	}
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

// RecordLoad records the load of an upstream as reported by its owner; nil is ignored.
func (p *Reserved) RecordLoad(l *policy.Load) {
	if l == nil {
		return
	}
	p.mutex.Lock()
	defer p.mutex.Unlock()
	p.router.UpdateLoad(*l)
}

// ask asks u's owner for a place and returns its final answer. While w is queued it waits for at
// most the given time, after which it returns errQueued, or until a much better upstream is
// known, in which case it returns a rerouteError.
func (p *Reserved) ask(ctx context.Context, u *resource.Upstream, w *policy.Work, wait time.Duration) (*policy.Answer, error) {
	owner := policy.First(u.Name, p.members.Alive(u.Spec.Hall))
	place := fail.Origin{Peer: "box " + owner, Step: "ask"}
	if owner == "" {
		return nil, fail.New(fail.NotRun, place, "no_owner", "no box is known in hall %q", u.Spec.Hall)
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
			return p.drainReplies(ctx, err, replies, owner, began, place)
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

// backOff counts a retry and waits before the next request, for a time that depends on the
// number of consecutive failures; err is the last of them, or nil if the upstream has another
// owner now.
func (p *Reserved) backOff(ctx context.Context, failures int, err error) {
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

// betterUpstream returns an upstream that is much better for w than the one where it is queued,
// or "".
func (p *Reserved) betterUpstream(w *policy.Work, at string) string {
	now := time.Now()
	c := p.candidates.get(w, now)
	p.mutex.Lock()
	defer p.mutex.Unlock()
	return p.router.BetterUpstream(w, at, c, now)
}

// chooseUpstream returns the upstream to ask for a place, or nil if none of those left has an
// owner that can be asked. It returns an error if no upstream is left.
func (p *Reserved) chooseUpstream(w *policy.Work, skip map[string]bool, next string) (*resource.Upstream, error) {
	if next == "" {
		next = p.route(w, skip)
	}
	if next == "" && !p.upstreamLeft(w, skip) {
		return nil, fail.WithRetryAt(fail.New(fail.NotRun, fail.Origin{Peer: "upstreams", Step: "choose"},
			string(p.unavailableReason(w)), "no upstream takes new work for model %q", w.Model), time.Now().Add(time.Second))
	}
	return p.view.Upstream(next), nil
}

// drainReplies returns the final answer if it is still buffered in replies after the exchange
// has ended, or else the exchange's error. Without an answer it also marks the owner as failed,
// unless the owner is this box or ctx has ended.
func (p *Reserved) drainReplies(ctx context.Context, err error, replies <-chan *box.Reply, owner string, began time.Time, place fail.Origin) (*policy.Answer, error) {
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
			err = fail.New(fail.Unavailable, place, "owner_lost", "the owner ended the call without a final answer")
		}
		return nil, err
	}
}

// exchange sends one request for a place and forwards the replies until the last.
func (p *Reserved) exchange(ctx context.Context, owner string, a *box.PlacementRequest, replies chan<- *box.Reply) error {
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

// finalAnswer records the load in a reply and returns its answer, or nil if the work is queued,
// so that another answer follows.
func (p *Reserved) finalAnswer(r *box.Reply) *policy.Answer {
	p.RecordLoad(r.Load)
	if r.Answer == nil || r.Answer.Verdict == policy.VerdictQueue {
		return nil
	}
	return r.Answer
}

// observePrompt records the size of the prompt of w, and reports whether it is large for its
// kind of work.
func (p *Reserved) observePrompt(w *policy.Work) bool {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	return p.prompts.Observe(w)
}

// waitDeadline returns until when work may wait for a place. After that its caller would
// disconnect before the first token, so it is better refused while the caller is still
// connected. The time that a prompt takes to be read is only an estimate, so any work may wait
// for at least half of the time that its caller waits for the first token.
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

// route returns the name of the upstream to ask for a place, or "" if all candidates are in
// skip.
func (p *Reserved) route(w *policy.Work, skip map[string]bool) string {
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
func (p *Reserved) unavailableReason(w *policy.Work) policy.Reason {
	for _, u := range p.view.UpstreamsOfModel(w.Model) {
		if u.Evacuated() {
			return policy.ReasonEvacuated
		}
	}
	return policy.ReasonNoUpstream
}

// upstreamLeft reports whether any upstream outside skip serves w's model and accepts new work.
func (p *Reserved) upstreamLeft(w *policy.Work, skip map[string]bool) bool {
	now := time.Now()
	for _, u := range p.view.UpstreamsOfModel(w.Model) {
		if u.AcceptsWork(now) && !skip[u.Name] {
			return true
		}
	}
	return false
}

// waitError returns the error for work that got no place before its deadline or before its
// caller disconnected.
func (p *Reserved) waitError(ctx context.Context, w *policy.Work) error {
	place := fail.Origin{Peer: "upstreams", Step: "wait for a place"}
	if time.Now().Before(waitDeadline(w)) {
		return fail.Wrap(fail.NotRun, place, "caller_gone", ctx.Err())
	}
	return fail.WithRetryAt(fail.New(fail.NotRun, place, string(policy.ReasonDeadline), "the deadline passed while waiting for a place"), time.Now())
}
