package policy

import "time"

// runningWork is a generation that holds a reservation or runs.
type runningWork struct {
	confirmed     bool      // its box has reported it running
	expiresAt     time.Time // when it is dropped unless its progress is reported
	forecast      forecast
	key           Key
	lastTokenAt   time.Time // when it last produced a token, or started
	produced      int       // output tokens
	prefillTokens int       // prompt tokens still to be prefilled
	stalled       bool
	work          *Work
}

// advance records how many tokens a generation has produced, confirms it and extends its timeout.
func (o *Owner) advance(r *runningWork, produced int, now time.Time) {
	r.expiresAt = now.Add(silenceTimeout)
	if produced > r.produced {
		o.markPrefilled(r)
		o.lengths.Observe(r.key, r.produced, produced, false)
		o.usedTokens += produced - r.produced
		r.produced = produced
		r.lastTokenAt = now
		o.setStalled(r, false)
	} else if now.Sub(r.lastTokenAt) > o.stallAfter(r) {
		o.setStalled(r, r.confirmed)
	}
	r.confirmed = true
}

// markPrefilled records that the prompt of a generation has been prefilled.
func (o *Owner) markPrefilled(r *runningWork) {
	o.prefillingTokens -= r.prefillTokens
	r.prefillTokens = 0
}

// refreshForecast recomputes the forecast if it is older than maxForecastAge.
func (o *Owner) refreshForecast(now time.Time) {
	if now.Sub(o.forecastAt) < maxForecastAge {
		return
	}
	o.forecastAt = now
	o.forecast = forecast{}
	for _, r := range o.running {
		r.forecast = o.lengths.forecast(r.key, r.work.Prompt, r.produced, r.work.MaxTokens)
		o.forecast.add(&r.forecast, 1)
	}
}

// release drops a generation and releases its memory.
func (o *Owner) release(id string, r *runningWork) {
	o.setStalled(r, false)
	o.markPrefilled(r)
	o.usedTokens -= r.work.Prompt + r.produced
	o.forecast.add(&r.forecast, -1)
	delete(o.running, id)
}

// releaseExpired drops reservations that were not confirmed and generations without progress reports.
// If they still run, their memory shows in the upstream's report.
func (o *Owner) releaseExpired(now time.Time) {
	for id, r := range o.running {
		if now.After(r.expiresAt) {
			if r.produced == 0 {
				o.reportUnused(now.Sub(r.lastTokenAt))
			}
			o.release(id, r)
		}
	}
}

// reportUnused passes to OnUnused how long a reservation without an output token was held.
func (o *Owner) reportUnused(held time.Duration) {
	if o.OnUnused != nil {
		o.OnUnused(held)
	}
}

// setStalled records whether a generation is stalled, and counts the stalled ones.
func (o *Owner) setStalled(r *runningWork, stalled bool) {
	if r.stalled == stalled {
		return
	}
	r.stalled = stalled
	if stalled {
		o.stalledCount++
		return
	}
	o.stalledCount--
}

// stallAfter returns how long a generation may go without a token before it counts as stalled. That
// is longer before the first token, while its prompt is prefilled.
func (o *Owner) stallAfter(r *runningWork) time.Duration {
	if r.produced == 0 {
		return firstTokenStallTimeout
	}
	return max(minStallTimeout, seconds(stallSteps*o.stepSeconds()))
}

// start reserves a place for e.
func (o *Owner) start(e *entry, now time.Time) {
	r := &runningWork{
		expiresAt: now.Add(reservationTimeout), forecast: e.estimate.forecast, key: e.key, lastTokenAt: now,
		prefillTokens: prefillTokens(e.work), work: e.work,
	}
	o.running[e.work.ID] = r
	if o.capacity.MaxStartsPerSecond > 0 {
		o.recentStarts = append(o.recentStarts, now)
	}
	o.prefillingTokens += r.prefillTokens
	o.usedTokens += e.work.Prompt
	o.forecast.add(&r.forecast, 1)
}

// usedTokensAt returns the tokens that confirmed generations held at t, from what they hold now and
// the growth of one token a step since.
func (o *Owner) usedTokensAt(t, now time.Time) int {
	grown := int(now.Sub(t).Seconds() / o.stepSeconds())
	n := 0
	for _, r := range o.running {
		if r.confirmed {
			n += r.work.Prompt + max(0, r.produced-grown)
		}
	}
	return n
}

// prefillTokens returns how many prompt tokens an engine has to prefill for w.
func prefillTokens(w *Work) int {
	if w.Moved {
		return 0
	}
	return w.Prompt
}
