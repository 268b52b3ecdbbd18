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
	client    context.Context // ends when the client has gone
	deliverer *Deliverer
	request   *Request
	sink      Sink

	avoid     map[string]bool
	claim     *requestkey.Claim
	delivered int  // tokens that have reached the client or were recorded
	gone      bool // the client has gone
	stage     stage
	text      strings.Builder // of a request with a key, to be recorded
	times     meter.RequestTimes
}

// errGone says that the client has gone and nothing needs the generation.
var errGone = errors.New("the client has gone")

func (s *session) run() error {
	defer func() { s.deliverer.meter.End(&s.times) }()
	if s.request.Resume != nil {
		return s.resume(s.request.Resume.Upstream, s.request.Resume.Generation, s.request.Resume.Index+1)
	}
	if s.request.Key != "" {
		done, err := s.repeat()
		if done || err != nil {
			return err
		}
	}
	s.avoid = make(map[string]bool)
	for try := 1; ; try++ {
		again, err := s.attempt()
		if !again {
			return s.end(err)
		}
		if try >= placesMost || !s.deliverer.takeRetry() {
			return s.end(err)
		}
		s.deliverer.metrics.Count(metric.Retries, "reason", fail.Reason(err))
		event.RequestRetried.Log(s.deliverer.log, "reason", fail.Reason(err), "peer", fail.Peer(err))
	}
}

// attempt runs the request at one upstream. It reports whether the request may
// be tried at another one.
func (s *session) attempt() (again bool, err error) {
	p, err := s.deliverer.place(s.client, s.request, s.avoid)
	if err != nil {
		return false, err
	}
	r := s.deliverer.tracker.Start(&s.request.Work, p.Upstream.Name)
	ended := false
	defer func() { s.deliverer.tracker.Finish(r, ended) }()
	p, err = s.check(p)
	if err != nil {
		return true, err
	}
	id := newID()
	if err := s.take(p.Upstream.Name, id); err != nil {
		return false, err
	}
	s.avoid[p.Upstream.Name] = true
	f := &follower{generation: id, running: r, session: s, upstream: p.Upstream}
	err = s.start(f)
	if err == nil {
		err = f.follow()
	}
	ended = err == nil
	if errors.Is(err, errGone) {
		s.abandon(f)
		return false, fail.New(fail.Interrupted, fail.Origin{Peer: "client", Step: "deliver"}, "caller_gone", "the client has gone")
	}
	return err != nil && s.mayRepeat(err), err
}

// abandon cancels a generation that nobody reads any more, once the client has
// had the time to come back through another box. A box that stops leaves it
// running: its client may be on the way to another box.
func (s *session) abandon(f *follower) {
	d := s.deliverer
	select {
	case <-time.After(lingerPeriod):
	case <-d.ctx.Done():
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), cancelPeriod)
	defer cancel()
	p, err := d.engines.Position(ctx, f.upstream.Spec.Address, f.generation)
	if err == nil && p.Readers > 0 {
		return
	}
	_ = d.engines.Cancel(ctx, f.upstream.Spec.Address, f.generation)
}

// check makes sure, just before the send, that the place may still be used: the
// box may have been paused since it was given.
func (s *session) check(p *placement.Place) (*placement.Place, error) {
	s.deliverer.Fresh(s.client)
	u := s.deliverer.view.Upstream(p.Upstream.Name)
	place := fail.Origin{Peer: "upstream " + p.Upstream.Name, Step: "check before the send"}
	if u == nil || !u.AcceptsWork(time.Now()) {
		s.avoid[p.Upstream.Name] = true
		return nil, fail.WithRetryAt(fail.New(fail.NotRun, place, "leaving", "the upstream is leaving"), time.Now())
	}
	if t := s.deliverer.rests.Until(u.Name, time.Now()); !t.IsZero() {
		s.avoid[u.Name] = true
		return nil, fail.WithRetryAt(fail.New(fail.NotRun, place, string(policy.ReasonResting), "the upstream wants rest"), t)
	}
	if p.Stale(time.Now()) {
		return nil, fail.WithRetryAt(fail.New(fail.NotRun, place, "stale_place", "the place was given too long ago"), time.Now())
	}
	return &placement.Place{GrantedAt: p.GrantedAt, Upstream: u}, nil
}

