// Package service routes calls to the upstreams of plain services. A call that must not be repeated
// needs a request key, under which it runs at most once.
package service

import (
	"bytes"
	"cmp"
	"context"
	"crypto/rand"
	"errors"
	"net/http"
	"net/url"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/joomcode/errorx"

	"github.com/linetiller/linetiller/internal/budget"
	"github.com/linetiller/linetiller/internal/fail"
	"github.com/linetiller/linetiller/internal/health"
	"github.com/linetiller/linetiller/internal/memory"
	"github.com/linetiller/linetiller/internal/metric"
	"github.com/linetiller/linetiller/internal/policy"
	"github.com/linetiller/linetiller/internal/requestkey"
	"github.com/linetiller/linetiller/internal/resource"
	"github.com/linetiller/linetiller/internal/upstream"
)

// Call is one call to a plain service.
type Call struct {
	Body        []byte
	Deadline    time.Time
	Header      http.Header
	Key         string              // the request key, or ""
	Memory      *memory.Reservation // what the call holds, to which its answer is added; nil if that is not counted
	Method      string
	Path        string   // what follows /services/NAME, with the query
	Halls       []string // the only data halls in which it may run; nil stands for all
	Fingerprint string   // hash of the request; a key may only be used again with the same one
	Service     string
	Workspace   string
}

// Answer is a service's answer.
type Answer struct {
	Body        []byte
	ContentType string
	Repeated    bool // whether it is the recorded answer to an earlier call with the same key
	Status      int
}

// Router sends calls to the upstreams of a service. It is safe for concurrent use. Close waits for the calls in
// progress.
type Router struct {
	// Do sends one request to an upstream. It must be set before the first call.
	Do func(r *http.Request) (*http.Response, error)
	// Backoffs records the back-offs that upstreams have requested. It may be shared with other
	// senders of this box.
	Backoffs *health.Backoffs
	// RetryBudget is the budget that retries are charged to. It may be shared with other senders of
	// the box. NewRouter sets a new one.
	RetryBudget *budget.Budget
	// Unreachable returns those of the upstreams to which no path is known to lead.
	// NewRouter sets one that returns none.
	Unreachable func(l []*resource.Upstream) []*resource.Upstream

	cancel  context.CancelFunc
	ctx     context.Context // cancelled by Abort
	calls   sync.WaitGroup  // calls in progress
	keys    *requestkey.Keys
	metrics *metric.Set
	view    *resource.View

	mutex      sync.Mutex // guards the fields below
	callCount  int        // calls in progress
	closing    bool
	inProgress map[string]int // by upstream: requests in progress
}

const (
	maxAnswerBytes = 8 << 20
	maxTries       = 3
	// tableRetryDelay is the delay after which callers may retry while request keys cannot be
	// claimed. It also bounds the time to record the outcome of a call.
	tableRetryDelay = 5 * time.Second
	// noUpstreamRetryDelay is the delay after which callers may retry while no upstream of their
	// regions takes new work.
	noUpstreamRetryDelay = time.Second
)

// forwardedHeaders are the request headers that are passed on to a service.
var forwardedHeaders = []string{"Accept", "Content-Type", "Accept-Language"}

// NewRouter returns a router for the services in v.
func NewRouter(v *resource.View, k *requestkey.Keys, m *metric.Set) *Router {
	ctx, cancel := context.WithCancel(context.Background())
	return &Router{cancel: cancel, ctx: ctx, inProgress: make(map[string]int), keys: k, metrics: m, Backoffs: health.NewBackoffs(v), RetryBudget: budget.NewDefault(time.Now()), Unreachable: func([]*resource.Upstream) []*resource.Upstream { return nil }, view: v}
}

// Abort cancels the calls in progress and waits until they have ended.
func (r *Router) Abort() error {
	r.cancel()
	return r.Close()
}

// Call sends c to an upstream of its service and returns the answer, within the deadline of c.
func (r *Router) Call(ctx context.Context, c *Call) (*Answer, error) {
	if err := r.begin(c); err != nil {
		return nil, err
	}
	defer r.end()
	ctx, cancel := context.WithDeadline(ctx, c.Deadline)
	defer cancel()
	defer context.AfterFunc(r.ctx, cancel)()
	all := r.upstreams(c.Service)
	u := inHalls(all, c.Halls)
	if len(u) == 0 && len(all) > 0 {
		return nil, fail.WithRetryAt(fail.New(fail.NotRun, r.origin(c), string(policy.ReasonRegion), "no upstream of %q in the regions of the workspace takes new work", c.Service), time.Now().Add(noUpstreamRetryDelay))
	}
	if len(u) == 0 {
		return nil, fail.New(fail.NotFound, r.origin(c), "service_unknown", "no upstream serves %q", c.Service)
	}
	r.RetryBudget.RecordRequest(c.Service, time.Now())
	if repeatable(c.Method, u[0]) {
		return r.callRepeatable(ctx, c, u)
	}
	if c.Key == "" {
		return nil, fail.New(fail.BadInput, r.origin(c), "key_missing", "%s on %q may not be repeated and needs an Idempotency-Key", c.Method, c.Service)
	}
	return r.callOnce(ctx, c, u)
}

