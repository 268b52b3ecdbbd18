package policy

import (
	"cmp"
	"maps"
	"slices"
	"time"
)

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

// closed returns why the upstream gets no new work, or "".
func (o *Owner) closed() Reason {
	switch {
	case o.Evacuated:
		return ReasonEvacuated
	case o.Leaving:
		return ReasonLeaving
	}
	return ""
}

// cost returns the seconds of the engine's time that a generation takes up:
// its share of the memory or of the batch, whichever is the scarcer.
func (o *Owner) cost(e *expectation) float64 {
	steps := max(e.area/(usableShare*float64(o.capacity.KVTokens)), e.tokens/float64(o.capacity.MaxBatch))
	return steps * o.step()
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
	if b := StartBy(w); !b.IsZero() && b.Before(e.latest) {
		e.latest = b
	}
	if !w.TargetAt.IsZero() && !w.Moved {
		e.inTimeBy = w.TargetAt.Add(-readPeriod(w))
	}
	o.numbers++
	t, charge := o.shares.enter(w, e.cost, now)
	e.charge = charge
	lead := t.Sub(w.Arrived).Nanoseconds()
	e.order = order{
		class: classOf(e.cost), large: goesFirst(w) && !e.overdue(now), late: e.overdue(now), number: o.numbers, priority: w.Priority, route: w.RoutePriority,
		time: o.arrivalOrder(e.cost, w.Arrived) + lead,
	}
	if e.order.large {
		e.order.class, e.order.time = 0, e.inTimeBy.UnixNano()+lead
	}
	return e
}

// fits reports whether e may start now.
func (o *Owner) fits(e *entry, now time.Time) bool {
	return o.shortOf(e, now) == ""
}

// goesFirst reports whether w goes before what is not as large while it can be in time,
// whatever its route: nothing starts past it then, so that the room it needs comes together.
// Otherwise each gap is taken by the first that fits in it, and the chance of a place falls
// with the size: under a crowd the largest tenth of short answers was served a quarter as
// often as all, with it four fifths as often, by TestLargePromptsAreServedUnderACrowd.
func goesFirst(w *Work) bool {
	return w.Large && !w.Moved && !w.TargetAt.IsZero()
}

