package relay

import (
	"context"
	"errors"
	"net/http"
	"time"

	"github.com/joomcode/errorx"

	"github.com/linetiller/linetiller/internal/event"
	"github.com/linetiller/linetiller/internal/fail"
	"github.com/linetiller/linetiller/internal/memory"
	"github.com/linetiller/linetiller/internal/metric"
	"github.com/linetiller/linetiller/internal/policy"
	"github.com/linetiller/linetiller/internal/resource"
	"github.com/linetiller/linetiller/internal/revision"
)

// Notices that an upstream can give in an answer, as metrics name them.
const (
	noticeLeaving      = "leaving"       // it is about to shut down
	noticeLimit        = "limit"         // the request rate that it accepts from all boxes together
	noticeLimitInvalid = "limit_invalid" // a rate limit that cannot be parsed or used
	noticeLoadInvalid  = "load_invalid"  // a load that cannot be parsed
	noticeBackoff      = "rest"          // it rejected the request and asked this box to back off
)

// fromAnswer names an upstream's own answer as the source of a change, in log lines.
const fromAnswer = "its answer"

// sendAttempt is one attempt to send the request to an upstream.
type sendAttempt struct {
	at            time.Time
	chargedAt     time.Time // when it was charged to the retry budget; zero if it was not
	partsHarmless bool      // the run has shown that the parts of the prompt are harmless
	upstream      *resource.Upstream
}

// beginSend records that the request is sent to u, and returns the parameters. The upstream counts as one that
// may run the request until it is known not to have.
func (e *exchange) beginSend(u *resource.Upstream, r *Resume) *SendOptions {
	e.sends++
	e.avoid[u.Name] = true
	e.sent = sendAttempt{at: time.Now(), upstream: u}
	e.logPlaced(u, r)
	e.chargeArrival()
	e.sent.chargedAt, e.retryChargedAt = e.retryChargedAt, time.Time{}
	e.arrivals++
	e.possibleRuns++
	return &SendOptions{Deadline: e.deadline, LastEventID: e.lastEventID, Priority: e.priority(), Resume: r, Workspace: e.workspaceName()}
}

// chargeArrival charges an arrival beyond the first to the retry budget as of now. If shouldRetry has
// not charged it, it is the resumption of a moved run, which the budget does not stop: the run would be
// lost.
func (e *exchange) chargeArrival() {
	if e.arrivals == 0 {
		return
	}
	b, now := e.relay.retryBudget, time.Now()
	if e.retryChargedAt.IsZero() {
		b.RecordRetry(e.service.Name, now)
	} else {
		b.Postpone(e.service.Name, e.retryChargedAt, now)
	}
	e.retryChargedAt = now
}

// checkAnswer records what an answer says about its upstream, and returns an error if it must not be
// forwarded.
func (e *exchange) checkAnswer(u *resource.Upstream, a *Answer) error {
	x, now := e.relay, time.Now()
	p := fail.Origin{Peer: "upstream " + u.Name, Step: "send"}
	if a.Leaving {
		e.recordLeaving(u)
	}
	x.observeLimit(u, a)
	if a.LoadError != nil {
		x.metrics.Count(metric.UpstreamNotices, "word", noticeLoadInvalid)
	}
	if a.Backoff > 0 {
		x.metrics.Count(metric.UpstreamNotices, "word", noticeBackoff)
		x.backoffs.RecordBackoff(u, now.Add(a.Backoff))
	}
	if a.NotRun {
		e.possibleRuns--
		// An upstream that rejects every request is never busy, so that least-loaded selection would
		// send it the most. Unless it asks for back-off, its rejections therefore count as failures.
		rejectsAll := impliesNotRun(a.Status) && a.Backoff == 0 // with any other status the request itself is at fault
		x.health.RecordAnswer(u.Name, rejectsAll, a.Load, now)
		if rejectsAll && u.Engine() != nil {
			x.backoffs.RecordRejection(u.Name, now) // otherwise its owner would take it for idle
		}
		event.UpstreamRefused.Log(x.log, "request", e.request.ID, "upstream", u.Name, "status", a.Status, "rest_ms", a.Backoff.Milliseconds())
		return fail.WithRetryAt(fail.New(fail.NotRun, p, "upstream_refused", "status %d, request not run", a.Status), e.retryAt(now))
	}
	x.backoffs.RecordSuccess(u.Name)
	mismatch := a.EchoMismatch || (a.Status < http.StatusBadRequest && !a.Stamped)
	x.health.RecordAnswer(u.Name, mismatch || a.Status >= http.StatusInternalServerError, a.Load, now)
	if mismatch {
		event.UpstreamFrameMismatch.Log(x.log, "request", e.request.ID, "upstream", u.Name, "status", a.Status)
		return fail.New(fail.Unknown, p, "answer_crossed", "the answer belongs to another request or has no server stamp")
	}
	return nil
}

