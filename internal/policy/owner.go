package policy

import (
	"time"
)

// Owner decides which work may start at one upstream, and in which order.
//
// It runs on the box that owns the upstream, and keeps no durable state. A new owner gets the running
// work from the boxes that relay it, and counts the memory in the upstream's report that this work
// does not account for. It starts nothing until it has a report or its grace period has passed.
type Owner struct {
	// Evacuated makes the owner refuse all new work while the upstream's hall is evacuated.
	Evacuated bool
	// StartedAtMS is when the upstream started, in Unix milliseconds; 0 if unknown.
	StartedAtMS int64
	// Leaving makes the owner refuse all new work because the upstream is leaving.
	Leaving bool
	// LeavingReported is whether the upstream itself reported that it is leaving. Boxes that get this
	// from the owner trust it over the upstream's entry.
	LeavingReported bool
	// OnUnused, if set, is called when a reservation ends without an output token, with the time for
	// which it was held.
	OnUnused func(held time.Duration)
	// Upstream is the upstream's name.
	Upstream string

	capacity          Capacity
	batchLimit        float64   // generations that keep the time between tokens at its target
	forecast          forecast  // of all running generations
	forecastAt        time.Time // when forecast was last recomputed
	unaccountedTokens int       // tokens in use according to the report, but not by known generations
	graceEnds         time.Time // until then nothing starts without a report
	lengths           *Lengths
	maxQueued         int
	lastSequence      uint64 // of queue entries
	queue             *queue
	prefillingTokens  int // prompt tokens of generations without an output token
	report            Report
	running           map[string]*runningWork // by id
	shares            *shares
	stalledCount      int         // number of stalled generations
	recentStarts      []time.Time // within the last second, if starts are limited
	tune              Tuning
	usedTokens        int       // by known generations
	z                 float64   // standard deviations of the forecast that are kept free
	zAt               time.Time // when z last decayed
	lastSweep         time.Time
}

const (
	maxForecastAge     = 250 * time.Millisecond // until the forecast is recomputed
	gracePeriod        = 3 * time.Second        // for the first report to arrive at a new owner
	defaultMaxQueued   = 10_000                 // pieces of work
	minSlackShare      = 0.25                   // share of the time to its deadline that work may wait, however long its generation
	reservationTimeout = 2 * time.Second        // until a start must be confirmed
	silenceTimeout     = 10 * time.Second       // until a running generation without progress reports is dropped
	stallSteps         = 12                     // steps without a token after which a generation counts as stalled
	minStallTimeout    = 700 * time.Millisecond // lower bound of the time for stallSteps
	// firstTokenStallTimeout applies before the first token instead: under mixed load, engines prefill
	// half of the prompts within 0.6 s and 99 in 100 within 2 s.
	firstTokenStallTimeout = 2 * time.Second
	sweepInterval          = 200 * time.Millisecond // between two walks over the whole queue
	urgentClassBoost       = 2                      // classes by which urgent work moves ahead; cheaper work still precedes it
	// Work becomes urgent before the latest start that meets its deadline, by urgentDurations times
	// its expected duration plus urgentSlackShare of the time from its arrival to its deadline.
	urgentDurations     = 2
	urgentSlackShare    = 0.18
	urgentReserveFactor = 0.5 // share of the reserve against costly work that still applies to urgent work
	usableShare         = 0.9 // of KV memory in use at a busy engine
)

// OwnerOption sets an option of an Owner.
type OwnerOption func(*Owner)

// NewOwner returns the owner of an upstream whose grace period begins now.
func NewOwner(upstream string, c Capacity, l *Lengths, now time.Time, options ...OwnerOption) *Owner {
	o := &Owner{
		Upstream: upstream, capacity: c, batchLimit: float64(c.MaxBatch), graceEnds: now.Add(gracePeriod),
		lengths: l, maxQueued: defaultMaxQueued, queue: newQueue(), running: make(map[string]*runningWork),
		shares: newShares(), tune: DefaultTuning(), zAt: now,
	}
	for _, x := range options {
		x(o)
	}
	o.z = o.tune.ZMin
	return o
}

// WithMaxQueued bounds the length of the queue.
func WithMaxQueued(n int) OwnerOption {
	return func(o *Owner) { o.maxQueued = n }
}

// WithPredecessor makes the owner assume that another box has just started as many generations as
// are allowed within a second.
func WithPredecessor() OwnerOption {
	return func(o *Owner) {
		for range int(o.capacity.MaxStartsPerSecond) {
			o.recentStarts = append(o.recentStarts, o.zAt)
		}
	}
}

// WithTuning replaces the default tuning.
func WithTuning(t Tuning) OwnerOption {
	return func(o *Owner) { o.tune = t }
}

// Backlog returns the queued work, in seconds of engine time.
func (o *Owner) Backlog() float64 {
	return o.queue.totalCost()
}

// Cancel removes work from the queue that its caller has given up, and refunds its workspace.
func (o *Owner) Cancel(id string, now time.Time) {
	if e := o.queue.remove(id); e != nil {
		o.shares.refund(e.work, e.charge)
		o.shares.leave(e.work, now)
	}
}

// Dispatch returns start and refuse verdicts for queued work that are due now.
func (o *Owner) Dispatch(now time.Time) []Answer {
	o.releaseExpired(now)
	l := o.sweep(now)
	for e := o.queue.first(); e != nil && o.fits(e, now); e = o.queue.first() {
		o.queue.remove(e.work.ID)
		o.shares.leave(e.work, now)
		o.start(e, now)
		l = append(l, Answer{ID: e.work.ID, Verdict: VerdictStart})
	}
	return l
}

