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
	// Cleared announces to other boxes that a request ran to its end under which upstreams had
	// crashed before; a seam.
	Cleared func(p policy.Fingerprint)
	// Crashed announces to other boxes what this one has learned of crashes; a seam.
	Crashed func(l []policy.Crash)
	// Fresh makes sure that the box's views are not those of before a pause; a seam.
	Fresh func(ctx context.Context)
	// Guess chooses an engine without asking for a place; a seam.
	Guess func(w *policy.Work, avoid map[string]bool) *resource.Upstream
	// Limited announces to other boxes what an upstream's answer said of its rate limit; a seam.
	Limited func(c *ratelimit.Change)
	// Leaving records an upstream's shutdown notice that came with its answer; a seam. By default
	// this box alone knows.
	Leaving func(u *resource.Upstream)
	// Others reports whether other boxes of the hall take requests; a seam.
	Others func() bool
	// Place finds an engine for a generation; a seam, set to a placement's method.
	Place func(ctx context.Context, w *policy.Work, avoid map[string]bool) (*placement.Place, error)
	// Turn asks for the turn to move a run; a seam.
	Turn Turns
	// Upstreams are the calls to engines and services; seams.
	Upstreams Upstreams
	// ViewAge returns how long ago the view was known to be current, 0 where it never was; a seam.
	ViewAge func() time.Duration

	coldBears      func(u *resource.Upstream) float64
	background     context.Context // ends with Close; of work that no request waits for
	budget         *budget.Budget
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
	rests          *health.Backoffs
	served         *policy.CompletedRuns
	stopBackground context.CancelFunc
	tracker        *placement.Tracker
	view           *resource.View
	workers        sync.WaitGroup

	mutex   sync.Mutex // guards the fields below; no other lock is taken under it
	closing bool
	endBy   time.Time // when streams are ended; zero where they are not
	held    int
	leftBy  time.Time        // when callers will no longer be sent here
	streams map[*stream]bool // of engines
}

// Option sets one thing of a Relay.
type Option func(*Relay)

const (
	// forgetEvery is the time between looks for evidence that is old.
	forgetEvery = 10 * time.Second
	// lengthMargin is how much longer than expected a stream may last that a leaving box
	// still takes: callers' estimates are right at the median, and a refused caller is
	// served by another box a moment later. Where there is no other box in the hall, a
	// caller that comes back at once meets this one again.
	lengthMargin = 3
	loneMargin   = 1
	// refusedPeriod is when a caller may come back where nothing better is known.
	refusedPeriod = 500 * time.Millisecond
	// startPeriod is when a caller may come back to a box that does not know the
	// configuration yet.
	startPeriod = time.Second
	// stalePeriod is the same for a box that does not know whether its configuration is current.
	stalePeriod = 2 * time.Second
)