// endSend records the outcome of an attempt: the answer a, or the error err. It returns the answer unless that
// must not be forwarded.
func (e *exchange) endSend(ctx context.Context, c *sendAttempt, a *Answer, err error) (*Answer, error) {
	x, u, now := e.relay, c.upstream, time.Now()
	if err == nil {
		if err = e.checkAnswer(u, a); err == nil {
			err = e.reserveHeader(u, a)
		}
		if err != nil {
			_ = a.Body.Close()
			return nil, err
		}
		return a, nil
	}
	if errorx.IsOfType(err, fail.NotRun) {
		e.arrivals--
		e.possibleRuns--
		e.retryChargedAt = c.chargedAt
		x.health.RecordUnreachable(u.Name, now)
		event.UpstreamFailed.Log(x.log, "request", e.request.ID, "upstream", u.Name, "reason", fail.Reason(err), "error", err.Error())
		return nil, err
	}
	if errors.Is(context.Cause(ctx), errUpstreamHeard) {
		return nil, err // the box itself has ended the attempt
	}
	if e.callerCtx.Err() == nil { // otherwise the error says nothing about the upstream
		x.health.RecordAnswer(u.Name, true, nil, now)
	}
	if ctx.Err() == nil {
		e.checkCrash(c, 0)
	}
	e.checkCrashAfterDisconnect(c)
	event.UpstreamFailed.Log(x.log, "request", e.request.ID, "upstream", u.Name, "reason", fail.Reason(err), "error", err.Error())
	return nil, err
}

// logPlaced logs to which upstream the request is sent, how long the choice took and
// on which revisions it was based.
func (e *exchange) logPlaced(u *resource.Upstream, r *Resume) {
	v := e.relay.view.Revisions()
	if e.sends == 1 {
		e.relay.placeWait.Update(time.Since(e.request.Arrived).Seconds())
	}
	l := []any{
		"request", e.request.ID, "route", e.routeName(), "workspace", e.workspaceName(), "upstream", u.Name,
		"hall", u.Spec.Hall, "try", e.sends, "resumed", r != nil, "waited_ms", time.Since(e.request.Arrived).Milliseconds(),
		"left_ms", time.Until(e.deadline).Milliseconds(), "priority", e.priority(), "prompt_tokens", e.request.PromptTokens, "hint", e.request.Hint,
		"configuration", v[resource.SourceConfiguration], "upstreams", revision.Version(v[resource.SourceUpstreams]),
	}
	if e.lastEventID != "" {
		l = append(l, "last_event", e.lastEventID)
	}
	event.RequestPlaced.Log(e.relay.log, l...)
}

// recordLeaving records the shutdown notice in an answer of an upstream, so that the upstream gets
// no new requests. While the store is unavailable, there may be no other notice.
func (e *exchange) recordLeaving(u *resource.Upstream) {
	x := e.relay
	x.metrics.Count(metric.UpstreamNotices, "word", noticeLeaving)
	v := x.view.Upstream(u.Name)
	event.LeavingAnswerReceived.Log(x.log, "request", e.request.ID, "upstream", u.Name, "known", v == nil || v.IsLeaving())
	x.RecordLeaving(u)
}

// recordSilence records that u sent no event of the stream in time, after the given number of events. It may
// be called by any goroutine.
func (e *exchange) recordSilence(u *resource.Upstream, events int) {
	awaited := "first"
	if events > 0 {
		awaited = "next"
	}
	e.relay.metrics.Count(metric.UpstreamSilences, "event", awaited)
	event.UpstreamSilent.Log(e.relay.log, "request", e.request.ID, "upstream", u.Name, "events", events)
}

// reserveHeader reserves the memory for the header of an answer, or returns an error if there is none.
func (e *exchange) reserveHeader(u *resource.Upstream, a *Answer) error {
	if err := e.request.Memory.GrowAnswer(0, memory.HeaderBytes(a.Header)); err != nil {
		return fail.Wrap(fail.Unknown, fail.Origin{Peer: "upstream " + u.Name, Step: "read header"}, string(policy.ReasonMemory), err)
	}
	return nil
}

// retryAt returns when a caller whose request an upstream rejected may retry: after
// refusedRetryDelay, or when the first back-off ends if all upstreams have asked for back-off until
// later.
func (e *exchange) retryAt(now time.Time) time.Time {
	t := now.Add(refusedRetryDelay)
	if at := fail.RetryAt(e.relay.backoffs.AllBackingOffError(e.upstreams(), e.serviceOrigin(), now)); at.After(t) {
		return at
	}
	return t
}

// send sends the request to u. An answer that belongs to another request, or says that the request was not
// run, is returned as an error. Another upstream may be tried after an error.
func (e *exchange) send(ctx context.Context, u *resource.Upstream) (*Answer, error) {
	o := e.beginSend(u, nil)
	a, err := e.relay.Upstreams.Send(ctx, u, e.request, o)
	return e.endSend(ctx, &e.sent, a, err)
}
