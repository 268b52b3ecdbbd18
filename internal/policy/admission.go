package policy

import (
	"cmp"
	"maps"
	"slices"
	"time"
)

// orderTime returns the time by which work that arrives now is ordered
// within its class. Cheap work goes oldest first. Of costly work the newest goes
// first, so that under overload most of it starts at once and some of it waits,
// until it is urgent, in place of all of it waiting long.
func (o *Owner) orderTime(cost float64, now time.Time) int64 {
	if cost > o.tune.NewestFirstCost {
		return -now.UnixNano()
	}
	return now.UnixNano()
}

// closedReason returns why the upstream gets no new work, or "".
func (o *Owner) closedReason() Reason {
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
func (o *Owner) cost(e *estimate) float64 {
	steps := max(e.tokenSteps/(usableShare*float64(o.capacity.KVTokens)), e.tokens/float64(o.capacity.MaxBatch))
	return steps * o.stepSeconds()
}

// newEntry returns w with its cost and its place in the order.
func (o *Owner) newEntry(w *Work, now time.Time) *entry {
	e := &entry{key: KeyOf(w), work: w}
	e.estimate = o.lengths.estimate(e.key, w.Prompt, w.MaxTokens)
	e.cost = o.cost(&e.estimate)
	slack := w.Deadline.Sub(w.Arrived)
	duration := seconds(e.estimate.tokens * o.stepSeconds())
	e.latestStart = w.Deadline.Add(-min(duration, slack-time.Duration(minSlackShare*float64(slack))))
	e.urgentAt = e.latestStart.Add(-urgentDurations*duration - time.Duration(urgentSlackShare*float64(slack)))
	if b := LatestStart(w); !b.IsZero() && b.Before(e.latestStart) {
		e.latestStart = b
	}
	if !w.TargetAt.IsZero() && !w.Moved {
		e.targetStart = w.TargetAt.Add(-prefillDuration(w))
	}
	o.lastSequence++
	t, charge := o.shares.enter(w, e.cost, now)
	e.charge = charge
	lead := t.Sub(w.Arrived).Nanoseconds()
	e.order = order{
		class: costClass(e.cost), large: prefersLarge(w) && !e.becameLate(now), late: e.becameLate(now), sequence: o.lastSequence, priority: w.Priority, route: w.RoutePriority,
		time: o.orderTime(e.cost, w.Arrived) + lead,
	}
	if e.order.large {
		e.order.class, e.order.time = 0, e.targetStart.UnixNano()+lead
	}
	return e
}

// fits reports whether e may start now.
func (o *Owner) fits(e *entry, now time.Time) bool {
	return o.shortage(e, now) == ""
}

// prefersLarge reports whether w goes before what is not as large while it can be in time,
// whatever its route: nothing starts past it then, so that the room it needs comes together.
// Otherwise each gap is taken by the first that fits in it, and the chance of a place falls
// with the size: under a crowd the largest tenth of short answers was served a quarter as
// often as all, with it four fifths as often, by TestLargePromptsAreServedUnderACrowd.
func prefersLarge(w *Work) bool {
	return w.Large && !w.Moved && !w.TargetAt.IsZero()
}

// fitsMemory reports whether the memory has room for e.
func (o *Owner) fitsMemory(e *entry, now time.Time) bool {
	o.refreshForecast(now)
	o.decayZ(now)
	c := float64(o.capacity.KVTokens)
	used := float64(o.usedTokens+o.unaccountedTokens+e.work.Prompt) + float64(len(o.running))
	reserve := o.tune.CostReserve * e.cost / (e.cost + o.tune.ReserveHalfCost)
	if e.order.urgent {
		reserve *= urgentReserveFactor
	}
	c *= 1 - reserve
	return used <= o.tune.MaxUsedShare*c && o.peak(&e.estimate.forecast) <= c
}

// peak returns the predicted peak of memory in use with g added, in tokens.
func (o *Owner) peak(g *forecast) float64 {
	return o.forecast.peak(g, float64(o.usedTokens), o.z) + float64(o.unaccountedTokens)
}

// hasOnTimeWork reports whether work waits that can still be in time. What becomes late beside
// it would go behind it, and behind each that comes after, so that it is better refused: it
// then looks elsewhere, or its caller hears at once when to come back. What was late as it
// came, since it has looked elsewhere before, waits for what nobody else wants.
func (o *Owner) hasOnTimeWork() bool {
	f := o.queue.first()
	return f != nil && !f.order.late
}

// promoteUrgent moves urgent work ahead in the queue.
func (o *Owner) promoteUrgent(e *entry) {
	o.queue.remove(e.work.ID)
	e.order = order{class: max(0, e.order.class-urgentClassBoost), large: e.order.large, sequence: e.order.sequence, priority: e.order.priority, route: e.order.route, time: e.latestStart.UnixNano(), urgent: true}
	o.queue.insert(e)
}

// demoteLate moves work that comes late behind what can still be in time.
func (o *Owner) demoteLate(e *entry) {
	o.queue.remove(e.work.ID)
	e.order.large, e.order.late, e.order.urgent = false, true, false
	o.queue.insert(e)
}

// prefillLimitReached reports whether so many prompts are being read that e's would come late.
func (o *Owner) prefillLimitReached(e *entry) bool {
	n := prefillTokens(e.work)
	return n > 0 && o.capacity.MaxPrefillTokens > 0 && o.prefilling > 0 && o.prefilling+n > o.capacity.MaxPrefillTokens
}

// refusal returns a refusal where e can not be taken in.
func (o *Owner) refusal(e *entry, now time.Time) Answer {
	no := func(r Reason, at time.Time) Answer {
		return Answer{ID: e.work.ID, Reason: r, RetryAt: at, Verdict: VerdictRefuse}
	}
	wait := o.queue.costBefore(e.order)
	switch {
	case o.closedReason() != "":
		return no(o.closedReason(), ClosedRetryAt(o.closedReason(), now))
	case e.work.Prompt+1 > o.capacity.KVTokens:
		return no(ReasonTooLarge, time.Time{})
	case !e.work.Deadline.After(now):
		return no(ReasonDeadline, now)
	case o.queue.len() >= o.maxQueued:
		return no(ReasonQueueFull, now.Add(seconds(o.queue.totalCost())))
	case wait > 0 && now.Add(seconds(wait)).After(e.latestStart):
		return no(ReasonDeadline, now.Add(seconds(wait)))
	}
	return Answer{}
}

// refuseQueued takes waiting work out of the queue and returns its refusal.
func (o *Owner) refuseQueued(e *entry, now time.Time) Answer {
	a := Answer{ID: e.work.ID, Reason: ReasonDeadline, ShortOf: o.shortage(e, now), Verdict: VerdictRefuse}
	if o.queue.first() != e {
		a.ShortOf = ShortageTurn
	}
	if e.order.late && !now.After(e.latestStart) {
		a.Reason = ReasonLate
	}
	o.Cancel(e.work.ID, now)
	a.RetryAt = now.Add(seconds(o.queue.totalCost()))
	if c := o.closedReason(); c != "" {
		a.Reason, a.RetryAt = c, ClosedRetryAt(c, now)
	}
	return a
}

// shortage returns what e lacks to start now, or "".
func (o *Owner) shortage(e *entry, now time.Time) Shortage {
	switch {
	case o.closedReason() != "" || (o.report.AsOf.IsZero() && now.Before(o.graceEnds)):
		return ShortageReport
	case o.startLimitReached(now):
		return ShortageStarts
	case len(o.running) == 0 && o.unaccountedTokens == 0:
		return ""
	case o.stalled > 0:
		return ShortageStalled
	case float64(len(o.running)+1) > o.batchLimit:
		return ShortageBatch
	case o.prefillLimitReached(e):
		return ShortagePrefill
	case !o.fitsMemory(e, now):
		return ShortageMemory
	}
	return ""
}

// LatestStart returns when work has to start so that its caller, who goes unless its first
// token has come, is still there for it; zero where it need not.
func LatestStart(w *Work) time.Time {
	if w.FirstBy.IsZero() || w.Moved {
		return time.Time{}
	}
	return w.FirstBy.Add(-prefillDuration(w))
}

// prefillDuration returns how long an engine reads the prompt of w.
func prefillDuration(w *Work) time.Duration {
	return seconds(prefillSecondsPerToken * float64(prefillTokens(w)))
}

// startLimitReached reports whether so many generations were started within the last second that
// an engine which is cold would bear no more. Engines become cold at any moment and tell it
// late, so that the bound always holds: warm ones read prompts for longer than it takes.
func (o *Owner) startLimitReached(now time.Time) bool {
	if o.capacity.MaxStartsPerSecond <= 0 {
		return false
	}
	o.recentStarts = slices.DeleteFunc(o.recentStarts, func(t time.Time) bool { return now.Sub(t) > time.Second })
	return float64(len(o.recentStarts)+1) > o.capacity.MaxStartsPerSecond
}

// sweep refuses, now and not later, waiting work whose deadline can no longer be met, in
// the order in which it arrived, puts first what is urgent, and last what comes late.
func (o *Owner) sweep(now time.Time) []Answer {
	if now.Sub(o.lastSweep) < sweepInterval {
		return nil
	}
	o.lastSweep = now
	var expired, late, urgent []*entry
	for e := range maps.Values(o.queue.byID) {
		switch {
		case o.closedReason() != "" || now.After(e.latestStart):
			expired = append(expired, e)
		case e.becameLate(now):
			late = append(late, e)
		case e.becameUrgent(now):
			urgent = append(urgent, e)
		}
	}
	for _, e := range urgent {
		o.promoteUrgent(e)
	}
	for _, e := range late {
		o.demoteLate(e)
	}
	if o.hasOnTimeWork() {
		expired = append(expired, late...)
	}
	slices.SortFunc(expired, func(a, b *entry) int { return cmp.Compare(a.order.sequence, b.order.sequence) })
	var l []Answer
	for _, e := range expired {
		l = append(l, o.refuseQueued(e, now))
	}
	return l
}

// becameUrgent reports whether waiting work has become urgent.
func (e *entry) becameUrgent(now time.Time) bool {
	return !e.order.late && !e.order.urgent && now.After(e.urgentAt)
}

// becameLate reports whether waiting work has become late: its first token can no longer come
// by its target.
func (e *entry) becameLate(now time.Time) bool {
	return !e.order.late && !e.targetStart.IsZero() && now.After(e.targetStart)
}
