package relay

import (
	"context"
	"errors"
	"net/http"
	"time"

	"github.com/joomcode/errorx"

	"github.com/linetiller/linetiller/internal/configuration"
	"github.com/linetiller/linetiller/internal/event"
	"github.com/linetiller/linetiller/internal/fail"
	"github.com/linetiller/linetiller/internal/metric"
	"github.com/linetiller/linetiller/internal/policy"
	"github.com/linetiller/linetiller/internal/resource"
)

// exchange is the state of one request while it is relayed. Only one goroutine uses it.
type exchange struct {
	callerCtx context.Context // cancelled when the caller disconnects
	relay     *Relay
	request   *Request
	writer    http.ResponseWriter

	arrivals           int                  // sends that an upstream may have received
	cachedFingerprints []policy.Fingerprint // nil until they are first needed
	avoid              map[string]bool      // upstreams not to be tried again
	deadline           time.Time
	firstEventDelay    time.Duration   // from the request's arrival to the first event forwarded; 0 until then
	fallback           *bufferedAnswer // a failed answer, forwarded if no other upstream succeeds
	lastEventID        string          // id of the last event that the caller has, "" if it has none
	longestGap         time.Duration   // longest time between two events forwarded
	possibleRuns       int             // number of upstreams that may have run the request, or may run it yet
	retryChargedAt     time.Time       // when the next arrival was charged to the retry budget; zero if it was not
	route              *resource.Route
	service            *resource.Service
	status             int         // of the answer forwarded; 0 until its header is written
	sends              int         // attempts to send the request
	sent               sendAttempt // the last one
	workspace          *resource.Workspace
}

// maxSends bounds how often a request is sent, even if every upstream says that it did
// not run it.
const maxSends = 4

// admit looks up the request's route, workspace and service and sets its deadline. It returns
// an error if the request is refused.
func (e *exchange) admit() error {
	x, q := e.relay, e.request
	if !x.HasConfiguration() {
		return fail.WithRetryAt(fail.New(fail.NotRun, clientOrigin("route"), "configuration_unknown", "no configuration received yet"), time.Now().Add(startRetryDelay))
	}
	e.route = x.view.Route(resource.HostOf(q.Host), q.Path)
	if e.route == nil {
		return e.unknownError(fail.New(fail.NotFound, clientOrigin("route"), "route_unknown", "no route matches %s%s", q.Host, q.Path))
	}
	if e.route.Spec.Stream {
		if err := x.checkStreamFits(expectedTokens(q), q.Arrived); err != nil {
			return err
		}
	}
	if !e.route.Spec.Public && x.view.HasWorkspaces() {
		e.workspace = x.view.WorkspaceByKey(q.BearerKey)
		if e.workspace == nil {
			return e.unknownError(fail.New(fail.Unauthorized, clientOrigin("authorize"), "key_unknown", "the bearer key belongs to no workspace"))
		}
	}
	e.deadline = q.Arrived.Add(e.route.Spec.Timeout.Duration())
	if !q.Deadline.IsZero() && q.Deadline.Before(e.deadline) {
		e.deadline = q.Deadline
	}
	if !e.route.Spec.Stream {
		if err := x.checkRequestFits(e.deadline); err != nil {
			return err
		}
	}
	if err := e.readLastEventID(); err != nil {
		return err
	}
	n := pickService(&e.route.Spec)
	e.service = x.view.Service(n)
	if e.service == nil {
		return fail.WithRetryAt(fail.New(fail.NotRun, clientOrigin("route"), "service_unknown", "service %q is not declared", n), time.Now().Add(startRetryDelay))
	}
	x.retryBudget.RecordRequest(n, time.Now())
	return nil
}

// budgetAttributes returns log attributes with the usage of the service's retry budget.
func (e *exchange) budgetAttributes() []any {
	u := e.relay.RetryUsage(e.service.Name)
	return []any{
		"service", e.service.Name, "retries", u.Retries, "allowed", u.Allowed, "requests", u.Requests, "boxes", u.Boxes,
	}
}

