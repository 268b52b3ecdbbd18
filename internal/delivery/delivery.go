// Package delivery carries one request from its arrival to its final answer:
// it finds a place, starts the generation, relays its tokens once and in order,
// resumes after cuts and records the outcome.
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

// Request is one generation that a client asks for.
type Request struct {
	Key         string // the request key, "" where it may be repeated
	MaxQueued   int    // requests of its workspace that may wait at this box; 0 is no bound of its own
	Fingerprint string // hash of what is asked, which a repeat of the key must match
	Prompt      string
	ResumeAfter *EventID // the last token that the client has
	Work        policy.Work
}

// EventID names a token that was delivered.
type EventID struct {
	Generation string
	Index      int // of the token
	Upstream   string
}

// Token is one token on its way to the client.
type Token struct {
	Finish     string // why the generation ended, on the last one, which has no text
	Generation string
	Index      int
	Text       []byte // valid until the sink returns
	Upstream   string
}

// Sink takes one token to the client; it must not keep the token. An error means that the client has gone.
type Sink func(t *Token) error

// Deliverer carries requests. It is safe for concurrent use; Close waits for
// those in progress.
type Deliverer struct {
	// RefreshViews makes sure that the box's views are not those of before a pause; a seam.
	RefreshViews func(ctx context.Context)
	// Place finds an upstream; a seam, set to a placement's method.
	Place func(ctx context.Context, w *policy.Work, avoid map[string]bool) (*placement.Place, error)

	cancel                context.CancelFunc
	ctx                   context.Context // ends with Abort, or when Close stops waiting for outcomes to be recorded
	engines               *upstream.Client
	keys                  *requestkey.Keys
	log                   *slog.Logger
	metrics               *metric.Set
	mutex                 sync.Mutex     // guards retries, held, closing, holds and waits
	inProgressByWorkspace map[string]int // by workspace: requests in progress
	queuedByWorkspace     map[string]int // by workspace: requests that wait for a place
	closing               bool
	inProgress            int
	maxInProgress         int
	meter                 *meter.Meter
	backoffs              *health.Backoffs
	retries               *policy.RetryBudget
	stallTimeout          time.Duration
	tracker               *placement.Tracker
	view                  *resource.View
	recorders             sync.WaitGroup // outcomes being recorded
	requests              sync.WaitGroup // requests in progress
}

const (
	cancelTimeout        = 2 * time.Second
	recordGracePeriod    = 5 * time.Second  // for outcomes to be recorded when the box stops
	reconnectGracePeriod = 10 * time.Second // for a client to come back, before its generation is cancelled
	maxAttempts          = 4                // upstreams tried for one request
	recordTimeout        = 10 * time.Minute // for the outcome to be recorded while the platform is out
	recordRetryInterval  = 5 * time.Second
	resumeTimeout        = 3 * time.Second // of failing resumptions after which a generation is lost
	resumeRetryInterval  = 50 * time.Millisecond
	// maxWorkspaceShare is how much of the requests that a box may hold one workspace
	// may have, so that none can shut the others out.
	maxWorkspaceShare = 0.75
	startGracePeriod  = 3 * time.Second // from the claim of a key to the arrival of its start
)

// Option sets one thing of a Deliverer.
type Option func(*Deliverer)

// New returns a deliverer.
func New(c *upstream.Client, k *requestkey.Keys, t *placement.Tracker, v *resource.View, m *metric.Set, l *slog.Logger, options ...Option) *Deliverer {
	ctx, cancel := context.WithCancel(context.Background())
	d := &Deliverer{
		inProgressByWorkspace: make(map[string]int), queuedByWorkspace: make(map[string]int),
		RefreshViews: func(context.Context) {},
		cancel:       cancel, ctx: ctx,
		engines: c, keys: k, maxInProgress: 10_000, log: l, meter: meter.New(m), metrics: m,
		backoffs: health.NewBackoffs(v), retries: policy.NewRetryBudget(), stallTimeout: 10 * time.Second, tracker: t, view: v,
	}
	for _, o := range options {
		o(d)
	}
	m.Gauge(metric.Streams, func() float64 { return float64(d.InProgress()) })
	return d
}

// ParseEventID reads the form that EventID.String writes.
func ParseEventID(s string) (*EventID, error) {
	p := strings.Split(s, "/")
	if len(p) != 3 || p[0] == "" || p[1] == "" {
		return nil, fmt.Errorf("event id %q is not UPSTREAM/GENERATION/INDEX", s)
	}
	i, err := strconv.Atoi(p[2])
	if err != nil || i < 0 {
		return nil, fmt.Errorf("event id %q has no token index", s)
	}
	return &EventID{Generation: p[1], Index: i, Upstream: p[0]}, nil
}

// WithMaxInProgress bounds the requests held at once.
func WithMaxInProgress(n int) Option {
	return func(d *Deliverer) { d.maxInProgress = n }
}

// WithBackoffs shares the times for which upstreams want nothing from this box with others that
// send to them.
func WithBackoffs(r *health.Backoffs) Option {
	return func(d *Deliverer) { d.backoffs = r }
}

