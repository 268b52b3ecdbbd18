package relay

import (
	"context"
	"errors"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/joomcode/errorx"

	"github.com/linetiller/linetiller/internal/event"
	"github.com/linetiller/linetiller/internal/fail"
	"github.com/linetiller/linetiller/internal/resource"
)

// reasonUnreachable is the reason of a send that never left this box.
const reasonUnreachable = "upstream_unreachable"

// maxWholeBytes bounds an answer that is read to its end before it is passed on;
// a larger one is passed on as it comes.
const maxWholeBytes = 1 << 20

// send sends the request to u and returns an answer that may be passed on: its
// own, and not a refusal to run. It reports whether another upstream may be tried.
func (e *exchange) send(ctx context.Context, u *resource.Upstream, r *Resume) (a *Answer, again bool, err error) {
	x := e.relay
	e.tries++
	e.upstream = u
	o := &Offer{Deadline: e.deadline, Priority: e.priority(), Resume: r, Workspace: e.workspaceName()}
	e.logPlaced(u, r)
	a, err = x.Upstreams.Send(ctx, u, e.request, o)
	now := time.Now()
	if errorx.IsOfType(err, fail.NotRun) {
		e.avoid[u.Name] = true
		x.health.away(u.Name, now)
		event.UpstreamFailed.Log(x.log, "request", e.request.ID, "upstream", u.Name, "reason", fail.Reason(err))
		return nil, true, err
	}
	e.avoid[u.Name] = true
	if err != nil {
		e.mayRun = true
		e.ran++
		x.health.answered(u.Name, e.client.Err() == nil, nil, now)
		event.UpstreamFailed.Log(x.log, "request", e.request.ID, "upstream", u.Name, "reason", fail.Reason(err), "error", err.Error())
		return nil, true, err
	}
	if err := e.judge(u, a); err != nil {
		_ = a.Body.Close()
		return nil, true, err
	}
	return a, false, nil
}

// logPlaced tells where the request goes, how long that took and by which news it
// was decided.
func (e *exchange) logPlaced(u *resource.Upstream, r *Resume) {
	v := e.relay.view.Revisions()
	event.RequestPlaced.Log(e.relay.log, "request", e.request.ID, "route", e.routeName(), "workspace", e.workspaceName(), "upstream", u.Name,
		"hall", u.Spec.Hall, "try", e.tries, "resumed", r != nil, "waited_ms", time.Since(e.request.Arrived).Milliseconds(),
		"left_ms", time.Until(e.deadline).Milliseconds(), "priority", e.priority(), "prompt_tokens", e.request.Prompt, "hint", e.request.Hint,
		"configuration", v[resource.SourceConfiguration], "upstreams", v[resource.SourceUpstreams])
}

// judge takes in what an answer tells, and returns an error where it is not one
// to pass on.
func (e *exchange) judge(u *resource.Upstream, a *Answer) error {
	x, now := e.relay, time.Now()
	p := fail.Place{Peer: "upstream " + u.Name, Step: "send"}
	if a.NotRun {
		x.health.answered(u.Name, false, a.Load, now)
		event.UpstreamRefused.Log(x.log, "request", e.request.ID, "upstream", u.Name, "status", a.Status)
		return fail.WithRetryAt(fail.New(fail.NotRun, p, "upstream_refused", "status %d, not run", a.Status), now.Add(max(a.RetryAfter, refusedPeriod)))
	}
	e.ran++
	e.mayRun = true
	spoilt := a.OtherEcho || (a.Status < http.StatusBadRequest && !a.Signed)
	x.health.answered(u.Name, spoilt || a.Status >= http.StatusInternalServerError, a.Load, now)
	if spoilt {
		event.UpstreamMismatch.Log(x.log, "request", e.request.ID, "upstream", u.Name, "status", a.Status)
		return fail.New(fail.Unknown, p, "answer_crossed", "the answer is not that of the request")
	}
	return nil
}

// deliver passes an answer on that is no stream. It reports whether another
// upstream may be tried.
func (e *exchange) deliver(ctx context.Context, a *Answer) (again bool, err error) {
	p := fail.Place{Peer: "upstream " + e.upstream.Name, Step: "read answer"}
	b, err := readWhole(ctx, a)
	if errors.Is(err, errTooLarge) {
		return false, e.passOn(a, b)
	}
	if err != nil {
		e.relay.health.answered(e.upstream.Name, true, nil, time.Now())
		return true, fail.Wrap(fail.Unknown, p, "answer_cut", err)
	}
	w := &wholeAnswer{*a, b}
	if a.Status >= http.StatusInternalServerError {
		e.fallback = w
		return true, fail.New(fail.Unknown, p, "upstream_failed", "status %d", a.Status)
	}
	return false, e.pass(w)
}

// pass writes a whole answer. A status that promises that nothing ran, from an
// upstream that did not say so, is told as a failure.
func (e *exchange) pass(a *wholeAnswer) error {
	if promises(a.Status) {
		p := fail.Place{Peer: "upstream " + e.upstreamName(), Step: "read answer"}
		return fail.New(fail.Unknown, p, "upstream_failed", "status %d without a word on whether it ran", a.Status)
	}
	copyHeader(e.writer.Header(), a.Header)
	e.writer.Header().Set("Content-Length", strconv.Itoa(len(a.body)))
	e.status = a.Status
	e.writer.WriteHeader(a.Status)
	if _, err := e.writer.Write(a.body); err != nil {
		return fail.Wrap(fail.Interrupted, clientPlace("deliver"), "caller_gone", err)
	}
	return nil
}

// passOn writes an answer as it comes, after the part of it that was read.
func (e *exchange) passOn(a *Answer, read []byte) error {
	if promises(a.Status) {
		return e.pass(&wholeAnswer{Answer: *a})
	}
	copyHeader(e.writer.Header(), a.Header)
	if a.Length >= 0 {
		e.writer.Header().Set("Content-Length", strconv.FormatInt(a.Length, 10))
	}
	e.status = a.Status
	e.writer.WriteHeader(a.Status)
	_, err := e.writer.Write(read)
	if err == nil {
		_, err = io.Copy(e.writer, a.Body)
	}
	if err != nil {
		return fail.Wrap(fail.Interrupted, clientPlace("deliver"), "answer_cut", err)
	}
	return nil
}

// errTooLarge says that an answer is too large to be read to its end first.
var errTooLarge = errors.New("the answer is too large")

// readWhole reads an answer's body. With errTooLarge it returns the part read.
func readWhole(ctx context.Context, a *Answer) ([]byte, error) {
	defer context.AfterFunc(ctx, func() { _ = a.Body.Close() })()
	b, err := io.ReadAll(io.LimitReader(a.Body, maxWholeBytes+1))
	switch {
	case err != nil:
		return nil, err
	case len(b) > maxWholeBytes:
		return b, errTooLarge
	case a.Length >= 0 && int64(len(b)) != a.Length:
		return nil, io.ErrUnexpectedEOF
	}
	return b, nil
}

// promises reports whether a status promises that the request did not run.
func promises(status int) bool {
	switch status {
	case http.StatusServiceUnavailable, http.StatusTooManyRequests, http.StatusRequestTimeout, http.StatusMisdirectedRequest:
		return true
	}
	return false
}

func copyHeader(to, from http.Header) {
	for k, v := range from {
		to[k] = v
	}
}
