// Package relay forwards requests unchanged to the upstreams of declared routes
// and their answers back to the callers. It chooses an upstream, sends the request,
// retries where the route allows it, forwards streams event by event, and moves
// running generations away from engines that are leaving.
package relay

import (
	"context"
	"log/slog"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/joomcode/errorx"

	"github.com/linetiller/linetiller/internal/budget"
	"github.com/linetiller/linetiller/internal/event"
	"github.com/linetiller/linetiller/internal/fail"
	"github.com/linetiller/linetiller/internal/health"
	"github.com/linetiller/linetiller/internal/meter"
	"github.com/linetiller/linetiller/internal/metric"
	"github.com/linetiller/linetiller/internal/placement"
	"github.com/linetiller/linetiller/internal/policy"
	"github.com/linetiller/linetiller/internal/ratelimit"
	"github.com/linetiller/linetiller/internal/resource"
	"github.com/linetiller/linetiller/internal/revision"
)

// Relay forwards requests to upstreams. It is safe for concurrent use once its exported
// fields are set. These are its dependencies on the rest of the box, which tests replace.
type Relay struct {
	// AnnounceClearance announces to the other boxes that a request or part is cleared of crashes, unless
	// another box does so first.
	AnnounceClearance func(p policy.Fingerprint)
	// AnnounceCrashes announces crashes of upstreams, with their suspects, to the other boxes.
	AnnounceCrashes func(l []policy.Crash)
	// RefreshViews refreshes the box's views if its process was suspended after they were read.
	RefreshViews func(ctx context.Context)
	// ChooseLocally chooses an engine without reserving a place at its owner.
	ChooseLocally func(w *policy.Work, avoid map[string]bool) *resource.Upstream
	// AnnounceLimit announces to the other boxes that an upstream's answer has changed its rate limit.
	AnnounceLimit func(c *ratelimit.Change)
	// RecordLeaving records an upstream's shutdown notice, which came with one of its answers. By
	// default it is recorded at this box only.
	RecordLeaving func(u *resource.Upstream)
	// HasOtherBoxes reports whether other boxes of the hall accept requests.
	HasOtherBoxes func() bool
	// NextBoxAt returns, if no box accepts streams, when the first one is expected to do so again. It
	// returns the zero time otherwise, or if that is unknown.
	NextBoxAt func(now time.Time) time.Time
	// Place reserves a place for a generation at an engine that is not in avoid.
	Place func(ctx context.Context, w *policy.Work, avoid map[string]bool) (*placement.Place, error)
	// AcquireMoveSlot waits for a move slot of an upstream.
	AcquireMoveSlot MoveSlotFunc
	// Unreachable returns those of the upstreams to which no path is known to lead.
	Unreachable func(l []*resource.Upstream) []*resource.Upstream
	// Upstreams are the calls to engines and services.
	Upstreams UpstreamCalls
	// ViewAge returns the time since the view was last known to be current, 0 if it never was.
	ViewAge func() time.Duration

	coldRate       func(u *resource.Upstream) float64
	background     context.Context // cancelled by Close; for work that no request waits for
	retryBudget    *budget.Budget
	cancel         context.CancelFunc
	ctx            context.Context // cancelled by Abort
	frequentRuns   *policy.FrequentRuns
	hallRegions    resource.HallRegions
	quarantine     *policy.Quarantine
	health         *health.Tracker
	lengths        *policy.Lengths
	limiter        *ratelimit.Limiter
	log            *slog.Logger
	meter          *meter.Meter
	metrics        *metric.Set
	pace           pace
	placeWait      *metrics.Histogram
	backoffs       *health.Backoffs
	completedRuns  *policy.CompletedRuns
	stopBackground context.CancelFunc
	tracker        *placement.Tracker
	view           *resource.View
	workers        sync.WaitGroup

	mutex         sync.Mutex // guards the fields below; no other lock is taken under it
	closing       bool
	requestsEndAt time.Time // when what is in progress will be aborted; zero unless the box is leaving
	streamsEndAt  time.Time // when the streams will be cut off; zero unless the box is leaving
	inProgress    int
	lastArrivalAt time.Time        // when the last request arrived; zero if none has
	trafficEndsAt time.Time        // when the balancer will have stopped sending callers here
	streams       map[*stream]bool // the streams of engines in progress
}

// Option configures a Relay.
type Option func(*Relay)

