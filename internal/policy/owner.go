package policy

import (
	"cmp"
	"maps"
	"slices"
	"time"
)

// Owner decides what may start at one upstream, and in which order.
//
// It is kept by the box that owns the upstream. It keeps no durable state: a
// new owner is told of running work by the boxes that hold it, counts what the
// upstream's report shows beyond that, and admits nothing until it has a report
// or its grace has passed.
type Owner struct {
	// Leaving refuses all new work.
	Leaving bool
	// Upstream is the upstream's name.
	Upstream string

	capacity    Capacity
	batch       float64   // generations that keep the time between tokens at its target
	forecast    forecast  // of all running generations
	forecastAt  time.Time // when it was made from scratch
	foreign     int       // tokens in use that no known generation accounts for
	graceEnds   time.Time
	lengths     *Lengths
	maxQueued   int
	numbers     uint64
	queue       *queue
	reading     int // tokens of prompts of generations that have no token yet
	report      Report
	running     map[string]*running
	shares      *shares
	stalled     int
	tune        Tuning
	usedTokens  int // by known generations
	z           float64
	zAt         time.Time
	latestSweep time.Time
}

// running is a generation that holds a reservation or runs.
type running struct {
	confirmed bool
	deadline  time.Time // by which the next word of it must come
	forecast  forecast
	key       Key
	movedAt   time.Time // when it last produced a token
	produced  int
	stalled   bool
	work      *Work
}

const (
	forecastAge       = 250 * time.Millisecond
	gracePeriod       = 3 * time.Second
	maxQueuedDefault  = 10_000
	minSlackShare     = 0.25 // of the time to its deadline that work may wait, however long it is
	reservationPeriod = 2 * time.Second
	silencePeriod     = 10 * time.Second
	stallSteps        = 12 // steps without a token after which a generation counts as stalled
	stallFloor        = 700 * time.Millisecond
	// firstTokenFloor is the same before the first token: on the users' sites half of
	// the prompts were read within 0.6 s, 99 in 100 within 2 s.
	firstTokenFloor = 2 * time.Second
	sweepPeriod     = 200 * time.Millisecond
	urgentClasses   = 2    // by which urgent work goes before its class: what is cheaper still goes first
	urgentDurations = 2    // expected durations before it must start, and
	urgentShare     = 0.18 // of the time to its deadline, before it must start, that makes work urgent
	urgentReserve   = 0.5  // of the memory kept free of costly work that is kept free of it once it is urgent
	usableShare     = 0.9  // of memory that is in use on a crowded engine
)

// OwnerOption sets one thing of an Owner.
type OwnerOption func(*Owner)

// NewOwner returns the owner of an upstream, as of now.
func NewOwner(upstream string, c Capacity, l *Lengths, now time.Time, options ...OwnerOption) *Owner {
	o := &Owner{
		Upstream: upstream, capacity: c, batch: float64(c.MaxBatch), graceEnds: now.Add(gracePeriod),
		lengths: l, maxQueued: maxQueuedDefault, queue: newQueue(), running: make(map[string]*running),
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
		r.deadline = now.Add(reservationPeriod)
		return Answer{ID: w.ID, Verdict: VerdictStart}
	}
	if o.queue.byID[w.ID] != nil {
		return Answer{ID: w.ID, Verdict: VerdictQueue}
	}
	e := o.entry(w, now)
	if a := o.refusal(e, now); a.Verdict == VerdictRefuse {
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
	return o.queue.total()
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
	o.drop(id, r)
}

// Knows reports whether the owner knows a generation that runs.
func (o *Owner) Knows(id string) bool {
	return o.running[id] != nil
}

// Leave takes waiting work out of the queue; the caller has given up on it.
func (o *Owner) Leave(id string, now time.Time) {
	if e := o.queue.remove(id); e != nil {
		o.shares.leave(e.work, now)
	}
}

// Load returns what is told with every answer.
func (o *Owner) Load(now time.Time) Load {
	l := Load{AsOf: now, Held: o.usedTokens, Leaving: o.Leaving, Peak: o.peak(&forecast{}) / float64(o.capacity.KVTokens), Upstream: o.Upstream}
	if o.queue.len() == 0 {
		return l
	}
	for c, cost := range classCosts {
		l.Ahead[c] = o.queue.ahead(order{class: classOf(cost), time: o.arrivalOrder(cost, now)})
	}
	return l
}

// Next returns the waiting work that may start now, or that is refused now.
func (o *Owner) Next(now time.Time) []Answer {
	o.expire(now)
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
		o.Leave(w.ID, now)
		e := &entry{key: KeyOf(w), work: w}
		e.expectation = o.lengths.expect(e.key, w.Prompt, w.MaxTokens)
		o.start(e, now)
		r := o.running[w.ID]
		r.produced = produced
		if produced > 0 {
			o.reading -= w.Prompt
		}
		o.usedTokens += produced
		o.foreign = max(0, o.foreign-w.Prompt-produced)
	}
	o.advance(o.running[w.ID], produced, now)
}