// WithStallTimeout sets after how long without a token a stream is opened anew.
func WithStallTimeout(s time.Duration) Option {
	return func(d *Deliverer) { d.stallTimeout = s }
}

// Abort ends the requests in progress and waits for them; outcomes that are not
// recorded yet stay so.
func (d *Deliverer) Abort() error {
	d.mutex.Lock()
	d.closing = true
	d.mutex.Unlock()
	d.cancel()
	d.requests.Wait()
	d.recorders.Wait()
	return nil
}

// Close refuses new requests, waits for those in progress, and gives outcomes
// that are not recorded yet a moment more.
func (d *Deliverer) Close() error {
	d.mutex.Lock()
	d.closing = true
	d.mutex.Unlock()
	d.requests.Wait()
	t := time.AfterFunc(recordGracePeriod, d.cancel)
	defer t.Stop()
	d.recorders.Wait()
	d.cancel()
	return nil
}

// Generate carries q to its end. Its error tells what the client may conclude:
// fail.NotRun, fail.Interrupted, fail.Unknown and the others as they say.
func (d *Deliverer) Generate(ctx context.Context, q *Request, sink Sink) error {
	if err := d.admit(q.Work.Workspace); err != nil {
		return d.recordEnd(err)
	}
	defer d.release(q.Work.Workspace)
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	defer context.AfterFunc(d.ctx, cancel)()
	s := &session{clientContext: ctx, deliverer: d, request: q, sink: sink}
	return d.recordEnd(s.run())
}

// InProgress returns how many requests are in progress.
func (d *Deliverer) InProgress() int {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	return d.inProgress
}

// Append adds to b the form that goes to clients as a server-sent event's id.
func (e EventID) Append(b []byte) []byte {
	b = append(append(b, e.Upstream...), '/')
	b = append(append(b, e.Generation...), '/')
	return strconv.AppendInt(b, int64(e.Index), 10)
}

// String returns the form that Append adds.
func (e EventID) String() string {
	return string(e.Append(nil))
}

// recordEnd counts and logs how a request ended.
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

// recordInBackground records an outcome, again and again while the platform is out.
func (d *Deliverer) recordInBackground(record func(ctx context.Context) error) {
	until := time.Now().Add(recordTimeout)
	d.recorders.Go(func() {
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

func (d *Deliverer) admit(workspace string) error {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	p := fail.Origin{Peer: "client", Step: "accept"}
	if d.closing {
		return fail.WithRetryAt(fail.New(fail.NotRun, p, "box_leaving", "this box is leaving"), time.Now())
	}
	if d.inProgress >= d.maxInProgress {
		return fail.WithRetryAt(fail.New(fail.NotRun, p, "too_many_streams", "this box holds its limit of requests"), time.Now().Add(time.Second))
	}
	if most := int(maxWorkspaceShare * float64(d.maxInProgress)); d.inProgressByWorkspace[workspace] >= max(1, most) {
		return fail.WithRetryAt(fail.New(fail.NotRun, p, "workspace_streams", "the workspace holds its share of this box's requests"), time.Now().Add(time.Second))
	}
	d.inProgressByWorkspace[workspace]++
	d.inProgress++
	d.retries.RecordRequest()
	d.requests.Add(1)
	return nil
}

func (d *Deliverer) release(workspace string) {
	d.mutex.Lock()
	d.inProgress--
	decrement(d.inProgressByWorkspace, workspace)
	d.mutex.Unlock()
	d.requests.Done()
}

// findPlace finds a place for a request, unless too many of its workspace wait for one.
func (d *Deliverer) findPlace(ctx context.Context, q *Request, avoid map[string]bool) (*placement.Place, error) {
	w := q.Work.Workspace
	d.mutex.Lock()
	if q.MaxQueued > 0 && d.queuedByWorkspace[w] >= q.MaxQueued {
		d.mutex.Unlock()
		p := fail.Origin{Peer: "client", Step: "wait for a place"}
		return nil, fail.WithRetryAt(fail.New(fail.NotRun, p, "workspace_queue_full", "%d requests of the workspace wait here", q.MaxQueued), time.Now().Add(time.Second))
	}
	d.queuedByWorkspace[w]++
	d.mutex.Unlock()
	defer func() {
		d.mutex.Lock()
		defer d.mutex.Unlock()
		decrement(d.queuedByWorkspace, w)
	}()
	l, now := d.view.UpstreamsOfModel(q.Work.Model), time.Now()
	if err := d.backoffs.AllBackingOffError(l, fail.Origin{Peer: "upstreams", Step: "choose"}, now); err != nil {
		return nil, err
	}
	return d.Place(ctx, &q.Work, d.backoffs.Avoid(l, avoid, now))
}

func (d *Deliverer) takeRetry() bool {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	return d.retries.Take()
}

// decrement takes one from a workspace's count, which goes with the last.
func decrement(counts map[string]int, workspace string) {
	counts[workspace]--
	if counts[workspace] <= 0 {
		delete(counts, workspace)
	}
}

// newID returns a name that no other box will choose.
func newID() string {
	return strings.ToLower(rand.Text())
}
