package policy

import (
	"time"
)

// Owner decides what may start at one upstream, and in which order.
//
// It is kept by the box that owns the upstream. It keeps no durable state: a
// new owner is told of running work by the boxes that hold it, counts what the
// upstream's report shows beyond that, and admits nothing until it has a report
// or its grace has passed.
type Owner struct {
	// Evacuated refuses all new work, until the hall is taken back.
	Evacuated bool
	// StartedAtMS is when the upstream started, in Unix milliseconds; 0 where that is not told.
	StartedAtMS int64
	// Leaving refuses all new work.
	Leaving bool
	// LeavingReported tells that the upstream said itself that it is leaving: boxes that hear of it from
	// here believe it, whatever its entry says.
	LeavingReported bool
	// Upstream is the upstream's name.
	Upstream string

	capacity          Capacity
	batchLimit        float64   // generations that keep the time between tokens at its target
	forecast          forecast  // of all running generations
	forecastAt        time.Time // when it was made from scratch
	unaccountedTokens int       // tokens in use that no known generation accounts for
	graceEnds         time.Time
	lengths           *Lengths
	maxQueued         int
	lastSequence      uint64
	queue             *queue
	prefilling        int // tokens of prompts of generations that have no token yet
	report            Report
	running           map[string]*runningWork
	shares            *shares
	stalled           int
	recentStarts      []time.Time // of the last second, where they are bounded
	tune              Tuning
	usedTokens        int // by known generations
	z                 float64
	zAt               time.Time
	lastSweep         time.Time
}

const (
	maxForecastAge     = 250 * time.Millisecond
	gracePeriod        = 3 * time.Second
	defaultMaxQueued   = 10_000
	minSlackShare      = 0.25 // of the time to its deadline that work may wait, however long it is
	reservationTimeout = 2 * time.Second
	silenceTimeout     = 10 * time.Second
	stallSteps         = 12 // steps without a token after which a generation counts as stalled
	minStallTimeout    = 700 * time.Millisecond
	// firstTokenStallTimeout is the same before the first token: under mixed load half of
	// the prompts were read within 0.6 s, 99 in 100 within 2 s.
	firstTokenStallTimeout = 2 * time.Second
	sweepInterval          = 200 * time.Millisecond
	urgentClassBoost       = 2    // by which urgent work goes before its class: what is cheaper still goes first
	urgentDurations        = 2    // expected durations before it must start, and
	urgentSlackShare       = 0.18 // of the time to its deadline, before it must start, that makes work urgent
	urgentReserveFactor    = 0.5  // of the memory kept free of costly work that is kept free of it once it is urgent
	usableShare            = 0.9  // of memory that is in use on a crowded engine
)

// OwnerOption sets one thing of an Owner.
type OwnerOption func(*Owner)

// NewOwner returns the owner of an upstream, as of now.
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

// WithMaxQueued bounds the work that waits.
func WithMaxQueued(n int) OwnerOption {
	return func(o *Owner) { o.maxQueued = n }
}

// WithPredecessor has the owner assume that another box has just started as many generations as are
// allowed in a second.
func WithPredecessor() OwnerOption {
	return func(o *Owner) {
		for range int(o.capacity.MaxStartsPerSecond) {
			o.recentStarts = append(o.recentStarts, o.zAt)
		}
	}
}

// WithTuning sets the constants of the decisions.
func WithTuning(t Tuning) OwnerOption {
	return func(o *Owner) { o.tune = t }
}

// Ask asks for a place for w.
//
// A second question about the same work gets the same answer while the first
// one stands, so a lost answer is settled by asking again.
func (o *Owner) Ask(w *Work, now time.Time) Answer {
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

// Backlog returns the seconds of the engine's time that wait.
func (o *Owner) Backlog() float64 {
	return o.queue.totalCost()
}

// Finish says that a generation has ended, and where; ended is false where it
// was cut off before its own end.
func (o *Owner) Finish(id string, produced int, ended bool, now time.Time) {
	r := o.running[id]
	if r == nil {
		return
	}
	o.advance(r, produced, now)
	if ended {
		o.lengths.Observe(r.key, produced, produced, true)
	}
	o.release(id, r)
}

// IsRunning reports whether the owner knows a generation that runs.
func (o *Owner) IsRunning(id string) bool {
	return o.running[id] != nil
}

// Cancel takes waiting work out of the queue; the caller has given up on it.
func (o *Owner) Cancel(id string, now time.Time) {
	if e := o.queue.remove(id); e != nil {
		o.shares.refund(e.work, e.charge)
		o.shares.leave(e.work, now)
	}
}

// Load returns what is told with every answer.
func (o *Owner) Load(now time.Time) Load {
	l := Load{
		AsOf: now, StartedAtMS: o.StartedAtMS, UsedTokens: o.usedTokens, Leaving: o.LeavingReported, PeakShare: o.peak(&forecast{}) / float64(o.capacity.KVTokens),
		PrefillTokens: o.prefilling, Upstream: o.Upstream,
	}
	if o.queue.len() == 0 {
		return l
	}
	for c, cost := range classMaxCosts {
		l.Backlog[c] = o.queue.costBefore(order{class: costClass(cost), time: o.orderTime(cost, now)})
	}
	return l
}

// Dispatch returns the waiting work that may start now, or that is refused now.
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

// Progress says how many tokens a running generation has produced.
func (o *Owner) Progress(id string, produced int, now time.Time) {
	if r := o.running[id]; r != nil {
		o.advance(r, produced, now)
	}
}

// Queued returns how much work waits.
func (o *Owner) Queued() int {
	return o.queue.len()
}

// Register tells a new owner of work that already runs.
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

// SetReport takes in the upstream's own report.
func (o *Owner) SetReport(r Report, now time.Time) {
	if n := r.Preemptions - o.report.Preemptions; n > 0 && !o.report.AsOf.IsZero() {
		o.decayZ(now)
		o.z = min(o.tune.ZMax, o.z+o.tune.ZPreemption*float64(n))
	}
	o.report = r
	o.adjustBatchLimit(r)
	o.unaccountedTokens = max(0, r.UsedTokens-o.usedTokensAt(r.AsOf, now))
}

// HandleRestart says that the upstream runs anew and has lost all it ran.
func (o *Owner) HandleRestart() {
	for id, r := range o.running {
		if r.confirmed {
			o.release(id, r)
		}
	}
	o.report = Report{}
}

// Running returns how many generations hold a reservation or run.
func (o *Owner) Running() int {
	return len(o.running)
}

// adjustBatchLimit lowers the cap on the batch where steps take longer than their
// target, and raises it again slowly.
func (o *Owner) adjustBatchLimit(r Report) {
	if r.StepSeconds > o.tune.TargetStepSeconds && r.Running > 0 {
		o.batchLimit = min(o.batchLimit, max(1, float64(r.Running)*o.tune.TargetStepSeconds/r.StepSeconds))
		return
	}
	o.batchLimit = min(float64(o.capacity.MaxBatch), o.batchLimit+1)
}

func (o *Owner) decayZ(now time.Time) {
	s := now.Sub(o.zAt).Seconds()
	o.zAt = now
	o.z = max(o.tune.ZMin, o.z-(o.z-o.tune.ZMin)*min(1, s*o.tune.ZDecayPerSecond))
}

func (o *Owner) stepSeconds() float64 {
	if o.report.StepSeconds > 0 {
		return o.report.StepSeconds
	}
	return DefaultStepSeconds
}