const (
	// evictionInterval is the interval at which expired health and rate-limit records are removed.
	evictionInterval = 10 * time.Second
	// streamLengthMargin is the factor by which a leaving box multiplies a stream's expected
	// duration when it decides whether to accept the stream: callers' estimates are right only at the
	// median, and another box serves a refused caller a moment later. If the hall has no other box, a
	// caller that retries at once reaches this one again, and soleBoxLengthMargin applies.
	streamLengthMargin  = 3
	soleBoxLengthMargin = 1
	// refusedRetryDelay is the time after which a refused caller may retry if no better one is known.
	refusedRetryDelay = 500 * time.Millisecond
	// startRetryDelay is the time after which a caller may retry at a box that has not
	// received its configuration yet.
	startRetryDelay = time.Second
	// staleViewRetryDelay is the same for a box whose view of the configuration is stale.
	staleViewRetryDelay = 2 * time.Second
)

// New returns a relay for a box in a data hall, with the routes and upstreams in v.
func New(v *resource.View, t *placement.Tracker, l *policy.Lengths, hall string, m *metric.Set, log *slog.Logger, options ...Option) *Relay {
	ctx, cancel := context.WithCancel(context.Background())
	background, stopBackground := context.WithCancel(ctx)
	x := &Relay{
		AnnounceClearance: func(policy.Fingerprint) {},
		AnnounceCrashes:   func([]policy.Crash) {},
		RefreshViews:      func(context.Context) {},
		AnnounceLimit:     func(*ratelimit.Change) {},
		RecordLeaving:     func(u *resource.Upstream) { v.RecordLeaving(u.Name, u.Spec.StartedAtMS) },
		HasOtherBoxes:     func() bool { return true },
		NextBoxAt:         func(time.Time) time.Time { return time.Time{} },
		Unreachable:       func([]*resource.Upstream) []*resource.Upstream { return nil },
		ViewAge:           func() time.Duration { return 0 },
		coldRate:          func(*resource.Upstream) float64 { return 0 },
		background:        background, stopBackground: stopBackground,
		retryBudget: budget.NewDefault(time.Now()),
		cancel:      cancel, ctx: ctx, frequentRuns: policy.NewFrequentRuns(), quarantine: policy.NewQuarantine(), health: health.New(hall), lengths: l, limiter: ratelimit.NewLimiter(ratelimit.NewLimits()), log: log, meter: meter.New(m), metrics: m,
		placeWait: m.Histogram(metric.PlaceWait), backoffs: health.NewBackoffs(v), completedRuns: policy.NewCompletedRuns(), streams: make(map[*stream]bool), tracker: t, view: v,
	}
	x.limiter.RequestPermits = localAllocator()
	for _, o := range options {
		o(x)
	}
	m.Gauge(metric.CompletedRequests, func() float64 { return float64(x.frequentRuns.Size()) })
	m.Gauge(metric.LimitedUpstreams, func() float64 { return float64(x.limiter.Limits().Size(time.Now())) })
	m.Gauge(metric.QuarantinedRequests, func() float64 { return float64(x.quarantine.Size(time.Now())) })
	return x
}

// WithColdRateLimits limits the requests to an upstream of a plain service while it is cold. rate returns the
// requests a second that it may get from all boxes together, enforced by permits, or 0 for no limit.
// localMax returns the requests a second that this box may send to it.
func WithColdRateLimits(rate func(u *resource.Upstream) float64, localMax func(u *resource.Upstream) int) Option {
	return func(x *Relay) { x.coldRate, x.health.ColdRateLimit = rate, localMax }
}

// WithRetryBudget sets the budget that retries are charged to. By default, the relay has its own.
func WithRetryBudget(b *budget.Budget) Option {
	return func(x *Relay) { x.retryBudget = b }
}

// WithLimiter sets the limiter that grants permits to send to upstreams with a rate limit. The
// default one assumes that no other box sends to them.
func WithLimiter(m *ratelimit.Limiter) Option {
	return func(x *Relay) { x.limiter = m }
}

// WithBackoffs sets the record of the back-offs that upstreams have requested, to share it with other
// senders of this box. By default, the relay has its own.
func WithBackoffs(r *health.Backoffs) Option {
	return func(x *Relay) { x.backoffs = r }
}

// Abort cancels the requests in progress and waits until they have ended, with their failures written.
func (x *Relay) Abort() error {
	x.cancel()
	return x.Close()
}

