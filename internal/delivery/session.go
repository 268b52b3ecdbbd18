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

// session is the state of one request. It is used by one goroutine.
type session struct {
	clientContext context.Context // cancelled when the client disconnects
	deliverer     *Deliverer
	request       *Request
	sink          Sink

	avoid              map[string]bool   // names of upstreams not to try again
	claim              *requestkey.Claim // nil unless this attempt holds the request key
	deliveredTokens    int               // tokens that were sent to the client or are to be recorded
	clientDisconnected bool              // the client has disconnected
	retryTakenAt       time.Time         // when a retry was taken from the budget that is not sent yet; zero if there is none
	stage              stage
	text               strings.Builder // the answer to be recorded; only if claim is set
	times              meter.RequestTimes
}

// errClientDisconnected means that the client has disconnected and the generation is no longer needed.
var errClientDisconnected = errors.New("the client has disconnected")

// run handles the request and returns its error for the client.
func (s *session) run() error {
	defer func() { s.deliverer.meter.RecordEnd(&s.times) }()
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
		if attempts >= maxAttempts || !s.takeRetry(err) {
			return s.finish(err)
		}
		s.deliverer.metrics.Count(metric.Retries, "reason", fail.Reason(err))
		event.RequestRetried.Log(s.deliverer.log, "reason", fail.Reason(err), "peer", fail.Peer(err))
	}
}

// attempt runs the request at one upstream. retry reports whether another upstream may be tried.
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
	s.postponeRetry()
	f := &forwarder{generation: id, running: r, session: s, upstream: p.Upstream}
	err = s.start(f)
	if err == nil {
		err = f.run()
	}
	ended = err == nil
	if errors.Is(err, errClientDisconnected) {
		s.cancelIfUnread(f)
		return false, fail.New(fail.Interrupted, fail.Origin{Peer: "client", Step: "deliver"}, "caller_gone", "the client has disconnected")
	}
	return err != nil && s.mayRetry(err), err
}

