package delivery

import (
	"context"
	"errors"
	"strings"
	"time"

	"github.com/joomcode/errorx"

	"github.com/linetiller/linetiller/internal/event"
	"github.com/linetiller/linetiller/internal/fail"
	"github.com/linetiller/linetiller/internal/meter"
	"github.com/linetiller/linetiller/internal/metric"
	"github.com/linetiller/linetiller/internal/placement"
	"github.com/linetiller/linetiller/internal/policy"
	"github.com/linetiller/linetiller/internal/requestkey"
	"github.com/linetiller/linetiller/internal/resource"
	"github.com/linetiller/linetiller/internal/upstream"
)

// session is one request on its way. It is used by one goroutine.
type session struct {
	clientContext context.Context // ends when the client has gone
	deliverer     *Deliverer
	request       *Request
	sink          Sink

	avoid      map[string]bool
	claim      *requestkey.Claim
	delivered  int  // tokens that have reached the client or were recorded
	clientGone bool // the client has gone
	stage      stage
	text       strings.Builder // of a request with a key, to be recorded
	times      meter.RequestTimes
}

// errClientGone says that the client has gone and nothing needs the generation.
var errClientGone = errors.New("the client has gone")

func (s *session) run() error {
	defer func() { s.deliverer.meter.End(&s.times) }()
	if s.request.ResumeAfter != nil {
		return s.resume(s.request.ResumeAfter.Upstream, s.request.ResumeAfter.Generation, s.request.ResumeAfter.Index+1)
	}
	if s.request.Key != "" {
		done, err := s.answerIfRepeated()
		if done || err != nil {
			return err
		}
	}
	s.avoid = make(map[string]bool)
	for attempts := 1; ; attempts++ {
		retry, err := s.attempt()
		if !retry {
			return s.finish(err)
		}
		if attempts >= maxAttempts || !s.deliverer.takeRetry() {
			return s.finish(err)
		}
		s.deliverer.metrics.Count(metric.Retries, "reason", fail.Reason(err))
		event.RequestRetried.Log(s.deliverer.log, "reason", fail.Reason(err), "peer", fail.Peer(err))
	}
}

// attempt runs the request at one upstream. It reports whether the request may
// be tried at another one.
func (s *session) attempt() (retry bool, err error) {
	p, err := s.deliverer.findPlace(s.clientContext, s.request, s.avoid)
	if err != nil {
		return false, err
	}
	r := s.deliverer.tracker.Start(&s.request.Work, p.Upstream.Name)
	ended := false
	defer func() { s.deliverer.tracker.Finish(r, ended) }()
	p, err = s.recheckPlace(p)
	if err != nil {
		return true, err
	}
	id := newID()
	if err := s.claimKey(p.Upstream.Name, id); err != nil {
		return false, err
	}
	s.avoid[p.Upstream.Name] = true
	f := &forwarder{generation: id, running: r, session: s, upstream: p.Upstream}
	err = s.start(f)
	if err == nil {
		err = f.run()
	}
	ended = err == nil
	if errors.Is(err, errClientGone) {
		s.cancelUnread(f)
		return false, fail.New(fail.Interrupted, fail.Origin{Peer: "client", Step: "deliver"}, "caller_gone", "the client has gone")
	}
	return err != nil && s.mayRetry(err), err
}

// cancelUnread cancels a generation that nobody reads any more, once the client has
// had the time to come back through another box. A box that stops leaves it
// running: its client may be on the way to another box.
func (s *session) cancelUnread(f *forwarder) {
	d := s.deliverer
	select {
	case <-time.After(reconnectGracePeriod):
	case <-d.ctx.Done():
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), cancelTimeout)
	defer cancel()
	p, err := d.engines.Position(ctx, f.upstream.Spec.Address, f.generation)
	if err == nil && p.Readers > 0 {
		return
	}
	_ = d.engines.Cancel(ctx, f.upstream.Spec.Address, f.generation)
}

// recheckPlace makes sure, just before the send, that the place may still be used: the
// box may have been paused since it was given.
func (s *session) recheckPlace(p *placement.Place) (*placement.Place, error) {
	s.deliverer.RefreshViews(s.clientContext)
	u := s.deliverer.view.Upstream(p.Upstream.Name)
	place := fail.Origin{Peer: "upstream " + p.Upstream.Name, Step: "check before the send"}
	if u == nil || !u.AcceptsWork(time.Now()) {
		s.avoid[p.Upstream.Name] = true
		return nil, fail.WithRetryAt(fail.New(fail.NotRun, place, "leaving", "the upstream is leaving"), time.Now())
	}
	if t := s.deliverer.backoffs.Until(u.Name, time.Now()); !t.IsZero() {
		s.avoid[u.Name] = true
		return nil, fail.WithRetryAt(fail.New(fail.NotRun, place, string(policy.ReasonResting), "the upstream wants rest"), t)
	}
	if p.Stale(time.Now()) {
		return nil, fail.WithRetryAt(fail.New(fail.NotRun, place, "stale_place", "the place was given too long ago"), time.Now())
	}
	return &placement.Place{GrantedAt: p.GrantedAt, Upstream: u}, nil
}

