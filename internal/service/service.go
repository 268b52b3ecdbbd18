// Package service routes calls to plain services. A call that may not be
// repeated runs at most once, under its request key.
package service

import (
	"bytes"
	"cmp"
	"context"
	"crypto/rand"
	"errors"
	"io"
	"net/http"
	"net/url"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/joomcode/errorx"

	"github.com/linetiller/linetiller/internal/fail"
	"github.com/linetiller/linetiller/internal/health"
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
	Key         string // the request key, "" where there is none
	Method      string
	Path        string // after /services/NAME, with its query
	Fingerprint string // hash of what is asked
	Service     string
	Workspace   string
}

// Answer is a service's answer.
type Answer struct {
	Body        []byte
	ContentType string
	Repeated    bool // it is the recorded answer to an earlier call with the same key
	Status      int
}

// Router sends calls to the upstreams of a service. It is safe for concurrent use.
type Router struct {
	// Do sends one request to an upstream; a seam for tests.
	Do func(r *http.Request) (*http.Response, error)
	// Backoffs are the times for which upstreams want nothing from this box, shared with others
	// that send to them.
	Backoffs *health.Backoffs

	keys    *requestkey.Keys
	metrics *metric.Set
	mutex   sync.Mutex     // guards active and retries
	active  map[string]int // by upstream: calls in progress
	retries *policy.RetryBudget
	view    *resource.View
}

const (
	maxAnswerBytes  = 8 << 20
	maxTries        = 3
	tableRetryDelay = 5 * time.Second
)

// forwardedHeaders are the headers that go on to a service.
var forwardedHeaders = []string{"Accept", "Content-Type", "Accept-Language"}

// NewRouter returns a router over the services in v.
func NewRouter(v *resource.View, k *requestkey.Keys, m *metric.Set) *Router {
	return &Router{active: make(map[string]int), keys: k, metrics: m, Backoffs: health.NewBackoffs(v), retries: policy.NewRetryBudget(), view: v}
}

// Call carries c to its answer.
func (r *Router) Call(ctx context.Context, c *Call) (*Answer, error) {
	ctx, cancel := context.WithDeadline(ctx, c.Deadline)
	defer cancel()
	u := r.upstreams(c.Service)
	if len(u) == 0 {
		return nil, fail.New(fail.NotFound, r.origin(c), "service_unknown", "no upstream serves %q", c.Service)
	}
	r.mutex.Lock()
	r.retries.RecordRequest()
	r.mutex.Unlock()
	if repeatable(c.Method, u[0]) {
		return r.callRepeatable(ctx, c, u)
	}
	if c.Key == "" {
		return nil, fail.New(fail.BadInput, r.origin(c), "key_missing", "%s on %q may not be repeated and needs an Idempotency-Key", c.Method, c.Service)
	}
	return r.callOnce(ctx, c, u)
}