// cancelIfUnread waits for reconnectGracePeriod, so that the client can reconnect through any box, and
// then cancels the generation if it has no reader. If the box stops meanwhile, the generation is left
// running, because its client may be about to reconnect through another box.
func (s *session) cancelIfUnread(f *forwarder) {
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

// recheckPlace checks, just before the send, that the place may still be used: the box's process may
// have been suspended since the place was granted. It returns the place with the upstream as listed
// now.
func (s *session) recheckPlace(p *placement.Place) (*placement.Place, error) {
	s.deliverer.RefreshViews(s.clientContext)
	u := s.deliverer.view.Upstream(p.Upstream.Name)
	origin := fail.Origin{Peer: "upstream " + p.Upstream.Name, Step: stepCheck}
	if u == nil || !u.AcceptsWork(time.Now()) {
		s.avoid[p.Upstream.Name] = true
		return nil, fail.WithRetryAt(fail.New(fail.NotRun, origin, "leaving", "the upstream is leaving"), time.Now())
	}
	if t := s.deliverer.backoffs.Until(u.Name, time.Now()); !t.IsZero() {
		s.avoid[u.Name] = true
		return nil, fail.WithRetryAt(fail.New(fail.NotRun, origin, string(policy.ReasonBackOff), "the upstream asked for back-off"), t)
	}
	if p.Stale(time.Now()) {
		return nil, fail.WithRetryAt(fail.New(fail.NotRun, origin, "stale_place", "the reserved place has expired"), time.Now())
	}
	return &placement.Place{GrantedAt: p.GrantedAt, Upstream: u}, nil
}

// finish releases the request key if nothing ran, or otherwise records the outcome under it. It returns
// the error for the client.
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
	r.Finish, r.Tokens = finish, s.deliveredTokens
	r.State = requestkey.StateFinished
	if err != nil {
		r.State = requestkey.StateInterrupted
	}
	if err != nil && s.deliveredTokens == 0 {
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

// postponeRetry charges a retry as of now, when it is sent, instead of when it was taken.
func (s *session) postponeRetry() {
	if !s.retryTakenAt.IsZero() {
		s.deliverer.retryBudget.Postpone(s.request.Work.Model, s.retryTakenAt, time.Now())
		s.retryTakenAt = time.Time{}
	}
}

// takeRetry charges a retry after err to the retry budget and reports whether the budget allowed it.
func (s *session) takeRetry(err error) bool {
	d := s.deliverer
	now := time.Now()
	if !reachedUpstream(err) {
		return true
	}
	if d.retryBudget.Take(s.request.Work.Model, now) {
		s.retryTakenAt = now
		return true
	}
	d.metrics.Count(metric.Refusals, "reason", string(policy.ReasonRetryBudget))
	return false
}

// reachedUpstream reports whether an upstream may have received the request that failed with err.
func reachedUpstream(err error) bool {
	return fail.Reason(err) != upstream.ReasonUnreachable && fail.Step(err) != stepCheck
}

// mayRetry reports whether the request may be sent to another upstream after err.
func (s *session) mayRetry(err error) bool {
	if s.deliveredTokens > 0 || s.clientDisconnected {
		return false
	}
	return errorx.IsOfType(err, fail.NotRun) || s.request.Key == ""
}

// clientError returns err with the type that applies in the stage that the request has reached.
func (s *session) clientError(err error) error {
	if err == nil {
		return nil
	}
	return s.stage.correctError(err, s.deliveredTokens)
}

// answerIfRepeated answers the request if its key was used before. It reports whether it was.
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

// answerRepeat answers the request from an earlier claim on its key: with the recorded answer, by
// resuming a running generation, or with an error.
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

// replay sends a recorded answer to the client as a single token and the end.
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

// resume forwards a generation that was started before, from the token with index from on. It fails
// with fail.NotFound if the upstream does not know the generation or it is of another workspace.
func (s *session) resume(name, generation string, from int) error {
	d := s.deliverer
	p := fail.Origin{Peer: "upstream " + name, Step: "resume for client"}
	s.stage = stageSent
	u := d.view.Upstream(name)
	if u == nil {
		return fail.New(fail.NotFound, p, "generation_unknown", "upstream %q is not known", name)
	}
	if !s.request.Work.AllowsHall(u.Spec.Hall) {
		return fail.New(fail.NotFound, p, string(policy.ReasonRegion), "the generation runs outside the regions of the workspace")
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
	s.deliveredTokens = from
	f := &forwarder{generation: generation, running: r, session: s, upstream: u}
	d.metrics.Count(metric.Resumptions, "reason", "client_returned")
	err = f.run()
	ended = err == nil
	if errors.Is(err, errClientDisconnected) {
		s.cancelIfUnread(f)
		return nil
	}
	return s.clientError(err)
}

// resumeWhenStarted forwards a generation whose request key is claimed. Its start may not have reached
// the upstream yet, so fail.NotFound is retried for startGracePeriod.
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

// start sends the request to the upstream. Unless it fails with fail.NotRun, the generation may be
// running from then on.
func (s *session) start(f *forwarder) error {
	q := s.request
	s.stage = stageSent
	x, err := s.deliverer.engines.Start(context.WithoutCancel(s.clientContext), f.upstream.Spec.Address, &upstream.Start{
		ID: f.generation, MaxTokens: q.Work.MaxTokens, Model: q.Work.Model, Prefix: q.Work.Prefix,
		Priority: q.Work.Priority, Prompt: q.Prompt, Workspace: q.Work.Workspace,
	})
	if errorx.IsOfType(err, fail.NotRun) {
		s.stage = stageNotRun
		s.recordRejection(f.upstream, err)
		event.UpstreamFailed.Log(s.deliverer.log, "upstream", f.upstream.Name, "reason", fail.Reason(err))
		return err
	}
	if err != nil {
		// The answer was lost, and the generation may be running. The forwarder tries to resume it.
		event.UpstreamFailed.Log(s.deliverer.log, "upstream", f.upstream.Name, "reason", fail.Reason(err))
		return nil
	}
	s.deliverer.backoffs.RecordSuccess(f.upstream.Name)
	f.stream = x
	return nil
}

// recordRejection records the back-off that an upstream requested when it rejected the request, or a
// rejection without back-off if the upstream is leaving. It records nothing if the upstream found the
// request invalid or could not be reached.
func (s *session) recordRejection(u *resource.Upstream, err error) {
	if t := fail.RetryAt(err); !t.IsZero() {
		s.deliverer.backoffs.RecordBackoff(u, t)
	} else if fail.Reason(err) == upstream.ReasonLeaving {
		s.deliverer.backoffs.RecordRejection(u.Name, time.Now())
	}
}

// claimKey claims the request key, if there is one, for a generation at an upstream. If this request
// already holds the key from an earlier attempt, it updates the claim. If another attempt holds it, it
// answers the request from there and returns errAnswered.
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

// answerFromHolder answers a request whose key was claimed concurrently by another attempt. It returns
// errAnswered on success.
func (s *session) answerFromHolder(c *requestkey.Claim) error {
	err := s.answerRepeat(c)
	if err == nil {
		return errAnswered
	}
	return err
}

// errAnswered means that the request was answered from another attempt with the same key.
var errAnswered = errors.New("answered from another attempt")

func resumeError(p fail.Origin, err error) error {
	if errorx.IsOfType(err, fail.NotFound) {
		return fail.Wrap(fail.NotFound, p, "generation_unknown", err)
	}
	return fail.WithRetryAt(fail.Wrap(fail.Unavailable, p, "resume_failed", err), time.Now().Add(time.Second))
}

// tableError returns the error of a request that cannot run because a call to the platform's table
// failed with err. It is of type fail.NotRun, except that a conflict is returned unchanged.
func tableError(err error) error {
	if err == nil || errorx.IsOfType(err, fail.Conflict) {
		return err
	}
	p := fail.Origin{Peer: "platform", Step: "claim request key"}
	return fail.WithRetryAt(fail.Wrap(fail.NotRun, p, "table_unavailable", err), time.Now().Add(tableRetryDelay))
}

// tableRetryDelay is the retry delay given to clients while the platform's table is unavailable.
const tableRetryDelay = 5 * time.Second
