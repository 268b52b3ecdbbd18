package policy

import "time"

// runningWork is a generation that holds a reservation or runs.
type runningWork struct {
	confirmed     bool
	expiresAt     time.Time // by which the next word of it must come
	forecast      forecast
	key           Key
	lastTokenAt   time.Time // when it last produced a token
	produced      int
	prefillTokens int // tokens of its prompt that the engine reads before its first token
	stalled       bool
	work          *Work
}

// advance takes in how far a generation is.
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

// release forgets a generation and gives back what it holds.
func (o *Owner) release(id string, r *runningWork) {
	o.setStalled(r, false)
	o.markPrefilled(r)
	o.usedTokens -= r.work.Prompt + r.produced
	o.forecast.add(&r.forecast, -1)
	delete(o.running, id)
}

// releaseExpired drops reservations that were not used and generations of which
// nothing was heard; what still runs of them shows in the upstream's report.
func (o *Owner) releaseExpired(now time.Time) {
	for id, r := range o.running {
		if now.After(r.expiresAt) {
			o.release(id, r)
		}
	}
}

// markPrefilled notes that the prompt of a generation has been read.
func (o *Owner) markPrefilled(r *runningWork) {
	o.prefilling -= r.prefillTokens
	r.prefillTokens = 0
}

// refreshForecast makes the forecast from scratch once it has aged.
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

// setStalled notes whether a generation stands still, and counts those that do.
func (o *Owner) setStalled(r *runningWork, stalled bool) {
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
func (o *Owner) stallAfter(r *runningWork) time.Duration {
	if r.produced == 0 {
		return firstTokenStallTimeout
	}
	return max(minStallTimeout, seconds(stallSteps*o.stepSeconds()))
}

// start reserves a place for work that was taken in.
func (o *Owner) start(e *entry, now time.Time) {
	r := &runningWork{
		expiresAt: now.Add(reservationTimeout), forecast: e.estimate.forecast, key: e.key, lastTokenAt: now,
		prefillTokens: prefillTokens(e.work), work: e.work,
	}
	o.running[e.work.ID] = r
	if o.capacity.MaxStartsPerSecond > 0 {
		o.recentStarts = append(o.recentStarts, now)
	}
	o.prefilling += r.prefillTokens
	o.usedTokens += e.work.Prompt
	o.forecast.add(&r.forecast, 1)
}

// usedTokensAt returns the tokens that known generations held at time t.
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

// prefillTokens returns how many tokens of prompt an engine reads of w.
func prefillTokens(w *Work) int {
	if w.Moved {
		return 0
	}
	return w.Prompt
}