// finish settles the request's key and returns the request's final error.
func (s *session) finish(err error) error {
	if errors.Is(err, errAnswered) {
		return nil
	}
	if s.claim == nil {
		return s.clientError(err)
	}
	c, stage, finish := s.claim, s.stage, s.claim.Record.Finish
	if err != nil && stage == stageNotRun {
		s.deliverer.recordInBackground(func(ctx context.Context) error { return s.deliverer.keys.Release(ctx, c) })
		return s.clientError(err)
	}
	r := c.Record
	r.Finish, r.Tokens = finish, s.delivered
	r.State = requestkey.StateFinished
	if err != nil {
		r.State = requestkey.StateInterrupted
	}
	if err != nil && s.delivered == 0 {
		r.State = requestkey.StateUnknown
	}
	text := s.text.String()
	s.deliverer.recordInBackground(func(ctx context.Context) error {
		if err := s.deliverer.keys.StoreAnswer(ctx, c.Key, &r, text); err != nil {
			return err
		}
		return s.deliverer.keys.Update(ctx, c, r)
	})
	return s.clientError(err)
}

// mayRetry reports whether the request may be run at another upstream after err.
func (s *session) mayRetry(err error) bool {
	if s.delivered > 0 || s.clientGone {
		return false
	}
	return errorx.IsOfType(err, fail.NotRun) || s.request.Key == ""
}

// clientError makes sure that what the client is told is true of the stage reached.
func (s *session) clientError(err error) error {
	if err == nil {
		return nil
	}
	return s.stage.correctError(err, s.delivered)
}

// answerIfRepeated answers a request whose key was used before. It reports whether it did.
func (s *session) answerIfRepeated() (bool, error) {
	d := s.deliverer
	k := requestkey.RowKey(s.request.Work.Workspace, s.request.Key)
	c, err := d.keys.Lookup(s.clientContext, k)
	if err != nil {
		return false, tableError(err)
	}
	if c == nil {
		return false, nil
	}
	return true, s.answerRepeat(c)
}

func (s *session) answerRepeat(c *requestkey.Claim) error {
	p := fail.Origin{Peer: "platform", Step: "look up request key"}
	r := &c.Record
	if r.Fingerprint != s.request.Fingerprint {
		return fail.New(fail.Conflict, p, "key_reused", "the request key belongs to another request")
	}
	switch r.State {
	case requestkey.StateFinished:
		return s.replay(r)
	case requestkey.StateRunning:
		err := s.resumeWhenStarted(r.Upstream, r.Generation)
		if errorx.IsOfType(err, fail.NotFound) {
			return fail.Wrap(fail.Unknown, p, "outcome_unknown", err)
		}
		return err
	case requestkey.StateInterrupted:
		return fail.New(fail.Interrupted, p, "interrupted_before", "the request was interrupted after %d tokens and is not run again", r.Tokens)
	case requestkey.StateUnknown:
	}
	return fail.New(fail.Unknown, p, "outcome_unknown", "it is not known whether the request ran")
}

// replay sends a recorded answer as one piece.
func (s *session) replay(r *requestkey.Record) error {
	text, err := s.deliverer.keys.Answer(s.clientContext, r)
	if err != nil {
		return tableError(err)
	}
	t := &Token{Generation: r.Generation, Index: max(0, r.Tokens-1), Text: []byte(text), Upstream: r.Upstream}
	if err := s.sink(t); err != nil {
		return nil
	}
	_ = s.sink(&Token{Finish: r.Finish, Generation: r.Generation, Index: r.Tokens, Upstream: r.Upstream})
	return nil
}

// resume delivers a generation that already runs from a token index on.
func (s *session) resume(name, generation string, from int) error {
	d := s.deliverer
	p := fail.Origin{Peer: "upstream " + name, Step: "resume for client"}
	s.stage = stageSent
	u := d.view.Upstream(name)
	if u == nil {
		return fail.New(fail.NotFound, p, "generation_unknown", "upstream %q is not known", name)
	}
	x, err := d.engines.Position(s.clientContext, u.Spec.Address, generation)
	if err != nil {
		return resumeError(p, err)
	}
	if x.Workspace != s.request.Work.Workspace {
		return fail.New(fail.NotFound, p, "generation_unknown", "generation %q is not known", generation)
	}
	w := s.request.Work
	w.ID = generation
	r := d.tracker.Start(&w, name)
	ended := false
	defer func() { d.tracker.Finish(r, ended) }()
	s.delivered = from
	f := &forwarder{generation: generation, running: r, session: s, upstream: u}
	d.metrics.Count(metric.Resumptions, "reason", "client_returned")
	err = f.run()
	ended = err == nil
	if errors.Is(err, errClientGone) {
		s.cancelUnread(f)
		return nil
	}
	return s.clientError(err)
}

