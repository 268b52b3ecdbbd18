// Package delivery handles a generation request from its arrival to its outcome. It obtains a place
// at an upstream, starts the generation, forwards each token exactly once and in order, resumes
// broken streams and records the outcome under the request key.
package delivery

import (
	"context"
	"crypto/rand"
	"fmt"
	"log/slog"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/joomcode/errorx"

	"github.com/linetiller/linetiller/internal/budget"
	"github.com/linetiller/linetiller/internal/event"
	"github.com/linetiller/linetiller/internal/fail"
	"github.com/linetiller/linetiller/internal/health"
	"github.com/linetiller/linetiller/internal/meter"
	"github.com/linetiller/linetiller/internal/metric"
	"github.com/linetiller/linetiller/internal/placement"
	"github.com/linetiller/linetiller/internal/policy"
	"github.com/linetiller/linetiller/internal/requestkey"
	"github.com/linetiller/linetiller/internal/resource"
	"github.com/linetiller/linetiller/internal/upstream"
)

// Request is a client's request for a generation.
type Request struct {
	Key         string // the request key; "" if the request may run more than once
	MaxQueued   int    // how many requests of the workspace may wait for a place at this box; 0 for no limit
	Fingerprint string // hash of the request; a repeat with the same key must match it
	Prompt      string
	ResumeAfter *EventID // the last token that the client received; nil for a new generation
	Work        policy.Work
}

// EventID identifies a token that was delivered.
type EventID struct {
	Generation string
	Index      int // index of the token
	Upstream   string
}

// Token is a token to be sent to the client.
type Token struct {
	Finish     string // why the generation ended; only on the last token, which has no text
	Generation string
	Index      int
	Text       []byte // valid until the sink returns
	Upstream   string
}

// Sink sends a token to the client. It must not keep the token. An error means that the client has
// disconnected.
type Sink func(t *Token) error

// Deliverer handles generation requests. It is safe for concurrent use. Close waits for the requests in
// progress.
type Deliverer struct {
	// RefreshViews refreshes the box's views if its process was suspended. Set it before use; by
	// default it does nothing.
	RefreshViews func(ctx context.Context)
	// Place obtains a place at an upstream that is not in avoid. It must be set before use.
	Place func(ctx context.Context, w *policy.Work, avoid map[string]bool) (*placement.Place, error)
	// Unreachable returns those of the upstreams to which no path is known to lead. Set it
	// before use; by default there are none.
	Unreachable func(l []*resource.Upstream) []*resource.Upstream

	cancel                context.CancelFunc
	ctx                   context.Context // cancelled by Abort, or when Close stops waiting for outcomes to be recorded
	engines               *upstream.Client
	keys                  *requestkey.Keys
	log                   *slog.Logger
	metrics               *metric.Set
	mutex                 sync.Mutex     // guards closing, inProgress, inProgressByWorkspace and queuedByWorkspace
	inProgressByWorkspace map[string]int // number of requests in progress
	queuedByWorkspace     map[string]int // number of requests that wait for a place
	closing               bool
	inProgress            int
	maxInProgress         int
	meter                 *meter.Meter
	backoffs              *health.Backoffs
	retryBudget           *budget.Budget
	stallTimeout          time.Duration
	tracker               *placement.Tracker
	view                  *resource.View
	recordings            sync.WaitGroup // outcomes being recorded in the background
	requests              sync.WaitGroup // requests in progress
}

const (
	cancelTimeout        = 2 * time.Second
	recordGracePeriod    = 5 * time.Second  // for outcomes to be recorded when the box stops
	reconnectGracePeriod = 10 * time.Second // for a client to reconnect before its generation is cancelled
	maxAttempts          = 4                // upstreams tried for one request
	recordTimeout        = 10 * time.Minute // for an outcome to be recorded while the platform is unavailable
	recordRetryInterval  = 5 * time.Second  // between attempts to record an outcome, and limit of each
	resumeTimeout        = 3 * time.Second  // of failing resumptions, after which a generation counts as lost
	resumeRetryInterval  = 50 * time.Millisecond
	// maxWorkspaceShare is the share of a box's maximum of requests in progress that one
	// workspace may use, so that it cannot shut out the others.
	maxWorkspaceShare = 0.75
	startGracePeriod  = 3 * time.Second // from the claim of a key until its generation is known at the upstream
	// stepCheck is the error step of recheckPlace.
	stepCheck = "check before the send"
)

// Option configures a Deliverer.
type Option func(*Deliverer)

