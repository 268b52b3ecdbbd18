// Package relay carries requests unchanged to the upstreams of declared routes
// and their answers back: it finds a place, sends, tries again where that is
// allowed, passes streams on event by event, and moves running generations away
// from engines that are leaving.
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

// Relay carries requests. It is safe for concurrent use; Close waits for those
// in progress.
type Relay struct {
	// AnnounceCleared announces to other boxes that a request ran to its end under which upstreams had
	// crashed before; a seam.
	AnnounceCleared func(p policy.Fingerprint)
	// AnnounceCrashes announces to other boxes what this one has learned of crashes; a seam.
	AnnounceCrashes func(l []policy.Crash)
	// RefreshViews makes sure that the box's views are not those of before a pause; a seam.
	RefreshViews func(ctx context.Context)
	// ChooseLocally chooses an engine without asking for a place; a seam.
	ChooseLocally func(w *policy.Work, avoid map[string]bool) *resource.Upstream
	// AnnounceLimit announces to other boxes what an upstream's answer said of its rate limit; a seam.
	AnnounceLimit func(c *ratelimit.Change)
	// RecordLeaving records an upstream's shutdown notice that came with its answer; a seam. By default
	// this box alone knows.
	RecordLeaving func(u *resource.Upstream)
	// HasOtherBoxes reports whether other boxes of the hall take requests; a seam.
	HasOtherBoxes func() bool
	// Place finds an engine for a generation; a seam, set to a placement's method.
	Place func(ctx context.Context, w *policy.Work, avoid map[string]bool) (*placement.Place, error)
	// Turn asks for the turn to move a run; a seam.
	Turn TurnFunc
	// Upstreams are the calls to engines and services; seams.
	Upstreams UpstreamCalls
	// ViewAge returns how long ago the view was known to be current, 0 where it never was; a seam.
	ViewAge func() time.Duration

	coldRate       func(u *resource.Upstream) float64
	background     context.Context // ends with Close; of work that no request waits for
	retryBudget    *budget.Budget
	cancel         context.CancelFunc
	ctx            context.Context // ends with Abort
	frequent       *policy.FrequentRuns
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
	served         *policy.CompletedRuns
	stopBackground context.CancelFunc
	tracker        *placement.Tracker
	view           *resource.View
	workers        sync.WaitGroup

	mutex         sync.Mutex // guards the fields below; no other lock is taken under it
	closing       bool
	streamsEndAt  time.Time // when streams are ended; zero where they are not
	inProgress    int
	trafficEndsAt time.Time        // when callers will no longer be sent here
	streams       map[*stream]bool // of engines
}

// Option sets one thing of a Relay.
type Option func(*Relay)

const (
	// forgetInterval is the time between looks for evidence that is old.
	forgetInterval = 10 * time.Second
	// streamLengthMargin is how much longer than expected a stream may last that a leaving box
	// still takes: callers' estimates are right at the median, and a refused caller is
	// served by another box a moment later. Where there is no other box in the hall, a
	// caller that comes back at once meets this one again.
	streamLengthMargin  = 3
	soleBoxLengthMargin = 1
	// refusedRetryDelay is when a caller may come back where nothing better is known.
	refusedRetryDelay = 500 * time.Millisecond
	// startRetryDelay is when a caller may come back to a box that does not know the
	// configuration yet.
	startRetryDelay = time.Second
	// staleViewRetryDelay is the same for a box that does not know whether its configuration is current.
	staleViewRetryDelay = 2 * time.Second
)

// New returns a relay over the routes and upstreams in v, for a box of a hall.
func New(v *resource.View, t *placement.Tracker, l *policy.Lengths, hall string, m *metric.Set, log *slog.Logger, options ...Option) *Relay {
	ctx, cancel := context.WithCancel(context.Background())
	background, stopBackground := context.WithCancel(ctx)
	x := &Relay{
		AnnounceCleared: func(policy.Fingerprint) {},
		AnnounceCrashes: func([]policy.Crash) {},
		RefreshViews:    func(context.Context) {},
		AnnounceLimit:   func(*ratelimit.Change) {},
		RecordLeaving:   func(u *resource.Upstream) { v.NoteLeaving(u.Name, u.Spec.Born) },
		HasOtherBoxes:   func() bool { return true },
		ViewAge:         func() time.Duration { return 0 },
		coldRate:        func(*resource.Upstream) float64 { return 0 },
		background:      background, stopBackground: stopBackground,
		retryBudget: budget.New(0.2, 0, 10*time.Second, func() int { return 1 }),
		cancel:      cancel, ctx: ctx, frequent: policy.NewFrequentRuns(), quarantine: policy.NewQuarantine(), health: health.New(hall), lengths: l, limiter: ratelimit.NewLimiter(ratelimit.NewLimits()), log: log, meter: meter.New(m), metrics: m,
		placeWait: m.Histogram(metric.PlaceWait), backoffs: health.NewBackoffs(v), served: policy.NewCompletedRuns(), streams: make(map[*stream]bool), tracker: t, view: v,
	}
	x.limiter.RequestPermits = localAsk()
	for _, o := range options {
		o(x)
	}
	m.Gauge(metric.KeptRequests, func() float64 { return float64(x.frequent.Size()) })
	m.Gauge(metric.LimitedUpstreams, func() float64 { return float64(x.limiter.Limits().Size(time.Now())) })
	m.Gauge(metric.Quarantined, func() float64 { return float64(x.quarantine.Size(time.Now())) })
	return x
}