// Close refuses new calls and waits until those in progress have ended.
func (r *Router) Close() error {
	r.mutex.Lock()
	r.closing = true
	r.mutex.Unlock()
	r.calls.Wait()
	return nil
}

// InProgress returns the number of calls in progress.
func (r *Router) InProgress() int {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	return r.callCount
}

// answerFromRecord returns the recorded answer to an earlier call with the same key, or an error if
// the earlier call was a different one or has no recorded answer.
func (r *Router) answerFromRecord(ctx context.Context, c *Call, k *requestkey.Claim) (*Answer, error) {
	if k.Record.Fingerprint != c.Fingerprint {
		return nil, fail.New(fail.Conflict, r.origin(c), "key_reused", "the request key belongs to another request")
	}
	if k.Record.State != requestkey.StateFinished {
		return nil, fail.New(fail.Unknown, r.origin(c), "outcome_unknown", "an earlier call with this key has no recorded answer")
	}
	b, err := r.keys.Answer(ctx, &k.Record)
	if err != nil {
		return nil, tableError(err)
	}
	return &Answer{Body: []byte(b), ContentType: k.Record.ContentType, Repeated: true, Status: k.Record.Status}, nil
}

// begin counts a call as in progress. It returns an error if the router is closing.
func (r *Router) begin(c *Call) error {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	if r.closing {
		return fail.WithRetryAt(fail.New(fail.NotRun, r.origin(c), "box_leaving", "this box is leaving"), time.Now())
	}
	r.callCount++
	r.calls.Add(1)
	return nil
}

// callOnce runs a call that must not be repeated: it claims the request key, sends the call once and
// records the outcome. The key is released only if the call certainly did not run.
func (r *Router) callOnce(ctx context.Context, c *Call, u []*resource.Upstream) (*Answer, error) {
	x := r.pick(u, nil)
	if x == nil {
		return nil, r.noUpstreamError(c, u)
	}
	q := requestkey.Record{Fingerprint: c.Fingerprint, State: requestkey.StateRunning, AttemptID: rand.Text(), Upstream: x.Name}
	k, ours, err := r.keys.Insert(ctx, requestkey.RowKey(c.Workspace, c.Key), q)
	if err != nil {
		return nil, tableError(err)
	}
	if !ours {
		return r.answerFromRecord(ctx, c, k)
	}
	a, err := r.send(ctx, c, x)
	if errorx.IsOfType(err, fail.NotRun) {
		_ = r.keys.Release(context.WithoutCancel(ctx), k)
		return nil, err
	}
	r.record(context.WithoutCancel(ctx), k, q, a, err)
	return a, err
}

// callRepeatable runs a call that may be repeated, with a different upstream for each try. Retries are
// limited by maxTries and by the retry budget.
func (r *Router) callRepeatable(ctx context.Context, c *Call, u []*resource.Upstream) (*Answer, error) {
	var lastErr error
	avoid := make(map[string]bool)
	for try := 1; ; try++ {
		x := r.pick(u, avoid)
		if x == nil {
			return nil, cmp.Or(lastErr, r.noUpstreamError(c, u))
		}
		a, err := r.send(ctx, c, x)
		if err == nil {
			return a, nil
		}
		lastErr = err
		avoid[x.Name] = true
		if try >= maxTries || len(avoid) == len(u) || ctx.Err() != nil {
			return nil, err
		}
		if fail.Reason(err) != upstream.ReasonUnreachable && !r.RetryBudget.Take(c.Service, time.Now()) {
			r.metrics.Count(metric.Refusals, "reason", string(policy.ReasonRetryBudget))
			return nil, err
		}
		r.metrics.Count(metric.Retries, "reason", fail.Reason(err))
	}
}

// end counts a call as no longer in progress.
func (r *Router) end() {
	r.mutex.Lock()
	r.callCount--
	r.mutex.Unlock()
	r.calls.Done()
}

// noUpstreamError returns the error for a call that was sent nowhere because no upstream was left to
// choose.
func (r *Router) noUpstreamError(c *Call, u []*resource.Upstream) error {
	if err := r.Backoffs.AllBackingOffError(u, r.origin(c), time.Now()); err != nil {
		return err
	}
	if err := health.AllUnreachableError(u, nil, health.AvoidUnreachable(r.Unreachable(u), nil), r.origin(c), time.Now()); err != nil {
		return err
	}
	return fail.WithRetryAt(fail.New(fail.NotRun, r.origin(c), string(policy.ReasonBackOff), "all upstreams of %q are backing off", c.Service), time.Now())
}

