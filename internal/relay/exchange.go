package relay

import (
	"context"
	"errors"
	"math"
	"net/http"
	"strconv"
	"time"

	"github.com/joomcode/errorx"

	"github.com/linetiller/linetiller/internal/event"
	"github.com/linetiller/linetiller/internal/fail"
	"github.com/linetiller/linetiller/internal/metric"
	"github.com/linetiller/linetiller/internal/placement"
	"github.com/linetiller/linetiller/internal/policy"
	"github.com/linetiller/linetiller/internal/resource"
)

// exchange is one request on its way. It is used by one goroutine.
type exchange struct {
	client  context.Context // ends when the caller has gone
	relay   *Relay
	request *Request
	writer  http.ResponseWriter

	avoid     map[string]bool // upstreams not to be tried again
	deadline  time.Time
	fallback  *wholeAnswer // an upstream's failure, to be passed on where no other upstream does better
	mayRun    bool         // something was sent that may have run
	ran       int          // upstreams that may have run it
	route     *resource.Route
	service   *resource.Service
	status    int // of the answer passed on
	tries     int // sends
	upstream  *resource.Upstream
	workspace *resource.Workspace
}

// wholeAnswer is an answer that was read to its end.
type wholeAnswer struct {
	Answer
	body []byte
}

// triesMost bounds the upstreams that are tried while each says that it did not
// run the request.
const triesMost = 4

func (e *exchange) run() error {
	if err := e.admit(); err != nil {
		return err
	}
	ctx, cancel := context.WithDeadline(e.client, e.deadline)
	defer cancel()
	defer context.AfterFunc(e.relay.ctx, cancel)()
	e.avoid = make(map[string]bool)
	for {
		again, err := e.attempt(ctx)
		if err == nil || !again || !e.tryAgain(err) {
			return e.outcome(ctx, err)
		}
	}
}

// admit finds the request's route, workspace and service.
func (e *exchange) admit() error {
	x, q := e.relay, e.request
	if !x.Known() {
		return fail.WithRetryAt(fail.New(fail.NotRun, clientPlace("route"), "configuration_unknown", "no configuration is known yet"), time.Now().Add(startPeriod))
	}
	e.route = x.view.Route(resource.HostOf(q.Host), q.Path)
	if e.route == nil {
		return fail.New(fail.NotFound, clientPlace("route"), "route_unknown", "no route leads from %s%s", q.Host, q.Path)
	}
	if !e.route.Spec.Public && x.view.HasWorkspaces() {
		e.workspace = x.view.WorkspaceByKey(q.Key)
		if e.workspace == nil {
			return fail.New(fail.Unauthorized, clientPlace("authorize"), "key_unknown", "the bearer key opens no workspace")
		}
	}
	e.deadline = q.Arrived.Add(e.route.Spec.Timeout.Duration())
	if !q.Deadline.IsZero() && q.Deadline.Before(e.deadline) {
		e.deadline = q.Deadline
	}
	n := serviceOf(&e.route.Spec)
	e.service = x.view.Service(n)
	if e.service == nil {
		return fail.WithRetryAt(fail.New(fail.NotRun, clientPlace("route"), "service_unknown", "service %q is not declared", n), time.Now().Add(startPeriod))
	}
	x.budget.request(n, time.Now())
	return nil
}

// attempt sends the request to one upstream and passes its answer on. It reports
// whether another upstream may be tried.
func (e *exchange) attempt(ctx context.Context) (again bool, err error) {
	if e.service.Spec.Engine != nil {
		return e.attemptEngine(ctx)
	}
	now := time.Now()
	l := e.relay.view.Upstreams(func(u *resource.Upstream) bool { return u.Spec.Service == e.service.Name && u.Takes(now) })
	u := e.relay.health.choose(l, e.avoid, now)
	if u == nil {
		return false, fail.WithRetryAt(fail.New(fail.NotRun, e.servicePlace(), string(policy.ReasonNoUpstream), "no upstream of %q takes new work", e.service.Name), now.Add(refusedPeriod))
	}
	defer e.relay.health.begin(u.Name)()
	a, again, err := e.send(ctx, u, nil)
	if err != nil {
		return again, err
	}
	defer func() { _ = a.Body.Close() }()
	if e.route.Spec.Stream {
		s := newSession(e, u, nil)
		defer s.close()
		return false, s.run(ctx, a)
	}
	return e.deliver(ctx, a)
}

// attemptEngine sends a generation to an engine that has a place for it.
func (e *exchange) attemptEngine(ctx context.Context) (again bool, err error) {
	x := e.relay
	w := e.work()
	p, err := x.Place(ctx, w, e.avoid)
	if err != nil {
		return false, err
	}
	r := x.tracker.Start(w, p.Upstream.Name)
	s := newSession(e, p.Upstream, r)
	defer s.close()
	u, err := e.check(ctx, p)
	if err != nil {
		return true, err
	}
	a, again, err := e.send(ctx, u, nil)
	if err != nil {
		return again, err
	}
	defer func() { _ = a.Body.Close() }()
	if !e.route.Spec.Stream {
		return e.deliver(ctx, a)
	}
	return false, s.run(ctx, a)
}