// Finish records that a generation no longer runs and has produced so many tokens; ended is false if
// it was cut off before its natural end, so that the tokens must not count as an output length.
func (o *Owner) Finish(id string, produced int, ended bool, now time.Time) {
	r := o.running[id]
	if r == nil {
		return
	}
	reservedAt := r.lastTokenAt
	o.advance(r, produced, now)
	if ended {
		o.lengths.Observe(r.key, produced, produced, true)
	}
	if produced == 0 {
		o.reportUnused(now.Sub(reservedAt))
	}
	o.release(id, r)
}

// HandleRestart drops the confirmed generations after a restart of the upstream, which lost them.
func (o *Owner) HandleRestart() {
	for id, r := range o.running {
		if r.confirmed {
			o.release(id, r)
		}
	}
	o.report = Report{}
}

// IsRunning reports whether a generation holds a reservation or runs.
func (o *Owner) IsRunning(id string) bool {
	return o.running[id] != nil
}

// Load returns the load of the upstream that is sent along with every answer.
func (o *Owner) Load(now time.Time) Load {
	l := Load{
		AsOf: now, StartedAtMS: o.StartedAtMS, UsedTokens: o.usedTokens, Leaving: o.LeavingReported, PeakShare: o.peak(&forecast{}) / float64(o.capacity.KVTokens),
		PrefillTokens: o.prefillingTokens, Upstream: o.Upstream,
	}
	if o.queue.len() == 0 {
		return l
	}
	for c, cost := range classMaxCosts {
		l.Backlog[c] = o.queue.costBefore(order{class: costClass(cost), time: o.orderTime(cost, now)})
	}
	return l
}

// Progress records how many tokens a running generation has produced.
func (o *Owner) Progress(id string, produced int, now time.Time) {
	if r := o.running[id]; r != nil {
		o.advance(r, produced, now)
	}
}

// Queued returns the length of the queue.
func (o *Owner) Queued() int {
	return o.queue.len()
}

// Register adds work that is already running to a new owner.
func (o *Owner) Register(w *Work, produced int, now time.Time) {
	if o.running[w.ID] == nil {
		o.Cancel(w.ID, now)
		e := &entry{key: KeyOf(w), work: w}
		e.estimate = o.lengths.estimate(e.key, w.Prompt, w.MaxTokens)
		o.start(e, now)
		r := o.running[w.ID]
		r.produced = produced
		if produced > 0 {
			o.markPrefilled(r)
		}
		o.usedTokens += produced
		o.unaccountedTokens = max(0, o.unaccountedTokens-w.Prompt-produced)
	}
	o.advance(o.running[w.ID], produced, now)
}

// RequestPlace requests a place for w.
//
// It is idempotent: a further request for the same work gets the same verdict while that stands, so a
// caller that has lost an answer repeats its request.
func (o *Owner) RequestPlace(w *Work, now time.Time) Answer {
	if r := o.running[w.ID]; r != nil {
		r.expiresAt = now.Add(reservationTimeout)
		return Answer{ID: w.ID, Verdict: VerdictStart}
	}
	if o.queue.byID[w.ID] != nil {
		return Answer{ID: w.ID, Verdict: VerdictQueue}
	}
	e := o.newEntry(w, now)
	if a := o.refusal(e, now); a.Verdict == VerdictRefuse {
		o.shares.refund(w, e.charge)
		o.shares.leave(w, now)
		return a
	}
	if first := o.queue.first(); (first == nil || e.order.before(first.order)) && o.fits(e, now) {
		o.shares.leave(w, now)
		o.start(e, now)
		return Answer{ID: w.ID, Verdict: VerdictStart}
	}
	o.queue.insert(e)
	return Answer{ID: w.ID, Verdict: VerdictQueue}
}

// Running returns how many generations hold a reservation or run.
func (o *Owner) Running() int {
	return len(o.running)
}

// SetReport stores the upstream's own report. Preemptions since the last one raise the safety margin.
func (o *Owner) SetReport(r Report, now time.Time) {
	if n := r.Preemptions - o.report.Preemptions; n > 0 && !o.report.AsOf.IsZero() {
		o.decayZ(now)
		o.z = min(o.tune.ZMax, o.z+o.tune.ZPreemption*float64(n))
	}
	o.report = r
	o.adjustBatchLimit(r)
	o.unaccountedTokens = max(0, r.UsedTokens-o.usedTokensAt(r.AsOf, now))
}

// adjustBatchLimit lowers the batch limit if steps take longer than their target, and otherwise
// raises it by one generation a report.
func (o *Owner) adjustBatchLimit(r Report) {
	if r.StepSeconds > o.tune.TargetStepSeconds && r.Running > 0 {
		o.batchLimit = min(o.batchLimit, max(1, float64(r.Running)*o.tune.TargetStepSeconds/r.StepSeconds))
		return
	}
	o.batchLimit = min(float64(o.capacity.MaxBatch), o.batchLimit+1)
}

// decayZ lets z fall back towards its minimum for the time since the last call.
func (o *Owner) decayZ(now time.Time) {
	s := now.Sub(o.zAt).Seconds()
	o.zAt = now
	o.z = max(o.tune.ZMin, o.z-(o.z-o.tune.ZMin)*min(1, s*o.tune.ZDecayPerSecond))
}

// stepSeconds returns the reported duration of a step, or a default.
func (o *Owner) stepSeconds() float64 {
	if o.report.StepSeconds > 0 {
		return o.report.StepSeconds
	}
	return DefaultStepSeconds
}