// resumeWhenStarted delivers a generation whose row was written but whose start may
// still be on its way to the upstream.
func (s *session) resumeWhenStarted(name, generation string) error {
	until := time.Now().Add(startGracePeriod)
	for {
		err := s.resume(name, generation, 0)
		if !errorx.IsOfType(err, fail.NotFound) || time.Now().After(until) {
			return err
		}
		select {
		case <-time.After(resumeRetryInterval):
		case <-s.clientContext.Done():
			return err
		}
	}
}

// start sends the request. From here on it is no longer certain that nothing ran.
func (s *session) start(f *forwarder) error {
	q := s.request
	s.stage = stageSent
	x, err := s.deliverer.engines.Start(context.WithoutCancel(s.clientContext), f.upstream.Spec.Address, &upstream.Start{
		ID: f.generation, MaxTokens: q.Work.MaxTokens, Model: q.Work.Model, Prefix: q.Work.Prefix,
		Priority: q.Work.Priority, Prompt: q.Prompt, Workspace: q.Work.Workspace,
	})
	if errorx.IsOfType(err, fail.NotRun) {
		s.stage = stageNotRun
		s.recordRefusal(f.upstream, err)
		event.UpstreamFailed.Log(s.deliverer.log, "upstream", f.upstream.Name, "reason", fail.Reason(err))
		return err
	}
	if err != nil {
		// The answer was lost: the generation may run. Its stream can still be had.
		event.UpstreamFailed.Log(s.deliverer.log, "upstream", f.upstream.Name, "reason", fail.Reason(err))
		return nil
	}
	s.deliverer.backoffs.RecordSuccess(f.upstream.Name)
	f.stream = x
	return nil
}

// recordRefusal takes in that an upstream ran nothing: it may want rest, or turn all away. Where it
// found fault with the request, or could not be reached, it did neither.
func (s *session) recordRefusal(u *resource.Upstream, err error) {
	if t := fail.RetryAt(err); !t.IsZero() {
		s.deliverer.backoffs.RecordBackoff(u, t)
	} else if fail.Reason(err) == upstream.ReasonLeaving {
		s.deliverer.backoffs.RecordRefusal(u.Name, time.Now())
	}
}

// claimKey claims the request key for this attempt, or moves the claim on to it.
func (s *session) claimKey(name, generation string) error {
	if s.request.Key == "" {
		return nil
	}
	d := s.deliverer
	ctx, cancel := context.WithDeadline(s.clientContext, s.request.Work.Deadline)
	defer cancel()
	r := requestkey.Record{Generation: generation, Fingerprint: s.request.Fingerprint, State: requestkey.StateRunning, AttemptID: newID(), Upstream: name}
	if s.claim != nil {
		return tableError(d.keys.Update(ctx, s.claim, r))
	}
	c, ours, err := d.keys.Insert(ctx, requestkey.RowKey(s.request.Work.Workspace, s.request.Key), r)
	if err != nil {
		return tableError(err)
	}
	if !ours {
		return s.answerFromHolder(c)
	}
	s.claim = c
	return nil
}

// answerFromHolder answers a request whose key another attempt took a moment ago.
func (s *session) answerFromHolder(c *requestkey.Claim) error {
	err := s.answerRepeat(c)
	if err == nil {
		return errAnswered
	}
	return err
}

// errAnswered says that the request was answered from another attempt.
var errAnswered = errors.New("answered from another attempt")

func resumeError(p fail.Origin, err error) error {
	if errorx.IsOfType(err, fail.NotFound) {
		return fail.Wrap(fail.NotFound, p, "generation_unknown", err)
	}
	return fail.WithRetryAt(fail.Wrap(fail.Unavailable, p, "resume_failed", err), time.Now().Add(time.Second))
}

// tableError refuses a request that needs the table while it cannot be had.
func tableError(err error) error {
	if err == nil || errorx.IsOfType(err, fail.Conflict) {
		return err
	}
	p := fail.Origin{Peer: "platform", Step: "claim request key"}
	return fail.WithRetryAt(fail.Wrap(fail.NotRun, p, "table_unavailable", err), time.Now().Add(tableRetryAfter))
}

const tableRetryAfter = 5 * time.Second