// New returns a deliverer.
func New(c *upstream.Client, k *requestkey.Keys, t *placement.Tracker, v *resource.View, m *metric.Set, l *slog.Logger, options ...Option) *Deliverer {
	ctx, cancel := context.WithCancel(context.Background())
	d := &Deliverer{
		inProgressByWorkspace: make(map[string]int), queuedByWorkspace: make(map[string]int),
		RefreshViews: func(context.Context) {},
		Unreachable:  func([]*resource.Upstream) []*resource.Upstream { return nil },
		cancel:       cancel, ctx: ctx,
		engines: c, keys: k, maxInProgress: 10_000, log: l, meter: meter.New(m), metrics: m,
		backoffs: health.NewBackoffs(v), retryBudget: budget.NewDefault(time.Now()), stallTimeout: 10 * time.Second, tracker: t, view: v,
	}
	for _, o := range options {
		o(d)
	}
	m.Gauge(metric.Streams, func() float64 { return float64(d.InProgress()) })
	return d
}

// ParseEventID parses the format that EventID.String returns.
func ParseEventID(s string) (*EventID, error) {
	p := strings.Split(s, "/")
	if len(p) != 3 || p[0] == "" || p[1] == "" {
		return nil, fmt.Errorf("event id %q is not UPSTREAM/GENERATION/INDEX", s)
	}
	i, err := strconv.Atoi(p[2])
	if err != nil || i < 0 {
		return nil, fmt.Errorf("event id %q has no valid token index", s)
	}
	return &EventID{Generation: p[1], Index: i, Upstream: p[0]}, nil
}

// WithBackoffs sets the record of the back-offs that upstreams requested, to share it with other
// senders of this box. By default, the deliverer has its own.
func WithBackoffs(r *health.Backoffs) Option {
	return func(d *Deliverer) { d.backoffs = r }
}

// WithMaxInProgress sets the maximum number of requests in progress. The default is 10,000.
func WithMaxInProgress(n int) Option {
	return func(d *Deliverer) { d.maxInProgress = n }
}

// WithRetryBudget sets the budget that retries are charged to. By default, the deliverer has its own.
func WithRetryBudget(b *budget.Budget) Option {
	return func(d *Deliverer) { d.retryBudget = b }
}

// WithStallTimeout sets how long a stream may go without a token before it is closed and resumed. The
// default is 10 seconds.
func WithStallTimeout(s time.Duration) Option {
	return func(d *Deliverer) { d.stallTimeout = s }
}

// Abort cancels the requests in progress and waits for them to end. Outcomes that are not recorded by
// then are lost.
func (d *Deliverer) Abort() error {
	d.mutex.Lock()
	d.closing = true
	d.mutex.Unlock()
	d.cancel()
	d.requests.Wait()
	d.recordings.Wait()
	return nil
}

// Close refuses new requests, waits for those in progress to end, and then for up to recordGracePeriod
// for their outcomes to be recorded.
func (d *Deliverer) Close() error {
	d.mutex.Lock()
	d.closing = true
	d.mutex.Unlock()
	d.requests.Wait()
	t := time.AfterFunc(recordGracePeriod, d.cancel)
	defer t.Stop()
	d.recordings.Wait()
	d.cancel()
	return nil
}

// Generate handles q and returns when it has ended. The type of the error, such as fail.NotRun,
// fail.Interrupted or fail.Unknown, shows whether the request ran.
func (d *Deliverer) Generate(ctx context.Context, q *Request, sink Sink) error {
	if err := d.admit(q.Work.Workspace); err != nil {
		return d.recordEnd(err)
	}
	defer d.release(q.Work.Workspace)
	d.retryBudget.RecordRequest(q.Work.Model, time.Now())
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	defer context.AfterFunc(d.ctx, cancel)()
	s := &session{clientContext: ctx, deliverer: d, request: q, sink: sink}
	return d.recordEnd(s.run())
}

// InProgress returns the number of requests in progress.
func (d *Deliverer) InProgress() int {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	return d.inProgress
}

// Append appends the ID to b in the format of the ids of server-sent events to clients,
// UPSTREAM/GENERATION/INDEX.
func (e EventID) Append(b []byte) []byte {
	b = append(append(b, e.Upstream...), '/')
	b = append(append(b, e.Generation...), '/')
	return strconv.AppendInt(b, int64(e.Index), 10)
}

// String returns the ID in the format of Append.
func (e EventID) String() string {
	return string(e.Append(nil))
}