// check makes sure, just before the send, that the place may still be used: the
// box may have been paused since it was given.
func (e *exchange) check(ctx context.Context, p *placement.Place) (*resource.Upstream, error) {
	e.relay.Fresh(ctx)
	now := time.Now()
	place := fail.Place{Peer: "upstream " + p.Upstream.Name, Step: "check before the send"}
	u := e.relay.view.Upstream(p.Upstream.Name)
	if u == nil || !u.Takes(now) {
		e.avoid[p.Upstream.Name] = true
		return nil, fail.WithRetryAt(fail.New(fail.NotRun, place, string(policy.ReasonLeaving), "the upstream is leaving"), now)
	}
	if p.Stale(now) {
		return nil, fail.WithRetryAt(fail.New(fail.NotRun, place, "stale_place", "the place was given too long ago"), now)
	}
	return u, nil
}

// fail writes the final answer of a request that failed.
func (e *exchange) fail(err error) {
	if e.client.Err() != nil || e.status != 0 {
		// The caller has gone, or it has a part of an answer, which must not look whole.
		panic(http.ErrAbortHandler)
	}
	h := e.writer.Header()
	if t := fail.RetryAt(err); !t.IsZero() {
		h.Set("Retry-After", retryAfter(time.Until(t)))
	}
	h.Set("Content-Type", "text/plain; charset=utf-8")
	e.writer.WriteHeader(statusOf(err))
	_, _ = e.writer.Write([]byte(fail.Reason(err) + "\n"))
}

// outcome makes sure that what the caller is told is true: nothing is called not
// run once something may have run.
func (e *exchange) outcome(ctx context.Context, err error) error {
	if err == nil {
		return nil
	}
	if e.fallback != nil && e.client.Err() == nil {
		return e.pass(e.fallback)
	}
	p := fail.Place{Peer: fail.Peer(err), Step: fail.Step(err)}
	if e.status == 0 && ctx.Err() != nil && errors.Is(ctx.Err(), context.DeadlineExceeded) {
		if e.mayRun {
			return fail.Wrap(errDeadline, p, "deadline", err)
		}
		return fail.Wrap(fail.NotRun, p, "deadline", err)
	}
	if e.mayRun && errorx.IsOfType(err, fail.NotRun) {
		return fail.Wrap(fail.Unknown, p, fail.Reason(err), err)
	}
	return err
}

// tryAgain reports whether another upstream is to be tried after err.
func (e *exchange) tryAgain(err error) bool {
	x := e.relay
	if e.client.Err() != nil || e.tries >= triesMost || !time.Now().Before(e.deadline) {
		return false
	}
	repeatable := e.route.Spec.Repeat == resource.RepeatSafely
	if !errorx.IsOfType(err, fail.NotRun) && (!repeatable || e.ran >= e.route.Spec.Attempts) {
		return false
	}
	if reached(err) && !x.budget.take(e.service.Name, time.Now()) {
		x.metrics.Count(metric.Refusals, "reason", string(policy.ReasonRetryBudget))
		return false
	}
	x.metrics.Count(metric.Retries, "reason", fail.Reason(err))
	event.RequestRetried.Log(x.log, "request", e.request.ID, "reason", fail.Reason(err), "peer", fail.Peer(err), "tries", e.tries)
	return true
}

// work describes the generation to the owners of engines.
func (e *exchange) work() *policy.Work {
	q := e.request
	w := &policy.Work{
		Arrived: q.Arrived, Deadline: e.deadline, Hint: q.Hint, ID: q.ID, Kind: e.route.Name, MaxTokens: max(1, q.MaxTokens),
		Model: e.service.Name + "/" + q.Model, Prefix: q.Prefix, Priority: e.priority(), Prompt: q.Prompt,
	}
	if t := e.route.Spec.Target.Duration(); t > 0 {
		w.FirstBy = q.Arrived.Add(t)
	}
	if e.workspace != nil {
		w.Weight, w.Workspace = e.workspace.Spec.Weight, e.workspace.Name
	}
	return w
}

// priority returns the request's priority: its workspace's goes before its route's.
func (e *exchange) priority() int {
	if e.workspace != nil && e.workspace.Ranked {
		return e.workspace.Priority
	}
	return e.route.Priority
}

func (e *exchange) routeName() string {
	if e.route == nil {
		return ""
	}
	return e.route.Name
}

func (e *exchange) servicePlace() fail.Place {
	return fail.Place{Peer: "service " + e.service.Name, Step: "choose"}
}

func (e *exchange) upstreamName() string {
	if e.upstream == nil {
		return ""
	}
	return e.upstream.Name
}

func (e *exchange) workspaceName() string {
	if e.workspace == nil {
		return ""
	}
	return e.workspace.Name
}

// errDeadline says that the deadline passed while an upstream may have been at work.
var errDeadline = fail.Unknown.NewSubtype("deadline")

// reached reports whether the upstream that err came from got the request.
func reached(err error) bool {
	return fail.Reason(err) != reasonUnreachable && fail.Step(err) != "check before the send"
}

// retryAfter returns a time to come back in, in seconds.
func retryAfter(d time.Duration) string {
	s := math.Max(0, math.Ceil(d.Seconds()*100)/100)
	return strconv.FormatFloat(s, 'f', -1, 64)
}

func statusOf(err error) int {
	switch {
	case errorx.IsOfType(err, fail.NotRun), errorx.IsOfType(err, fail.Unavailable):
		return http.StatusServiceUnavailable
	case errorx.IsOfType(err, fail.NotFound):
		return http.StatusNotFound
	case errorx.IsOfType(err, fail.Unauthorized):
		return http.StatusUnauthorized
	case errorx.IsOfType(err, fail.BadInput):
		return http.StatusBadRequest
	case errorx.IsOfType(err, errDeadline):
		return http.StatusGatewayTimeout
	}
	return http.StatusBadGateway
}