// finalError returns the error for the caller, given that of the last attempt. An error that
// says "not run" becomes an unknown outcome if an earlier attempt may have run the request. If
// there is a fallback answer, finalError writes that to the caller instead.
func (e *exchange) finalError(ctx context.Context, err error) error {
	if err == nil {
		return nil
	}
	if e.fallback != nil && e.status == 0 && e.callerCtx.Err() == nil {
		return e.writeAnswer(e.fallback)
	}
	p := fail.Origin{Peer: fail.Peer(err), Step: fail.Step(err)}
	if e.status == 0 && ctx.Err() != nil && errors.Is(ctx.Err(), context.DeadlineExceeded) {
		if e.possibleRuns > 0 {
			return fail.Wrap(errDeadline, p, "deadline", err)
		}
		return fail.Wrap(fail.NotRun, p, "deadline", err)
	}
	if e.possibleRuns > 0 && errorx.IsOfType(err, fail.NotRun) {
		return fail.Wrap(fail.Unknown, p, fail.Reason(err), err)
	}
	return err
}

// mayRunAgain reports whether the route allows that one more upstream runs the request.
func (e *exchange) mayRunAgain() bool {
	return e.route.Spec.RetryPolicy.Retryable() && e.possibleRuns < e.route.Spec.Attempts
}

// maySendAgain reports whether the request may still be sent to an upstream.
func (e *exchange) maySendAgain() bool {
	return e.callerCtx.Err() == nil && e.sends < maxSends && time.Now().Before(e.deadline) && e.quarantineError() == nil
}

// model returns the name under which the engines that run the request's model are listed.
func (e *exchange) model() string {
	return e.service.Name + "/" + e.request.Model
}

// priority returns the request's priority. A workspace's priority overrides the route's.
func (e *exchange) priority() int {
	if e.workspace != nil && e.workspace.HasPriority {
		return e.workspace.Priority
	}
	return e.route.Priority
}

// readLastEventID reads the id of the event after which the caller wants its stream to continue.
// On routes whose streams may not be resumed it ignores the id, and the caller gets the stream
// from the beginning.
func (e *exchange) readLastEventID() error {
	id := e.request.LastEventID
	if id == "" || e.route.Spec.RetryPolicy != resource.RetryResume {
		return nil
	}
	if _, ok := eventNumber(id); !ok {
		return fail.New(fail.BadInput, clientOrigin("resume"), "last_event_invalid", "the last event id is not a number: %q", id)
	}
	e.lastEventID = id
	return nil
}

// recordOverBudget records in the metrics and the log that the retry budget does not allow a retry, for which reason and
// peer are the cause.
func (e *exchange) recordOverBudget(reason, peer string) {
	e.relay.metrics.Count(metric.Refusals, "reason", string(policy.ReasonRetryBudget))
	event.RetryOverBudget.Log(e.relay.log, append(e.budgetAttributes(), "request", e.request.ID, "reason", reason, "peer", peer, "tries", e.sends)...)
}

// recordRetry records in the metrics and the log that the request is sent again, for which reason and peer are the cause.
func (e *exchange) recordRetry(reason, peer string) {
	e.relay.metrics.Count(metric.Retries, "reason", reason)
	event.RequestRetried.Log(e.relay.log, append(e.budgetAttributes(), "request", e.request.ID, "reason", reason, "peer", peer, "tries", e.sends)...)
}

func (e *exchange) routeName() string {
	if e.route == nil {
		return ""
	}
	return e.route.Name
}

// run relays the request, with retries, until an answer is written to the caller. It returns an
// error if none was, or only a part of one.
func (e *exchange) run() error {
	if err := e.admit(); err != nil {
		return err
	}
	ctx, cancel := context.WithDeadline(e.callerCtx, e.deadline)
	defer cancel()
	defer context.AfterFunc(e.relay.ctx, cancel)()
	e.avoid = make(map[string]bool)
	for {
		retry, err := e.attempt(ctx)
		if err == nil || !retry || !e.shouldRetry(err) {
			return e.finalError(ctx, err)
		}
	}
}