// Report takes in the upstream's own report.
func (o *Owner) Report(r Report, now time.Time) {
	if n := r.Preemptions - o.report.Preemptions; n > 0 && !o.report.AsOf.IsZero() {
		o.decay(now)
		o.z = min(o.tune.ZMax, o.z+o.tune.ZPreemption*float64(n))
	}
	o.report = r
	o.adjustBatch(r)
	o.foreign = max(0, r.Used-o.usedAt(r.AsOf, now))
}

// Restarted says that the upstream runs anew and has lost all it ran.
func (o *Owner) Restarted() {
	for id, r := range o.running {
		if r.confirmed {
			o.drop(id, r)
		}
	}
	o.report = Report{}
}

// Running returns how many generations hold a reservation or run.
func (o *Owner) Running() int {
	return len(o.running)
}

// adjustBatch lowers the cap on the batch where steps take longer than their
// target, and raises it again slowly.
func (o *Owner) adjustBatch(r Report) {
	if r.StepSeconds > o.tune.StepTarget && r.Running > 0 {
		o.batch = min(o.batch, max(1, float64(r.Running)*o.tune.StepTarget/r.StepSeconds))
		return
	}
	o.batch = min(float64(o.capacity.MaxBatch), o.batch+1)
}

// advance takes in how far a generation is.
func (o *Owner) advance(r *running, produced int, now time.Time) {
	r.deadline = now.Add(silencePeriod)
	if produced > r.produced {
		if r.produced == 0 {
			o.reading -= r.work.Prompt
		}
		o.lengths.Observe(r.key, r.produced, produced, false)
		o.usedTokens += produced - r.produced
		r.produced = produced
		r.movedAt = now
		o.setStalled(r, false)
	} else if now.Sub(r.movedAt) > o.stallAfter(r) {
		o.setStalled(r, r.confirmed)
	}
	r.confirmed = true
}

func (o *Owner) decay(now time.Time) {
	s := now.Sub(o.zAt).Seconds()
	o.zAt = now
	o.z = max(o.tune.ZMin, o.z-(o.z-o.tune.ZMin)*min(1, s*o.tune.ZDecaySecond))
}

func (o *Owner) drop(id string, r *running) {
	o.setStalled(r, false)
	if r.produced == 0 {
		o.reading -= r.work.Prompt
	}
	o.usedTokens -= r.work.Prompt + r.produced
	o.forecast.add(&r.forecast, -1)
	delete(o.running, id)
}

// arrivalOrder returns the time by which work that arrives now is ordered
// within its class. Cheap work goes oldest first. Of costly work the newest goes
// first, so that under overload most of it starts at once and some of it waits,
// until it is urgent, in place of all of it waiting long.
func (o *Owner) arrivalOrder(cost float64, now time.Time) int64 {
	if cost > o.tune.NewestFirst {
		return -now.UnixNano()
	}
	return now.UnixNano()
}

// entry returns w with its cost and its place in the order.
func (o *Owner) entry(w *Work, now time.Time) *entry {
	e := &entry{key: KeyOf(w), work: w}
	e.expectation = o.lengths.expect(e.key, w.Prompt, w.MaxTokens)
	e.cost = o.cost(&e.expectation)
	slack := w.Deadline.Sub(w.Arrived)
	duration := seconds(e.expectation.tokens * o.step())
	e.latest = w.Deadline.Add(-min(duration, slack-time.Duration(minSlackShare*float64(slack))))
	e.urgentAt = e.latest.Add(-urgentDurations*duration - time.Duration(urgentShare*float64(slack)))
	o.numbers++
	t := o.shares.enter(w, e.cost, now)
	lead := t.Sub(w.Arrived).Nanoseconds()
	e.order = order{class: classOf(e.cost), number: o.numbers, priority: w.Priority, time: o.arrivalOrder(e.cost, w.Arrived) + lead}
	return e
}

// cost returns the seconds of the engine's time that a generation takes up:
// its share of the memory or of the batch, whichever is the scarcer.
func (o *Owner) cost(e *expectation) float64 {
	steps := max(e.area/(usableShare*float64(o.capacity.KVTokens)), e.tokens/float64(o.capacity.MaxBatch))
	return steps * o.step()
}

// expire drops reservations that were not used and generations of which
// nothing was heard; what still runs of them shows in the upstream's report.
func (o *Owner) expire(now time.Time) {
	for id, r := range o.running {
		if now.After(r.deadline) {
			o.drop(id, r)
		}
	}
}

// fits reports whether e may start now.
func (o *Owner) fits(e *entry, now time.Time) bool {
	if o.Leaving || (o.report.AsOf.IsZero() && now.Before(o.graceEnds)) {
		return false
	}
	if len(o.running) == 0 && o.foreign == 0 {
		return true
	}
	if o.stalled > 0 || float64(len(o.running)+1) > o.batch || o.readsEnough(e) {
		return false
	}
	o.refresh(now)
	o.decay(now)
	c := float64(o.capacity.KVTokens)
	used := float64(o.usedTokens+o.foreign+e.work.Prompt) + float64(len(o.running))
	reserve := o.tune.CostReserve * e.cost / (e.cost + o.tune.ReserveHalf)
	if e.order.urgent {
		reserve *= urgentReserve
	}
	c *= 1 - reserve
	return used <= o.tune.MaxUsed*c && o.peak(&e.expectation.forecast) <= c
}