// answerFromRecord answers from the record of an earlier call with the same key.
func (r *Router) answerFromRecord(ctx context.Context, c *Call, k *requestkey.Claim) (*Answer, error) {
	if k.Record.Print != c.Fingerprint {
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

// callOnce runs a call that may not be repeated.
func (r *Router) callOnce(ctx context.Context, c *Call, u []*resource.Upstream) (*Answer, error) {
	x := r.pick(u, nil)
	if x == nil {
		return nil, r.noUpstreamError(c, u)
	}
	q := requestkey.Record{Print: c.Fingerprint, State: requestkey.StateRunning, Try: rand.Text(), Upstream: x.Name}
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

// pick returns the upstream with the fewest calls in progress, or nil where none is left: all
// want rest, or are to be avoided.
func (r *Router) pick(u []*resource.Upstream, avoid map[string]bool) *resource.Upstream {
	avoid = r.Backoffs.Avoid(u, avoid, time.Now())
	r.mutex.Lock()
	defer r.mutex.Unlock()
	var best *resource.Upstream
	for _, x := range u {
		if avoid[x.Name] {
			continue
		}
		if best == nil || r.active[x.Name] < r.active[best.Name] {
			best = x
		}
	}
	return best
}

func (r *Router) origin(c *Call) fail.Origin {
	return fail.Origin{Peer: "service " + c.Service, Step: "call"}
}

// record writes what became of a call under its key.
func (r *Router) record(ctx context.Context, k *requestkey.Claim, q requestkey.Record, a *Answer, err error) {
	ctx, cancel := context.WithTimeout(ctx, tableRetryDelay)
	defer cancel()
	q.State = requestkey.StateUnknown
	if err == nil {
		q.State, q.Status, q.ContentType = requestkey.StateFinished, a.Status, a.ContentType
		if r.keys.Store(ctx, k.Key, &q, string(a.Body)) != nil {
			return
		}
	}
	_ = r.keys.Update(ctx, k, q)
}

// noUpstreamError refuses a call for which no upstream is left, none of which was tried.
func (r *Router) noUpstreamError(c *Call, u []*resource.Upstream) error {
	if err := r.Backoffs.AllBackingOffError(u, r.origin(c), time.Now()); err != nil {
		return err
	}
	return fail.WithRetryAt(fail.New(fail.NotRun, r.origin(c), string(policy.ReasonResting), "the upstreams of %q want rest", c.Service), time.Now())
}

func (r *Router) send(ctx context.Context, c *Call, u *resource.Upstream) (*Answer, error) {
	r.mutex.Lock()
	r.active[u.Name]++
	r.mutex.Unlock()
	defer func() {
		r.mutex.Lock()
		defer r.mutex.Unlock()
		r.active[u.Name]--
	}()
	p := fail.Origin{Peer: "upstream " + u.Name, Step: "call"}
	q, err := http.NewRequestWithContext(ctx, c.Method, u.Spec.Address+c.Path, bytes.NewReader(c.Body))
	if err != nil {
		return nil, fail.Wrap(fail.BadInput, p, "bad_upstream_request", err)
	}
	q.GetBody = nil // so that the transport never sends it twice
	for _, h := range forwardedHeaders {
		q.Header[h] = c.Header.Values(h)
	}
	w, err := r.Do(q)
	if err != nil {
		return nil, err
	}
	defer func() { _ = w.Body.Close() }()
	b, err := io.ReadAll(io.LimitReader(w.Body, maxAnswerBytes+1))
	if err == nil && len(b) > maxAnswerBytes {
		err = errors.New("the answer is too large")
	}
	if err != nil {
		return nil, fail.Wrap(fail.Unknown, p, "upstream_lost", err)
	}
	if rest := upstream.RestOf(w.StatusCode, w.Header); rest > 0 {
		r.Backoffs.RecordBackoff(u, time.Now().Add(rest))
	}
	return &Answer{Body: b, ContentType: w.Header.Get("Content-Type"), Status: w.StatusCode}, nil
}

func tableError(err error) error {
	if errorx.IsOfType(err, fail.Conflict) {
		return err
	}
	p := fail.Origin{Peer: "platform", Step: "claim request key"}
	return fail.WithRetryAt(fail.Wrap(fail.NotRun, p, "table_unavailable", err), time.Now().Add(tableRetryDelay))
}

// callRepeatable runs a call that may be repeated, at another upstream each time.
func (r *Router) callRepeatable(ctx context.Context, c *Call, u []*resource.Upstream) (*Answer, error) {
	var failed error
	avoid := make(map[string]bool)
	for try := 1; ; try++ {
		x := r.pick(u, avoid)
		if x == nil {
			return nil, cmp.Or(failed, r.noUpstreamError(c, u))
		}
		a, err := r.send(ctx, c, x)
		if err == nil {
			return a, nil
		}
		failed = err
		avoid[x.Name] = true
		if try >= maxTries || len(avoid) == len(u) || ctx.Err() != nil || !r.takeRetry() {
			return nil, err
		}
		r.metrics.Count(metric.Retries, "reason", fail.Reason(err))
	}
}

func (r *Router) takeRetry() bool {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	return r.retries.Take()
}

func (r *Router) upstreams(name string) []*resource.Upstream {
	now := time.Now()
	return r.view.Upstreams(func(u *resource.Upstream) bool {
		return u.Spec.Type == resource.UpstreamService && u.Spec.Service == name && u.AcceptsWork(now)
	})
}

// PathOf returns the path that a service sees, of a request to /services/NAME/….
func PathOf(u *url.URL, name string) string {
	p := strings.TrimPrefix(u.EscapedPath(), "/services/"+name)
	if u.RawQuery != "" {
		p += "?" + u.RawQuery
	}
	return p
}

func repeatable(method string, u *resource.Upstream) bool {
	return method == http.MethodGet || method == http.MethodHead || slices.Contains(u.Spec.Repeatable, method)
}