func (r *Router) origin(c *Call) fail.Origin {
	return fail.Origin{Peer: "service " + c.Service, Step: "call"}
}

// pick returns the upstream with the fewest calls in progress that is neither unreachable nor backing off
// nor in avoid, or nil if there is none.
func (r *Router) pick(u []*resource.Upstream, avoid map[string]bool) *resource.Upstream {
	avoid = r.Backoffs.Avoid(u, health.AvoidUnreachable(r.Unreachable(u), avoid), time.Now())
	r.mutex.Lock()
	defer r.mutex.Unlock()
	var best *resource.Upstream
	for _, x := range u {
		if avoid[x.Name] {
			continue
		}
		if best == nil || r.inProgress[x.Name] < r.inProgress[best.Name] {
			best = x
		}
	}
	return best
}

// record stores the outcome of a call under its request key: the answer, or that the outcome is
// unknown. If the answer cannot be stored, the record of the running call stays.
func (r *Router) record(ctx context.Context, k *requestkey.Claim, q requestkey.Record, a *Answer, err error) {
	ctx, cancel := context.WithTimeout(ctx, tableRetryDelay)
	defer cancel()
	q.State = requestkey.StateUnknown
	if err == nil {
		q.State, q.Status, q.ContentType = requestkey.StateFinished, a.Status, a.ContentType
		if r.keys.StoreAnswer(ctx, k.Key, &q, string(a.Body)) != nil {
			return
		}
	}
	_ = r.keys.Update(ctx, k, q)
}

// send sends a call to one upstream and reads the answer. An answer larger than maxAnswerBytes is an
// error.
func (r *Router) send(ctx context.Context, c *Call, u *resource.Upstream) (*Answer, error) {
	r.mutex.Lock()
	r.inProgress[u.Name]++
	r.mutex.Unlock()
	defer func() {
		r.mutex.Lock()
		defer r.mutex.Unlock()
		r.inProgress[u.Name]--
	}()
	p := fail.Origin{Peer: "upstream " + u.Name, Step: "call"}
	q, err := http.NewRequestWithContext(ctx, c.Method, u.Spec.Address+c.Path, bytes.NewReader(c.Body))
	if err != nil {
		return nil, fail.Wrap(fail.BadInput, p, "bad_upstream_request", err)
	}
	q.GetBody = nil // keeps the transport from resending the request on its own
	for _, h := range forwardedHeaders {
		q.Header[h] = c.Header.Values(h)
	}
	w, err := r.Do(q)
	if err != nil {
		return nil, err
	}
	defer func() { _ = w.Body.Close() }()
	b, err := readAnswer(w.Body, c.Memory)
	if errors.Is(err, memory.ErrShort) {
		return nil, fail.Wrap(fail.Unknown, p, string(policy.ReasonMemory), err)
	}
	if err != nil {
		return nil, fail.Wrap(fail.Unknown, p, upstream.ReasonLost, err)
	}
	if backoff := upstream.RetryAfter(w.StatusCode, w.Header); backoff > 0 {
		r.Backoffs.RecordBackoff(u, time.Now().Add(backoff))
	}
	return &Answer{Body: b, ContentType: w.Header.Get("Content-Type"), Status: w.StatusCode}, nil
}

// tableError returns the error for a request key that could not be claimed. The call has not been
// sent.
func tableError(err error) error {
	if errorx.IsOfType(err, fail.Conflict) {
		return err
	}
	p := fail.Origin{Peer: "platform", Step: "claim request key"}
	return fail.WithRetryAt(fail.Wrap(fail.NotRun, p, "table_unavailable", err), time.Now().Add(tableRetryDelay))
}

func (r *Router) upstreams(name string) []*resource.Upstream {
	now := time.Now()
	return r.view.Upstreams(func(u *resource.Upstream) bool {
		return u.Spec.Type == resource.UpstreamService && u.Spec.Service == name && u.AcceptsWork(now)
	})
}

// inHalls returns the upstreams of a list in some halls, or all if halls is nil.
func inHalls(l []*resource.Upstream, halls []string) []*resource.Upstream {
	if halls == nil {
		return l
	}
	return slices.DeleteFunc(slices.Clone(l), func(u *resource.Upstream) bool { return !slices.Contains(halls, u.Spec.Hall) })
}

// PathOf returns the path and query that the service receives for a request to /services/NAME/….
func PathOf(u *url.URL, name string) string {
	p := strings.TrimPrefix(u.EscapedPath(), "/services/"+name)
	if u.RawQuery != "" {
		p += "?" + u.RawQuery
	}
	return p
}

// repeatable reports whether calls with a method may be repeated: GET, HEAD, and what the upstream
// declares.
func repeatable(method string, u *resource.Upstream) bool {
	return method == http.MethodGet || method == http.MethodHead || slices.Contains(u.Spec.RetryableMethods, method)
}