// end settles the request's key and returns the request's final error.
func (s *session) end(err error) error {
	if errors.Is(err, errAnswered) {
		return nil
	}
	if s.claim == nil {
		return s.outcome(err)
	}
	c, stage, finish := s.claim, s.stage, s.claim.Record.Finish
	if err != nil && stage == stageNotRun {
		s.deliverer.background(func(ctx context.Context) error { return s.deliverer.keys.Release(ctx, c) })
		return s.outcome(err)
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
	s.deliverer.background(func(ctx context.Context) error {
		if err := s.deliverer.keys.Store(ctx, c.Key, &r, text); err != nil {
			return err
		}
		return s.deliverer.keys.Update(ctx, c, r)
	})
	return s.outcome(err)
}

// mayRepeat reports whether the request may be run at another upstream after err.
func (s *session) mayRepeat(err error) bool {
	if s.delivered > 0 || s.gone {
		return false
	}
	return errorx.IsOfType(err, fail.NotRun) || s.request.Key == ""
}

// outcome makes sure that what the client is told is true of the stage reached.
func (s *session) outcome(err error) error {
	if err == nil {
		return nil
	}
	return s.stage.truthful(err, s.delivered)
}

// repeat answers a request whose key was used before. It reports whether it did.
func (s *session) repeat() (bool, error) {
	d := s.deliverer
	k := requestkey.RowKey(s.request.Work.Workspace, s.request.Key)
	c, err := d.keys.Look(s.client, k)
	if err != nil {
		return false, tableRefusal(err)
	}
	if c == nil {
		return false, nil
	}
	return true, s.answerRepeat(c)
}

func (s *session) answerRepeat(c *requestkey.Claim) error {
	p := fail.Origin{Peer: "platform", Step: "look up request key"}
	r := &c.Record
	if r.Print != s.request.Print {
		return fail.New(fail.Conflict, p, "key_reused", "the request key belongs to another request")
	}
	switch r.State {
	case requestkey.StateFinished:
		return s.replay(r)
	case requestkey.StateRunning:
		err := s.resumeStarting(r.Upstream, r.Generation)
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
	text, err := s.deliverer.keys.Answer(s.client, r)
	if err != nil {
		return tableRefusal(err)
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
	x, err := d.engines.Position(s.client, u.Spec.Address, generation)
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
	f := &follower{generation: generation, running: r, session: s, upstream: u}
	d.metrics.Count(metric.Resumptions, "reason", "client_returned")
	err = f.follow()
	ended = err == nil
	if errors.Is(err, errGone) {
		s.abandon(f)
		return nil
	}
	return s.outcome(err)
}

// resumeStarting delivers a generation whose row was written but whose start may
// still be on its way to the upstream.
func (s *session) resumeStarting(name, generation string) error {
	until := time.Now().Add(startPeriod)
	for {
		err := s.resume(name, generation, 0)
		if !errorx.IsOfType(err, fail.NotFound) || time.Now().After(until) {
			return err
		}
		select {
		case <-time.After(resumptionGap):
		case <-s.client.Done():
			return err
		}
	}
}

// start sends the request. From here on it is no longer certain that nothing ran.
func (s *session) start(f *follower) error {
	q := s.request
	s.stage = stageSent
	x, err := s.deliverer.engines.Start(context.WithoutCancel(s.client), f.upstream.Spec.Address, &upstream.Start{
		ID: f.generation, MaxTokens: q.Work.MaxTokens, Model: q.Work.Model, Prefix: q.Work.Prefix,
		Priority: q.Work.Priority, Prompt: q.Prompt, Workspace: q.Work.Workspace,
	})
	if errorx.IsOfType(err, fail.NotRun) {
		s.stage = stageNotRun
		s.noteRefusal(f.upstream, err)
		event.UpstreamFailed.Log(s.deliverer.log, "upstream", f.upstream.Name, "reason", fail.Reason(err))
		return err
	}
	if err != nil {
		// The answer was lost: the generation may run. Its stream can still be had.
		event.UpstreamFailed.Log(s.deliverer.log, "upstream", f.upstream.Name, "reason", fail.Reason(err))
		return nil
	}
	s.deliverer.rests.RecordSuccess(f.upstream.Name)
	f.stream = x
	return nil
}

// noteRefusal takes in that an upstream ran nothing: it may want rest, or turn all away. Where it
// found fault with the request, or could not be reached, it did neither.
func (s *session) noteRefusal(u *resource.Upstream, err error) {
	if t := fail.RetryAt(err); !t.IsZero() {
		s.deliverer.rests.RecordBackoff(u, t)
	} else if fail.Reason(err) == upstream.ReasonLeaving {
		s.deliverer.rests.RecordRefusal(u.Name, time.Now())
	}
}

// take claims the request key for this attempt, or moves the claim on to it.
func (s *session) take(name, generation string) error {
	if s.request.Key == "" {
		return nil
	}
	d := s.deliverer
	ctx, cancel := context.WithDeadline(s.client, s.request.Work.Deadline)
	defer cancel()
	r := requestkey.Record{Generation: generation, Print: s.request.Print, State: requestkey.StateRunning, Try: newID(), Upstream: name}
	if s.claim != nil {
		return tableRefusal(d.keys.Update(ctx, s.claim, r))
	}
	c, ours, err := d.keys.Insert(ctx, requestkey.RowKey(s.request.Work.Workspace, s.request.Key), r)
	if err != nil {
		return tableRefusal(err)
	}
	if !ours {
		return s.answerOther(c)
	}
	s.claim = c
	return nil
}

// answerOther answers a request whose key another attempt took a moment ago.
func (s *session) answerOther(c *requestkey.Claim) error {
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

// tableRefusal refuses a request that needs the table while it cannot be had.
func tableRefusal(err error) error {
	if err == nil || errorx.IsOfType(err, fail.Conflict) {
		return err
	}
	p := fail.Origin{Peer: "platform", Step: "claim request key"}
	return fail.WithRetryAt(fail.Wrap(fail.NotRun, p, "table_unavailable", err), time.Now().Add(tableRetryPeriod))
}

const tableRetryPeriod = 5 * time.Second