// ClearCompleted clears suspects of crashes that have completed at other boxes, according to the
// stored records of frequent requests, and announces the clearances. The records outlive restarts of
// those boxes.
func (x *Relay) ClearCompleted() {
	now := time.Now()
	l := x.quarantine.ClearCompleted(func(p policy.Fingerprint) (time.Time, int) { return x.frequentRuns.LastRunAt(p, now), 0 })
	if len(l) == 0 {
		return
	}
	for _, c := range l {
		event.RequestCleared.Log(x.log, "asked", c.Suspects[0].Fingerprint.String(), "from", "kept")
	}
	x.markClearancesUsed(l)
	x.AnnounceCrashes(l)
}

// Close refuses new requests and waits until those in progress have ended.
func (x *Relay) Close() error {
	x.mutex.Lock()
	x.closing = true
	x.mutex.Unlock()
	x.stopBackground()
	x.workers.Wait()
	return nil
}

// CompletedRuns returns this box's records of requests that completed.
func (x *Relay) CompletedRuns() *policy.CompletedRuns { return x.completedRuns }

// EndRequestsBy informs the relay that the box is leaving and aborts what is in progress at end. From now on the relay
// refuses requests other than streams whose deadline is later, if other boxes serve their callers.
func (x *Relay) EndRequestsBy(end time.Time) {
	x.mutex.Lock()
	defer x.mutex.Unlock()
	x.requestsEndAt = end
}

// EndStreamsBy informs the relay that the box is leaving: its streams will be cut off at
// streamsEnd, and the balancer will have stopped sending callers to it at trafficEnd. From now on
// the relay refuses streams that are unlikely to complete before streamsEnd, so that their callers
// can go to another box before anything has run. It still accepts other requests, since the
// balancer may have no other box for them.
func (x *Relay) EndStreamsBy(streamsEnd, trafficEnd time.Time) {
	x.mutex.Lock()
	defer x.mutex.Unlock()
	x.streamsEndAt, x.trafficEndsAt = streamsEnd, trafficEnd
}

// FrequentRuns returns the records of frequent requests that completed at other boxes.
func (x *Relay) FrequentRuns() *policy.FrequentRuns { return x.frequentRuns }

// HasConfiguration reports whether the relay has received a configuration.
func (x *Relay) HasConfiguration() bool {
	return x.view.Revisions()[resource.SourceConfiguration] > 0
}

// InProgress returns the number of requests in progress.
func (x *Relay) InProgress() int {
	x.mutex.Lock()
	defer x.mutex.Unlock()
	return x.inProgress
}

// LastArrivalAt returns when the last request arrived, the zero time if none has.
func (x *Relay) LastArrivalAt() time.Time {
	x.mutex.Lock()
	defer x.mutex.Unlock()
	return x.lastArrivalAt
}

// Quarantine returns this box's records of crashes and quarantined requests.
func (x *Relay) Quarantine() *policy.Quarantine { return x.quarantine }

// RecordClearances records that requests completed at the box named by from, which clears them of
// crashes.
func (x *Relay) RecordClearances(l []policy.Fingerprint, from string) {
	for _, p := range l {
		x.clearCrashes(p, from)
	}
}

// RecordCrashes records crashes that the box named by from has announced, or this one if from is "".
// It reports whether any of them was not known yet.
func (x *Relay) RecordCrashes(l []policy.Crash, from string) bool {
	now := time.Now()
	cleared := x.markCompleted(l)
	quarantined, anyNew := x.quarantine.Record(l, now)
	if from == "" {
		cleared = nil // the announcement of the crashes says so
	}
	if suspects := policy.SuspectsOf(l); len(suspects) > 0 {
		lastRun := func(p policy.Fingerprint) (time.Time, int) { return x.completedRuns.LastRun(p, now) }
		for _, c := range x.quarantine.ClearCompleted(lastRun, suspects...) {
			cleared = append(cleared, c.Suspects[0].Fingerprint)
		}
	}
	for _, p := range cleared {
		x.AnnounceClearance(p)
	}
	for _, p := range quarantined {
		if !x.quarantine.Quarantined(p, now) {
			continue
		}
		event.RequestQuarantined.Log(x.log, "asked", p.String(), "crashes", x.quarantine.CrashCount(p, now), "from", from)
	}
	if anyNew {
		x.markClearancesUsed(l)
		x.scheduleClearance(l)
		x.runAfter(rand.N(clearanceDelay), x.ClearCompleted)
	}
	return anyNew
}