// admit counts a new request of a workspace, or returns an error if the deliverer is closing or a limit
// is reached. The caller calls release when an admitted request ends.
func (d *Deliverer) admit(workspace string) error {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	p := fail.Origin{Peer: "client", Step: "accept"}
	if d.closing {
		return fail.WithRetryAt(fail.New(fail.NotRun, p, "box_leaving", "this box is leaving"), time.Now())
	}
	if d.inProgress >= d.maxInProgress {
		return fail.WithRetryAt(fail.New(fail.NotRun, p, "too_many_streams", "this box has reached its limit of requests in progress"), time.Now().Add(time.Second))
	}
	if maxPerWorkspace := int(maxWorkspaceShare * float64(d.maxInProgress)); d.inProgressByWorkspace[workspace] >= max(1, maxPerWorkspace) {
		return fail.WithRetryAt(fail.New(fail.NotRun, p, "workspace_streams", "the workspace has reached its share of the requests in progress at this box"), time.Now().Add(time.Second))
	}
	d.inProgressByWorkspace[workspace]++
	d.inProgress++
	d.requests.Add(1)
	return nil
}

// findPlace obtains a place at an upstream for a request. It fails at once if too many requests of the
// workspace wait for one or all upstreams have requested back-off.
func (d *Deliverer) findPlace(ctx context.Context, q *Request, avoid map[string]bool) (*placement.Place, error) {
	w := q.Work.Workspace
	d.mutex.Lock()
	if q.MaxQueued > 0 && d.queuedByWorkspace[w] >= q.MaxQueued {
		d.mutex.Unlock()
		p := fail.Origin{Peer: "client", Step: "wait for a place"}
		return nil, fail.WithRetryAt(fail.New(fail.NotRun, p, "workspace_queue_full", "%d requests of the workspace already wait for a place at this box", q.MaxQueued), time.Now().Add(time.Second))
	}
	d.queuedByWorkspace[w]++
	d.mutex.Unlock()
	defer func() {
		d.mutex.Lock()
		defer d.mutex.Unlock()
		decrement(d.queuedByWorkspace, w)
	}()
	l, now := d.view.UpstreamsOfModel(q.Work.Model), time.Now()
	p := fail.Origin{Peer: "upstreams", Step: "choose"}
	if err := d.backoffs.AllBackingOffError(l, p, now); err != nil {
		return nil, err
	}
	all := health.AvoidUnreachable(d.Unreachable(l), avoid)
	if err := health.AllUnreachableError(l, avoid, all, p, now); err != nil {
		return nil, err
	}
	return d.Place(ctx, &q.Work, d.backoffs.Avoid(l, all, now))
}

// recordEnd counts and logs the outcome of a request. It returns err.
func (d *Deliverer) recordEnd(err error) error {
	r := fail.Reason(err)
	switch {
	case err == nil:
		d.metrics.Count(metric.Generations, "outcome", "finished")
		event.RequestFinished.Log(d.log)
	case errorx.IsOfType(err, fail.Interrupted), errorx.IsOfType(err, fail.Unknown):
		d.metrics.Count(metric.Generations, "outcome", "interrupted")
		event.RequestInterrupted.Log(d.log, "reason", r, "step", fail.Step(err), "peer", fail.Peer(err), "error", err.Error())
	default:
		d.metrics.Count(metric.Generations, "outcome", "refused")
		d.metrics.Count(metric.Refusals, "reason", r)
		event.RequestRefused.Log(d.log, "reason", r, "step", fail.Step(err), "peer", fail.Peer(err))
	}
	return err
}

// recordInBackground calls record until it succeeds, it returns fail.Conflict because another attempt
// holds the key, recordTimeout has passed or d.ctx is cancelled.
func (d *Deliverer) recordInBackground(record func(ctx context.Context) error) {
	until := time.Now().Add(recordTimeout)
	d.recordings.Go(func() {
		for first := true; time.Now().Before(until); first = false {
			ctx, cancel := context.WithTimeout(d.ctx, recordRetryInterval)
			err := record(ctx)
			cancel()
			if err == nil || errorx.IsOfType(err, fail.Conflict) {
				return
			}
			if first {
				event.OutcomeNotRecorded.Log(d.log, "step", fail.Step(err), "reason", fail.Reason(err))
			}
			select {
			case <-d.ctx.Done():
				return
			case <-time.After(recordRetryInterval):
			}
		}
	})
}

// release undoes admit.
func (d *Deliverer) release(workspace string) {
	d.mutex.Lock()
	d.inProgress--
	decrement(d.inProgressByWorkspace, workspace)
	d.mutex.Unlock()
	d.requests.Done()
}

// decrement decrements the count of a workspace and deletes it at zero.
func decrement(counts map[string]int, workspace string) {
	counts[workspace]--
	if counts[workspace] <= 0 {
		delete(counts, workspace)
	}
}

// newID returns a globally unique random ID.
func newID() string {
	return strings.ToLower(rand.Text())
}