// peak returns the predicted peak of memory in use with g added, in tokens.
func (o *Owner) peak(g *forecast) float64 {
	return o.forecast.peak(g, float64(o.usedTokens), o.z) + float64(o.foreign)
}

// readsEnough reports whether so many prompts are being read that e's would come late.
func (o *Owner) readsEnough(e *entry) bool {
	return o.capacity.ReadingMost > 0 && o.reading > 0 && o.reading+e.work.Prompt > o.capacity.ReadingMost
}

// refresh makes the forecast from scratch once it has aged.
func (o *Owner) refresh(now time.Time) {
	if now.Sub(o.forecastAt) < forecastAge {
		return
	}
	o.forecastAt = now
	o.forecast = forecast{}
	for _, r := range o.running {
		r.forecast = o.lengths.forecast(r.key, r.work.Prompt, r.produced, r.work.MaxTokens)
		o.forecast.add(&r.forecast, 1)
	}
}

// refusal returns a refusal where e can not be taken in.
func (o *Owner) refusal(e *entry, now time.Time) Answer {
	no := func(r Reason, at time.Time) Answer {
		return Answer{ID: e.work.ID, Reason: r, RetryAt: at, Verdict: VerdictRefuse}
	}
	wait := o.queue.ahead(e.order)
	switch {
	case o.Leaving:
		return no(ReasonLeaving, now)
	case e.work.Prompt+1 > o.capacity.KVTokens:
		return no(ReasonTooLarge, time.Time{})
	case !e.work.Deadline.After(now):
		return no(ReasonDeadline, now)
	case o.queue.len() >= o.maxQueued:
		return no(ReasonQueueFull, now.Add(seconds(o.queue.total())))
	case wait > 0 && now.Add(seconds(wait)).After(e.latest):
		return no(ReasonDeadline, now.Add(seconds(wait)))
	}
	return Answer{}
}

func (o *Owner) setStalled(r *running, stalled bool) {
	if r.stalled == stalled {
		return
	}
	r.stalled = stalled
	if stalled {
		o.stalled++
		return
	}
	o.stalled--
}

// stallAfter returns after how long without a token a generation counts as stalled.
// Before its first token its prompt is being read, which takes longer.
func (o *Owner) stallAfter(r *running) time.Duration {
	if r.produced == 0 {
		return firstTokenFloor
	}
	return max(stallFloor, seconds(stallSteps*o.step()))
}

func (o *Owner) start(e *entry, now time.Time) {
	r := &running{deadline: now.Add(reservationPeriod), forecast: e.expectation.forecast, key: e.key, movedAt: now, work: e.work}
	o.running[e.work.ID] = r
	o.reading += e.work.Prompt
	o.usedTokens += e.work.Prompt
	o.forecast.add(&r.forecast, 1)
}

func (o *Owner) step() float64 {
	if o.report.StepSeconds > 0 {
		return o.report.StepSeconds
	}
	return DefaultStepSeconds
}

// sweep refuses, now and not later, waiting work whose deadline can no longer
// be met, in the order in which it arrived, and puts first what is urgent.
func (o *Owner) sweep(now time.Time) []Answer {
	if now.Sub(o.latestSweep) < sweepPeriod {
		return nil
	}
	o.latestSweep = now
	var late, urgent []*entry
	for e := range maps.Values(o.queue.byID) {
		switch {
		case o.Leaving || now.After(e.latest):
			late = append(late, e)
		case !e.order.urgent && now.After(e.urgentAt):
			urgent = append(urgent, e)
		}
	}
	for _, e := range urgent {
		o.queue.remove(e.work.ID)
		e.order = order{class: max(0, e.order.class-urgentClasses), number: e.order.number, priority: e.order.priority, time: e.latest.UnixNano(), urgent: true}
		o.queue.insert(e)
	}
	slices.SortFunc(late, func(a, b *entry) int { return cmp.Compare(a.order.number, b.order.number) })
	var l []Answer
	for _, e := range late {
		o.Leave(e.work.ID, now)
		a := Answer{ID: e.work.ID, Reason: ReasonDeadline, RetryAt: now.Add(seconds(o.queue.total())), Verdict: VerdictRefuse}
		if o.Leaving {
			a.Reason, a.RetryAt = ReasonLeaving, now
		}
		l = append(l, a)
	}
	return l
}

// usedAt returns the tokens that known generations held at time t.
func (o *Owner) usedAt(t, now time.Time) int {
	grown := int(now.Sub(t).Seconds() / o.step())
	n := 0
	for _, r := range o.running {
		if r.confirmed {
			n += r.work.Prompt + max(0, r.produced-grown)
		}
	}
	return n
}