// WithCold bounds how many requests a second a plain upstream gets while that is cold: bears from all
// boxes, by permits, and most from this one. Bears returns 0 where there is no bound.
func WithCold(rate func(u *resource.Upstream) float64, localMax func(u *resource.Upstream) int) Option {
	return func(x *Relay) { x.coldRate, x.health.ColdRateLimit = rate, localMax }
}

// WithRetryBudget bounds the tries beyond the first of each request: in any window,
// for each service and over all boxes, a ratio of its requests and some extra.
func WithRetryBudget(ratio float64, extra float64, window time.Duration, boxes func() int) Option {
	return func(x *Relay) { x.retryBudget = budget.New(ratio, extra, window, boxes) }
}

// WithLimiter sets what gives permits to send to upstreams that have named a rate limit. By default
// this box alone is taken to send to them.
func WithLimiter(m *ratelimit.Limiter) Option {
	return func(x *Relay) { x.limiter = m }
}

// WithBackoffs shares the times for which upstreams want nothing from this box with others that
// send to them.
func WithBackoffs(r *health.Backoffs) Option {
	return func(x *Relay) { x.backoffs = r }
}

// Abort ends the requests in progress and waits for them.
func (x *Relay) Abort() error {
	x.cancel()
	return x.Close()
}

// ClearServed clears suspects of crashes that ran to their ends at other boxes, or before those
// restarted, and announces that.
func (x *Relay) ClearServed() {
	now := time.Now()
	l := x.quarantine.ClearCompleted(func(p policy.Fingerprint) time.Time { return x.frequent.LastRunAt(p, now) })
	if len(l) == 0 {
		return
	}
	for _, c := range l {
		event.RequestCleared.Log(x.log, "asked", c.Suspects[0].Fingerprint.String(), "from", "kept")
	}
	x.markClearancesUsed(l)
	x.AnnounceCrashes(l)
}

// Close refuses new requests and waits for those in progress.
func (x *Relay) Close() error {
	x.mutex.Lock()
	x.closing = true
	x.mutex.Unlock()
	x.stopBackground()
	x.workers.Wait()
	return nil
}

// EndStreamsBy says when streams will be ended of a box that is leaving, and by when
// callers will no longer be sent to it. From now on those streams are refused that would
// hardly end before, so that their callers can go to another box while nothing has run.
// Other requests are still taken: the balancer may have no other box to give them to.
func (x *Relay) EndStreamsBy(end, left time.Time) {
	x.mutex.Lock()
	defer x.mutex.Unlock()
	x.streamsEndAt, x.trafficEndsAt = end, left
}

// Frequent returns what this box knows of requests that ran to their ends at other boxes.
func (x *Relay) Frequent() *policy.FrequentRuns { return x.frequent }

// InProgress returns how many requests are in progress.
func (x *Relay) InProgress() int {
	x.mutex.Lock()
	defer x.mutex.Unlock()
	return x.inProgress
}

// HasConfiguration reports whether the relay has a configuration to go by.
func (x *Relay) HasConfiguration() bool {
	return x.view.Revisions()[resource.SourceConfiguration] > 0
}

// RecordCleared records that requests ran to their ends at another box.
func (x *Relay) RecordCleared(l []policy.Fingerprint, from string) {
	for _, p := range l {
		x.clearCrashes(p, from)
	}
}

// RecordCrashes records what a box announced of crashes, "" for this one, and reports whether that is
// news.
func (x *Relay) RecordCrashes(l []policy.Crash, from string) bool {
	now := time.Now()
	quarantined, anyNew := x.quarantine.Record(l, now)
	for _, p := range quarantined {
		event.RequestQuarantined.Log(x.log, "asked", p.String(), "crashes", x.quarantine.CrashCount(p, now), "from", from)
	}
	if anyNew {
		x.markClearancesUsed(l)
		x.scheduleClearance(l)
		x.runAfter(rand.N(clearanceDelay), x.ClearServed)
	}
	return anyNew
}

// Quarantine returns what this box remembers of crashes.
func (x *Relay) Quarantine() *policy.Quarantine { return x.quarantine }