// holds reports whether the memory has room for e.
func (o *Owner) holds(e *entry, now time.Time) bool {
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

// inTimeWaits reports whether work waits that can still be in time. What becomes late beside
// it would go behind it, and behind each that comes after, so that it is better refused: it
// then looks elsewhere, or its caller hears at once when to come back. What was late as it
// came, since it has looked elsewhere before, waits for what nobody else wants.
func (o *Owner) inTimeWaits() bool {
	f := o.queue.first()
	return f != nil && !f.order.late
}

// putFirst moves urgent work ahead in the queue.
func (o *Owner) putFirst(e *entry) {
	o.queue.remove(e.work.ID)
	e.order = order{class: max(0, e.order.class-urgentClasses), large: e.order.large, number: e.order.number, priority: e.order.priority, route: e.order.route, time: e.latest.UnixNano(), urgent: true}
	o.queue.insert(e)
}

// putLast moves work that comes late behind what can still be in time.
func (o *Owner) putLast(e *entry) {
	o.queue.remove(e.work.ID)
	e.order.large, e.order.late, e.order.urgent = false, true, false
	o.queue.insert(e)
}

// readsEnough reports whether so many prompts are being read that e's would come late.
func (o *Owner) readsEnough(e *entry) bool {
	n := toRead(e.work)
	return n > 0 && o.capacity.ReadingMost > 0 && o.reading > 0 && o.reading+n > o.capacity.ReadingMost
}

// refusal returns a refusal where e can not be taken in.
func (o *Owner) refusal(e *entry, now time.Time) Answer {
	no := func(r Reason, at time.Time) Answer {
		return Answer{ID: e.work.ID, Reason: r, RetryAt: at, Verdict: VerdictRefuse}
	}
	wait := o.queue.ahead(e.order)
	switch {
	case o.closed() != "":
		return no(o.closed(), ClosedRetry(o.closed(), now))
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

// refuseLate takes waiting work out of the queue and returns its refusal.
func (o *Owner) refuseLate(e *entry, now time.Time) Answer {
	a := Answer{ID: e.work.ID, Reason: ReasonDeadline, ShortOf: o.shortOf(e, now), Verdict: VerdictRefuse}
	if o.queue.first() != e {
		a.ShortOf = ShortageTurn
	}
	if e.order.late && !now.After(e.latest) {
		a.Reason = ReasonLate
	}
	o.Leave(e.work.ID, now)
	a.RetryAt = now.Add(seconds(o.queue.total()))
	if c := o.closed(); c != "" {
		a.Reason, a.RetryAt = c, ClosedRetry(c, now)
	}
	return a
}

// shortOf returns what e lacks to start now, or "".
func (o *Owner) shortOf(e *entry, now time.Time) Shortage {
	switch {
	case o.closed() != "" || (o.report.AsOf.IsZero() && now.Before(o.graceEnds)):
		return ShortageReport
	case o.startsEnough(now):
		return ShortageStarts
	case len(o.running) == 0 && o.foreign == 0:
		return ""
	case o.stalled > 0:
		return ShortageStalled
	case float64(len(o.running)+1) > o.batch:
		return ShortageBatch
	case o.readsEnough(e):
		return ShortageReading
	case !o.holds(e, now):
		return ShortageMemory
	}
	return ""
}

// StartBy returns when work has to start so that its caller, who goes unless its first
// token has come, is still there for it; zero where it need not.
func StartBy(w *Work) time.Time {
	if w.FirstBy.IsZero() || w.Moved {
		return time.Time{}
	}
	return w.FirstBy.Add(-readPeriod(w))
}

// readPeriod returns how long an engine reads the prompt of w.
func readPeriod(w *Work) time.Duration {
	return seconds(readSeconds * float64(toRead(w)))
}

// startsEnough reports whether so many generations were started within the last second that
// an engine which is cold would bear no more. Engines become cold at any moment and tell it
// late, so that the bound always holds: warm ones read prompts for longer than it takes.
func (o *Owner) startsEnough(now time.Time) bool {
	if o.capacity.StartsMost <= 0 {
		return false
	}
	o.starts = slices.DeleteFunc(o.starts, func(t time.Time) bool { return now.Sub(t) > time.Second })
	return float64(len(o.starts)+1) > o.capacity.StartsMost
}

// sweep refuses, now and not later, waiting work whose deadline can no longer be met, in
// the order in which it arrived, puts first what is urgent, and last what comes late.
func (o *Owner) sweep(now time.Time) []Answer {
	if now.Sub(o.latestSweep) < sweepPeriod {
		return nil
	}
	o.latestSweep = now
	var given, overdue, urgent []*entry
	for e := range maps.Values(o.queue.byID) {
		switch {
		case o.closed() != "" || now.After(e.latest):
			given = append(given, e)
		case e.overdue(now):
			overdue = append(overdue, e)
		case e.mustGoFirst(now):
			urgent = append(urgent, e)
		}
	}
	for _, e := range urgent {
		o.putFirst(e)
	}
	for _, e := range overdue {
		o.putLast(e)
	}
	if o.inTimeWaits() {
		given = append(given, overdue...)
	}
	slices.SortFunc(given, func(a, b *entry) int { return cmp.Compare(a.order.number, b.order.number) })
	var l []Answer
	for _, e := range given {
		l = append(l, o.refuseLate(e, now))
	}
	return l
}

// mustGoFirst reports whether waiting work has become urgent.
func (e *entry) mustGoFirst(now time.Time) bool {
	return !e.order.late && !e.order.urgent && now.After(e.urgentAt)
}

// overdue reports whether waiting work has become late: its first token can no longer come
// by its target.
func (e *entry) overdue(now time.Time) bool {
	return !e.order.late && !e.inTimeBy.IsZero() && now.After(e.inTimeBy)
}