// RefuseForMemory answers q, whose body was not read or only a part of it, with an error that says that the box
// has no memory for it. It may panic with http.ErrAbortHandler.
func (x *Relay) RefuseForMemory(ctx context.Context, w http.ResponseWriter, q *Request) {
	err := fail.New(fail.NotRun, clientOrigin("read body"), string(policy.ReasonMemory), "the box has no memory for the request")
	x.refuseUnread(ctx, w, q, fail.WithRetryAt(err, time.Now().Add(refusedRetryDelay)))
}

// RefuseLateBody answers q, whose body did not arrive before its deadline, with an error. It may panic with
// http.ErrAbortHandler.
func (x *Relay) RefuseLateBody(ctx context.Context, w http.ResponseWriter, q *Request) {
	x.refuseUnread(ctx, w, q, fail.New(fail.NotRun, clientOrigin("read body"), "body_late", "the body did not arrive in time"))
}

// RetryUsage returns the usage of a service's retry budget at this box.
func (x *Relay) RetryUsage(service string) budget.Usage {
	return x.retryBudget.Usage(service, time.Now())
}

// Run starts moves away from upstreams that are leaving and removes expired records, until the
// context is cancelled.
func (x *Relay) Run(ctx context.Context) {
	t := time.NewTicker(evictionInterval)
	defer t.Stop()
	for {
		c := x.view.Changed()
		x.startMoves()
		select {
		case <-ctx.Done():
			return
		case <-c:
		case now := <-t.C:
			x.health.EvictIdle(now)
			x.limiter.EvictIdle(now)
		}
	}
}

// Serve relays q and writes its answer to w. The context must be cancelled when the caller
// disconnects. Serve panics with http.ErrAbortHandler if the answer could not be completed.
func (x *Relay) Serve(ctx context.Context, w http.ResponseWriter, q *Request) {
	e := &exchange{callerCtx: ctx, relay: x, request: q, writer: w}
	err := x.beginRequest()
	if err == nil {
		defer x.endRequest() // after its failure is written
		err = e.run()
	}
	x.recordOutcome(e, err)
	if err != nil {
		e.writeFailure(err)
	}
}

// Streams returns the number of engine streams in progress.
func (x *Relay) Streams() int {
	x.mutex.Lock()
	defer x.mutex.Unlock()
	return len(x.streams)
}

// beginRequest counts a request as in progress. It returns an error if the relay is closing.
func (x *Relay) beginRequest() error {
	x.mutex.Lock()
	defer x.mutex.Unlock()
	if x.closing {
		return leavingError(time.Now())
	}
	x.inProgress++
	x.lastArrivalAt = time.Now()
	x.workers.Add(1)
	return nil
}

// checkRequestFits returns an error if this box is leaving and a request with a deadline might be aborted before it. If
// there are no other boxes, most requests still end in time, and a refused caller reaches this box again.
func (x *Relay) checkRequestFits(deadline time.Time) error {
	x.mutex.Lock()
	end := x.requestsEndAt
	x.mutex.Unlock()
	if end.IsZero() || !deadline.After(end) || !x.HasOtherBoxes() {
		return nil
	}
	return leavingError(time.Now())
}

// checkStreamFits returns an error if this box is leaving and a stream of that many tokens is
// unlikely to complete before streams are cut off.
func (x *Relay) checkStreamFits(tokens int, now time.Time) error {
	x.mutex.Lock()
	streamsEnd, trafficEnd := x.streamsEndAt, x.trafficEndsAt
	x.mutex.Unlock()
	if streamsEnd.IsZero() {
		return nil
	}
	margin, retryAt := time.Duration(streamLengthMargin), now
	if !x.HasOtherBoxes() {
		margin = soleBoxLengthMargin
		if trafficEnd.After(now) {
			retryAt = trafficEnd
		}
	}
	if now.Add(margin * x.pace.expectedDuration(tokens)).After(streamsEnd) {
		if t := x.NextBoxAt(now); t.After(retryAt) {
			retryAt = t
		}
		return leavingError(retryAt)
	}
	return nil
}

// endRequest counts a request as no longer in progress.
func (x *Relay) endRequest() {
	x.mutex.Lock()
	x.inProgress--
	x.mutex.Unlock()
	x.workers.Done()
}