func (e *exchange) serviceOrigin() fail.Origin {
	return fail.Origin{Peer: "service " + e.service.Name, Step: "choose"}
}

// shouldRetry reports whether to try another upstream after err. It charges a retry to the service's
// retry budget, unless no upstream has received the request since the last one was charged.
func (e *exchange) shouldRetry(err error) bool {
	if !e.maySendAgain() || !errorx.IsOfType(err, fail.NotRun) && !e.mayRunAgain() {
		return false
	}
	if !e.takeRetry() {
		e.recordOverBudget(fail.Reason(err), fail.Peer(err))
		return false
	}
	e.recordRetry(fail.Reason(err), fail.Peer(err))
	return true
}

// takeRetry charges the next arrival to the retry budget and reports whether the budget allowed it.
func (e *exchange) takeRetry() bool {
	if e.arrivals == 0 || !e.retryChargedAt.IsZero() {
		return true
	}
	now := time.Now()
	if !e.relay.retryBudget.Take(e.service.Name, now) {
		return false
	}
	e.retryChargedAt = now
	return true
}

// unknownError returns the error for a request whose route or key is unknown. While the view is stale
// the error is one after which the caller may retry: the box may not have received the route or key
// yet.
func (e *exchange) unknownError(err error) error {
	age := e.relay.ViewAge()
	if age < configuration.ViewStaleAfter {
		return err
	}
	p := fail.Origin{Peer: fail.Peer(err), Step: fail.Step(err)}
	return fail.WithRetryAt(fail.New(fail.NotRun, p, "view_stale", "%s, but the view was last confirmed as current %s ago", fail.Reason(err), age.Round(time.Second)), time.Now().Add(staleViewRetryDelay))
}

func (e *exchange) upstreamName() string {
	if e.sent.upstream == nil {
		return ""
	}
	return e.sent.upstream.Name
}

// upstreams returns the upstreams of the request's service that run its model, in the halls in which
// it may be processed.
func (e *exchange) upstreams() []*resource.Upstream {
	if e.service.Spec.Engine != nil {
		return e.inAllowedHalls(e.relay.view.UpstreamsOfModel(e.model()))
	}
	return e.inAllowedHalls(e.relay.view.UpstreamsOfService(e.service.Name))
}

// work describes the generation for the owners of engines, which place it.
func (e *exchange) work() *policy.Work {
	q := e.request
	w := &policy.Work{
		Arrived: q.Arrived, Deadline: e.deadline, Halls: e.allowedHalls(), Hint: q.Hint, ID: q.ID, Kind: e.route.Name, MaxTokens: max(1, q.MaxTokens),
		Model: e.model(), Prefix: q.PrefixKey, PrefixTokens: q.PrefixTokens, Priority: e.priority(), Prompt: q.PromptTokens, RoutePriority: e.route.Priority,
	}
	if p := e.route.Spec.FirstEventTimeout.Duration(); p > 0 && e.status == 0 {
		w.FirstBy = q.Arrived.Add(p)
	}
	if d := e.route.Spec.LatencyTarget.Duration(); d > 0 && e.status == 0 {
		w.TargetAt = q.Arrived.Add(d)
	}
	if e.workspace != nil {
		w.Weight, w.Workspace = e.workspace.Spec.Weight, e.workspace.Name
	}
	return w
}

func (e *exchange) workspaceName() string {
	if e.workspace == nil {
		return ""
	}
	return e.workspace.Name
}

// expectedTokens returns the expected number of tokens in the answer: the caller's hint, up
// to the maximum, or the maximum if there is no hint.
func expectedTokens(q *Request) int {
	if q.Hint > 0 {
		return min(q.Hint, max(1, q.MaxTokens))
	}
	return q.MaxTokens
}