// Run watches for upstreams that leave, until the context ends.
func (x *Relay) Run(ctx context.Context) {
	t := time.NewTicker(forgetInterval)
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

// Serve carries q and writes its final answer to w. The context ends when the
// caller has gone.
func (x *Relay) Serve(ctx context.Context, w http.ResponseWriter, q *Request) {
	e := &exchange{clientCtx: ctx, relay: x, request: q, writer: w}
	var err error
	if err = x.beginRequest(); err == nil {
		err = e.run()
		x.endRequest()
	}
	x.recordOutcome(e, err)
	if err != nil {
		e.writeFailure(err)
	}
}

// SetRetryBudget changes the bound on tries beyond the first.
func (x *Relay) SetRetryBudget(ratio float64, extra float64, window time.Duration) {
	x.retryBudget.Configure(ratio, extra, window)
}

// Served returns what this box remembers of requests that ran to their ends.
func (x *Relay) Served() *policy.CompletedRuns { return x.served }

// Streams returns how many streams of engines are in progress.
func (x *Relay) Streams() int {
	x.mutex.Lock()
	defer x.mutex.Unlock()
	return len(x.streams)
}

// recordOutcome counts and logs how a request ended.
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
	case e.clientCtx.Err() != nil:
		x.metrics.Count(metric.Requests, "outcome", "caller_gone")
		event.CallerGone.Log(x.log, l...)
	case errorx.IsOfType(err, fail.Interrupted), errorx.IsOfType(err, fail.Unknown):
		x.metrics.Count(metric.Requests, "outcome", "failed")
		event.RequestInterrupted.Log(x.log, append(l, "error", err.Error())...)
	default:
		x.metrics.Count(metric.Requests, "outcome", "refused")
		x.metrics.Count(metric.Refusals, "reason", fail.Reason(err))
		x.recordPromptSize(e, "refused")
		if s := fail.ShortOf(err); s != "" {
			x.metrics.Count(metric.Shortages, "short_of", s)
			l = append(l, "short_of", s)
		}
		event.RequestRefused.Log(x.log, append(append(l, x.revisionAttributes()...), "error", err.Error())...)
	}
}

// recordPromptSize counts the size of the prompt of a request of an engine that has ended.
func (x *Relay) recordPromptSize(e *exchange, outcome string) {
	if e.request.PromptTokens > 0 {
		x.metrics.HistogramOf(metric.PromptTokens, "outcome", outcome).Update(float64(e.request.PromptTokens))
	}
}

// revisionAttributes returns the log attributes that tell by which revisions a request was decided, and how
// old the view of them was.
func (x *Relay) revisionAttributes() []any {
	r := x.view.Revisions()
	return []any{
		"configuration", r[resource.SourceConfiguration], "upstreams", revision.Version(r[resource.SourceUpstreams]),
		"view_age_ms", x.ViewAge().Milliseconds(),
	}
}

// beginRequest counts a request as in progress, unless the relay is closing.
func (x *Relay) beginRequest() error {
	x.mutex.Lock()
	defer x.mutex.Unlock()
	if x.closing {
		return leavingError(time.Now())
	}
	x.inProgress++
	x.workers.Add(1)
	return nil
}

// endRequest counts a request as finished.
func (x *Relay) endRequest() {
	x.mutex.Lock()
	x.inProgress--
	x.mutex.Unlock()
	x.workers.Done()
}

// expectedRemaining returns how many tokens are expected still to come: up to the caller's
// estimate, where there is one, and what was learned beyond it.
func (x *Relay) expectedRemaining(w *policy.Work, made int) int {
	if made < w.Hint {
		return w.Hint - made
	}
	return int(x.lengths.Remaining(policy.KeyOf(w), made, w.MaxTokens))
}

// checkStreamFits returns the refusal of a stream of so many tokens that would hardly end
// while this box serves, or nil.
func (x *Relay) checkStreamFits(tokens int, now time.Time) error {
	x.mutex.Lock()
	end, left := x.streamsEndAt, x.trafficEndsAt
	x.mutex.Unlock()
	if end.IsZero() {
		return nil
	}
	margin, again := time.Duration(streamLengthMargin), now
	if !x.HasOtherBoxes() {
		margin = soleBoxLengthMargin
		if left.After(now) {
			again = left
		}
	}
	if now.Add(margin * x.pace.expectedDuration(tokens)).After(end) {
		return leavingError(again)
	}
	return nil
}

// leavingError returns the refusal of a request because the box is leaving; its caller may
// come back at a time, to another box.
func leavingError(again time.Time) error {
	return fail.WithRetryAt(fail.New(fail.NotRun, clientPlace("accept"), "box_leaving", "this box is leaving"), again)
}

// pickService draws one of a route's services by their shares.
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

func clientPlace(step string) fail.Place {
	return fail.Place{Peer: "client", Step: step}
}