// expectedRemaining returns the expected number of tokens that a generation will still produce: up
// to the caller's hint or, once it has produced that many, an estimate from the lengths of earlier
// generations.
func (x *Relay) expectedRemaining(w *policy.Work, produced int) int {
	if produced < w.Hint {
		return w.Hint - produced
	}
	return int(x.lengths.Remaining(policy.KeyOf(w), produced, w.MaxTokens))
}

// recordOutcome records in the metrics and the log how a request ended.
func (x *Relay) recordOutcome(e *exchange, err error) {
	now := time.Now()
	l := []any{"request", e.request.ID, "route", e.routeName(), "upstream", e.upstreamName(), "took_ms", now.Sub(e.request.Arrived).Milliseconds(), "tries", e.sends}
	if e.firstEventDelay > 0 {
		l = append(l, "first_ms", e.firstEventDelay.Milliseconds(), "pause_ms", e.longestGap.Milliseconds())
	}
	if e.request.PromptTokens > 0 {
		l = append(l, "prompt_tokens", e.request.PromptTokens)
	}
	if err == nil {
		x.recordPromptSize(e, "answered")
		x.metrics.Count(metric.Requests, "outcome", "answered")
		event.RequestFinished.Log(x.log, append(l, "status", e.status)...)
		return
	}
	if fail.Reason(err) == reasonQuarantined {
		x.metrics.Count(metric.Refusals, "reason", reasonQuarantined)
	}
	l = append(l, "reason", fail.Reason(err), "step", fail.Step(err), "peer", fail.Peer(err))
	switch {
	case e.callerCtx.Err() != nil:
		x.metrics.Count(metric.Requests, "outcome", "caller_gone")
		event.CallerDisconnected.Log(x.log, l...)
	case errorx.IsOfType(err, fail.Interrupted), errorx.IsOfType(err, fail.Unknown):
		x.metrics.Count(metric.Requests, "outcome", "failed")
		event.RequestInterrupted.Log(x.log, append(l, "error", err.Error())...)
	default:
		x.metrics.Count(metric.Requests, "outcome", "refused")
		x.metrics.Count(metric.Refusals, "reason", fail.Reason(err))
		x.recordPromptSize(e, "refused")
		if s := fail.Shortage(err); s != "" {
			x.metrics.Count(metric.RefusalsByShortage, "short_of", s)
			l = append(l, "short_of", s)
		}
		event.RequestRefused.Log(x.log, append(append(l, x.revisionAttributes()...), "error", err.Error())...)
	}
}

// recordPromptSize records the prompt size of a generation request that has ended.
func (x *Relay) recordPromptSize(e *exchange, outcome string) {
	if e.request.PromptTokens > 0 {
		x.metrics.HistogramOf(metric.PromptTokens, "outcome", outcome).Update(float64(e.request.PromptTokens))
	}
}

// refuseUnread answers q with an error that says that it was not run. The rest of its body is not read.
func (x *Relay) refuseUnread(ctx context.Context, w http.ResponseWriter, q *Request, err error) {
	ctx = context.WithoutCancel(ctx) // the server cancels it where a read has failed, though the caller may be there
	e := &exchange{callerCtx: ctx, relay: x, request: q, writer: w}
	w.Header().Set("Connection", "close")
	x.recordOutcome(e, err)
	e.writeFailure(err)
}

// revisionAttributes returns log attributes with the revisions on which a decision was based and the
// age of the box's view of them.
func (x *Relay) revisionAttributes() []any {
	r := x.view.Revisions()
	return []any{
		"configuration", r[resource.SourceConfiguration], "upstreams", revision.Version(r[resource.SourceUpstreams]),
		"view_age_ms", x.ViewAge().Milliseconds(),
	}
}

// leavingError returns the error for a request that is refused because the box is leaving. Its
// caller may retry at retryAt, to reach another box.
func leavingError(retryAt time.Time) error {
	return fail.WithRetryAt(fail.New(fail.NotRun, clientOrigin("accept"), "box_leaving", "this box is leaving"), retryAt)
}

// pickService picks one of a route's services at random, according to their weights.
func pickService(s *resource.RouteSpec) string {
	sum := 0
	for _, v := range s.Services {
		sum += v.Weight
	}
	if sum <= 0 {
		return s.Services[0].Name
	}
	n := rand.IntN(sum)
	for _, v := range s.Services {
		if n -= v.Weight; n < 0 {
			return v.Name
		}
	}
	return s.Services[0].Name
}

func clientOrigin(step string) fail.Origin {
	return fail.Origin{Peer: "client", Step: step}
}
