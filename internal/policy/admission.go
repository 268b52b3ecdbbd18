package policy

import (
	"cmp"
	"maps"
	"slices"
	"time"
)

// closedReason returns why the upstream accepts no new work, or "" where it does.
func (o *Owner) closedReason() Reason {
	switch {
	case o.Evacuated:
		return ReasonEvacuated
	case o.Leaving:
		return ReasonLeaving
	}
	return ""
}

// cost returns the engine time, in seconds, that a generation takes up: its share of the KV
// memory or of the batch slots, whichever is larger, over all its steps.
func (o *Owner) cost(e *estimate) float64 {
	steps := max(e.tokenSteps/(usableShare*float64(o.capacity.KVTokens)), e.tokens/float64(o.capacity.MaxBatch))
	return steps * o.stepSeconds()
}

// demoteLate requeues work that has missed its target behind all work that can still meet its own.
func (o *Owner) demoteLate(e *entry) {
	o.queue.remove(e.work.ID)
	e.order.large, e.order.late, e.order.urgent = false, true, false
	o.queue.insert(e)
}

// fits reports whether e may start now.
func (o *Owner) fits(e *entry, now time.Time) bool {
	return o.shortage(e, now) == ""
}

// fitsMemory reports whether e fits into the KV memory, now and as forecast, with the reserve
// that costly work must leave free.
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

// hasOnTimeWork reports whether work is queued that can still meet its target. Work that misses
// its target while such work is queued would be overtaken by it and by all later arrivals, so it
// is refused: it can then try another upstream, or its caller gets a retry time at once. Work
// that had missed its target before it arrived here has already tried other upstreams, so it
// stays queued for capacity that nothing else needs.
func (o *Owner) hasOnTimeWork() bool {
	f := o.queue.first()
	return f != nil && !f.order.late
}

// newEntry returns the queue entry for w, with its estimated cost, its start deadlines and its
// rank, and charges its workspace.
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

// orderTime returns the time that ranks work arriving now within its cost class. Cheap work runs
// oldest first. Costly work runs newest first: under overload most of it then starts at once and
// the rest waits until it becomes urgent, where oldest first would make all of it wait long.
func (o *Owner) orderTime(cost float64, now time.Time) int64 {
	if cost > o.tune.NewestFirstCost {
		return -now.UnixNano()
	}
	return now.UnixNano()
}

// peak returns the predicted peak of KV memory in use with g added, in tokens.
func (o *Owner) peak(g *forecast) float64 {
	return o.forecast.peak(g, float64(o.usedTokens), o.z) + float64(o.unaccountedTokens)
}

// prefillLimitReached reports whether so many prompt tokens are being prefilled that the first
// token of e would be late. A prompt that exceeds the limit alone is let through while no other is
// being prefilled.
func (o *Owner) prefillLimitReached(e *entry) bool {
	n := prefillTokens(e.work)
	return n > 0 && o.capacity.MaxPrefillTokens > 0 && o.prefillingTokens > 0 && o.prefillingTokens+n > o.capacity.MaxPrefillTokens
}

// promoteUrgent requeues urgent work ahead of its cost class, ordered by its latest start.
func (o *Owner) promoteUrgent(e *entry) {
	o.queue.remove(e.work.ID)
	e.order = order{class: max(0, e.order.class-urgentClassBoost), large: e.order.large, sequence: e.order.sequence, priority: e.order.priority, route: e.order.route, time: e.latestStart.UnixNano(), urgent: true}
	o.queue.insert(e)
}

// refusal returns a refusal if e can not be queued, or else an Answer without a verdict.
func (o *Owner) refusal(e *entry, now time.Time) Answer {
	refuse := func(r Reason, at time.Time) Answer {
		return Answer{ID: e.work.ID, Reason: r, RetryAt: at, Verdict: VerdictRefuse}
	}
	wait := o.queue.costBefore(e.order)
	switch {
	case o.closedReason() != "":
		return refuse(o.closedReason(), ClosedRetryAt(o.closedReason(), now))
	case e.work.Prompt+1 > o.capacity.KVTokens:
		return refuse(ReasonTooLarge, time.Time{})
	case !e.work.Deadline.After(now):
		return refuse(ReasonDeadline, now)
	case o.queue.len() >= o.maxQueued:
		return refuse(ReasonQueueFull, now.Add(seconds(o.queue.totalCost())))
	case wait > 0 && now.Add(seconds(wait)).After(e.latestStart):
		return refuse(ReasonDeadline, now.Add(seconds(wait)))
	}
	return Answer{}
}

// refuseQueued removes e from the queue and returns its refusal.
func (o *Owner) refuseQueued(e *entry, now time.Time) Answer {
	a := Answer{ID: e.work.ID, Reason: ReasonDeadline, ShortOf: o.shortage(e, now), Verdict: VerdictRefuse}
	if o.queue.first() != e {
		a.ShortOf = ShortageRank
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
	case o.stalledCount > 0:
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

// startLimitReached reports whether as many generations have started within the last second as a
// cold engine can handle. The limit applies to warm engines, too, because an engine may become
// cold at any time and reports it late; prefill limits warm engines more than this does.
func (o *Owner) startLimitReached(now time.Time) bool {
	if o.capacity.MaxStartsPerSecond <= 0 {
		return false
	}
	o.recentStarts = slices.DeleteFunc(o.recentStarts, func(t time.Time) bool { return now.Sub(t) > time.Second })
	return float64(len(o.recentStarts)+1) > o.capacity.MaxStartsPerSecond
}

// sweep walks the queue at most once every sweepInterval. It refuses work that can no longer meet
// its deadline, in order of arrival, so that callers learn it early. It promotes urgent work, and
// demotes work that missed its target, or refuses that, too, if work on time is queued.
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

// becameLate reports whether e has only now missed its target: started now, its first token would
// come too late.
func (e *entry) becameLate(now time.Time) bool {
	return !e.order.late && !e.targetStart.IsZero() && now.After(e.targetStart)
}

// becameUrgent reports whether e has only now become urgent.
func (e *entry) becameUrgent(now time.Time) bool {
	return !e.order.late && !e.order.urgent && now.After(e.urgentAt)
}

// LatestStart returns when w must start for its first token to come before its caller gives up,
// or the zero time if there is no such limit.
func LatestStart(w *Work) time.Time {
	if w.FirstBy.IsZero() || w.Moved {
		return time.Time{}
	}
	return w.FirstBy.Add(-prefillDuration(w))
}

// prefersLarge reports whether w ranks ahead of work that is not large, whatever its route, for as
// long as it can meet its target. No work that ranks behind it starts meanwhile, so that enough
// memory can become free for it. Otherwise the first work that fits takes each gap, and the chance
// to start falls with the size: in TestLargePromptsAreServedUnderACrowd, the largest tenth of the
// prompts with short answers is served a quarter as often as the average without this rule, and
// four fifths as often with it.
func prefersLarge(w *Work) bool {
	return w.Large && !w.Moved && !w.TargetAt.IsZero()
}

// prefillDuration returns how long an engine takes to prefill the prompt of w under load.
func prefillDuration(w *Work) time.Duration {
	return seconds(prefillSecondsPerToken * float64(prefillTokens(w)))
}