// New returns a relay over the routes and upstreams in v, for a box of a hall.
func New(v *resource.View, t *placement.Tracker, l *policy.Lengths, hall string, m *metric.Set, log *slog.Logger, options ...Option) *Relay {
	ctx, cancel := context.WithCancel(context.Background())
	background, stopBackground := context.WithCancel(ctx)
	x := &Relay{
		Cleared:    func(policy.Fingerprint) {},
		Crashed:    func([]policy.Crash) {},
		Fresh:      func(context.Context) {},
		Limited:    func(*ratelimit.Change) {},
		Leaving:    func(u *resource.Upstream) { v.NoteLeaving(u.Name, u.Spec.Born) },
		Others:     func() bool { return true },
		ViewAge:    func() time.Duration { return 0 },
		coldBears:  func(*resource.Upstream) float64 { return 0 },
		background: background, stopBackground: stopBackground,
		budget: budget.New(0.2, 0, 10*time.Second, func() int { return 1 }),
		cancel: cancel, ctx: ctx, frequent: policy.NewFrequentRuns(), quarantine: policy.NewQuarantine(), health: health.New(hall), lengths: l, limiter: ratelimit.NewLimiter(ratelimit.NewLimits()), log: log, meter: meter.New(m), metrics: m,
		placeWait: m.Histogram(metric.PlaceWait), rests: health.NewBackoffs(v), served: policy.NewCompletedRuns(), streams: make(map[*stream]bool), tracker: t, view: v,
	}
	x.limiter.RequestPermits = localPermits()
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
func WithCold(bears func(u *resource.Upstream) float64, most func(u *resource.Upstream) int) Option {
	return func(x *Relay) { x.coldBears, x.health.ColdRateLimit = bears, most }
}

// WithBudget bounds the tries beyond the first of each request: in any window,
// for each service and over all boxes, a ratio of its requests and some extra.
func WithBudget(ratio float64, extra float64, window time.Duration, boxes func() int) Option {
	return func(x *Relay) { x.budget = budget.New(ratio, extra, window, boxes) }
}

// WithLimiter sets what gives permits to send to upstreams that have named a rate limit. By default
// this box alone is taken to send to them.
func WithLimiter(m *ratelimit.Limiter) Option {
	return func(x *Relay) { x.limiter = m }
}

// WithRests shares the times for which upstreams want nothing from this box with others that
// send to them.
func WithRests(r *health.Backoffs) Option {
	return func(x *Relay) { x.rests = r }
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
	x.markUsed(l)
	x.Crashed(l)
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
	x.endBy, x.leftBy = end, left
}

// Frequent returns what this box knows of requests that ran to their ends at other boxes.
func (x *Relay) Frequent() *policy.FrequentRuns { return x.frequent }

// Held returns how many requests are in progress.
func (x *Relay) Held() int {
	x.mutex.Lock()
	defer x.mutex.Unlock()
	return x.held
}

// Known reports whether the relay has a configuration to go by.
func (x *Relay) Known() bool {
	return x.view.Revisions()[resource.SourceConfiguration] > 0
}

// NoteCleared records that requests ran to their ends at another box.
func (x *Relay) NoteCleared(l []policy.Fingerprint, from string) {
	for _, p := range l {
		x.clear(p, from)
	}
}

// NoteCrashes records what a box announced of crashes, "" for this one, and reports whether that is
// news.
func (x *Relay) NoteCrashes(l []policy.Crash, from string) bool {
	now := time.Now()
	quarantined, news := x.quarantine.Record(l, now)
	for _, p := range quarantined {
		event.RequestQuarantined.Log(x.log, "asked", p.String(), "crashes", x.quarantine.CrashCount(p, now), "from", from)
	}
	if news {
		x.markUsed(l)
		x.vouch(l)
		x.later(rand.N(vouchDelay), x.ClearServed)
	}
	return news
}

// Quarantine returns what this box remembers of crashes.
func (x *Relay) Quarantine() *policy.Quarantine { return x.quarantine }

// Run watches for upstreams that leave, until the context ends.
func (x *Relay) Run(ctx context.Context) {
	t := time.NewTicker(forgetEvery)
	defer t.Stop()
	for {
		c := x.view.Changed()
		x.moveAway()
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
	e := &exchange{client: ctx, relay: x, request: q, writer: w}
	var err error
	if err = x.enter(); err == nil {
		err = e.run()
		x.leave()
	}
	x.account(e, err)
	if err != nil {
		e.fail(err)
	}
}

// SetBudget changes the bound on tries beyond the first.
func (x *Relay) SetBudget(ratio float64, extra float64, window time.Duration) {
	x.budget.Configure(ratio, extra, window)
}

// Served returns what this box remembers of requests that ran to their ends.
func (x *Relay) Served() *policy.CompletedRuns { return x.served }

// Streams returns how many streams of engines are in progress.
func (x *Relay) Streams() int {
	x.mutex.Lock()
	defer x.mutex.Unlock()
	return len(x.streams)
}

// account counts and logs how a request ended.
func (x *Relay) account(e *exchange, err error) {
	now := time.Now()
	l := []any{"request", e.request.ID, "route", e.routeName(), "upstream", e.upstreamName(), "took_ms", now.Sub(e.request.Arrived).Milliseconds(), "tries", e.tries}
	if e.firstIn > 0 {
		l = append(l, "first_ms", e.firstIn.Milliseconds(), "pause_ms", e.longest.Milliseconds())
	}
	if e.request.Prompt > 0 {
		l = append(l, "prompt_tokens", e.request.Prompt)
	}
	if err == nil {
		x.countPrompt(e, "answered")
		x.metrics.Count(metric.Requests, "outcome", "answered")
		event.RequestFinished.Log(x.log, append(l, "status", e.status)...)
		return
	}
	if fail.Reason(err) == reasonQuarantined {
		x.metrics.Count(metric.Refusals, "reason", reasonQuarantined)
	}
	l = append(l, "reason", fail.Reason(err), "step", fail.Step(err), "peer", fail.Peer(err))
	switch {
	case e.client.Err() != nil:
		x.metrics.Count(metric.Requests, "outcome", "caller_gone")
		event.CallerGone.Log(x.log, l...)
	case errorx.IsOfType(err, fail.Interrupted), errorx.IsOfType(err, fail.Unknown):
		x.metrics.Count(metric.Requests, "outcome", "failed")
		event.RequestInterrupted.Log(x.log, append(l, "error", err.Error())...)
	default:
		x.metrics.Count(metric.Requests, "outcome", "refused")
		x.metrics.Count(metric.Refusals, "reason", fail.Reason(err))
		x.countPrompt(e, "refused")
		if s := fail.ShortOf(err); s != "" {
			x.metrics.Count(metric.Shortages, "short_of", s)
			l = append(l, "short_of", s)
		}
		event.RequestRefused.Log(x.log, append(append(l, x.decidedBy()...), "error", err.Error())...)
	}
}

// countPrompt counts the size of the prompt of a request of an engine that has ended.
func (x *Relay) countPrompt(e *exchange, outcome string) {
	if e.request.Prompt > 0 {
		x.metrics.HistogramOf(metric.PromptTokens, "outcome", outcome).Update(float64(e.request.Prompt))
	}
}

// decidedBy returns the log attributes that tell by which revisions a request was decided, and how
// old the view of them was.
func (x *Relay) decidedBy() []any {
	r := x.view.Revisions()
	return []any{
		"configuration", r[resource.SourceConfiguration], "upstreams", revision.Version(r[resource.SourceUpstreams]),
		"view_age_ms", x.ViewAge().Milliseconds(),
	}
}

// enter counts a request as in progress, unless the relay is closing.
func (x *Relay) enter() error {
	x.mutex.Lock()
	defer x.mutex.Unlock()
	if x.closing {
		return leavingError(time.Now())
	}
	x.held++
	x.workers.Add(1)
	return nil
}

// leave counts a request as finished.
func (x *Relay) leave() {
	x.mutex.Lock()
	x.held--
	x.mutex.Unlock()
	x.workers.Done()
}

// left returns how many tokens are expected still to come: up to the caller's
// estimate, where there is one, and what was learned beyond it.
func (x *Relay) left(w *policy.Work, made int) int {
	if made < w.Hint {
		return w.Hint - made
	}
	return int(x.lengths.Remaining(policy.KeyOf(w), made, w.MaxTokens))
}

// refusesStream returns the refusal of a stream of so many tokens that would hardly end
// while this box serves, or nil.
func (x *Relay) refusesStream(tokens int, now time.Time) error {
	x.mutex.Lock()
	end, left := x.endBy, x.leftBy
	x.mutex.Unlock()
	if end.IsZero() {
		return nil
	}
	margin, again := time.Duration(lengthMargin), now
	if !x.Others() {
		margin = loneMargin
		if left.After(now) {
			again = left
		}
	}
	if now.Add(margin * x.pace.expect(tokens)).After(end) {
		return leavingError(again)
	}
	return nil
}

// leavingError returns the refusal of a request because the box is leaving; its caller may
// come back at a time, to another box.
func leavingError(again time.Time) error {
	return fail.WithRetryAt(fail.New(fail.NotRun, clientPlace("accept"), "box_leaving", "this box is leaving"), again)
}

// serviceOf draws one of a route's services by their shares.
func serviceOf(s *resource.RouteSpec) string {
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
