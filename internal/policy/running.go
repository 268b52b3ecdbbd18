package policy

import "time"

// running is a generation that holds a reservation or runs.
type running struct {
	confirmed bool
	deadline  time.Time // by which the next word of it must come
	forecast  forecast
	key       Key
	movedAt   time.Time // when it last produced a token
	produced  int
	reading   int // tokens of its prompt that the engine reads before its first token
	stalled   bool
	work      *Work
}

// advance takes in how far a generation is.
func (o *Owner) advance(r *running, produced int, now time.Time) {
	r.deadline = now.Add(silencePeriod)
	if produced > r.produced {
		o.read(r)
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

// drop forgets a generation and gives back what it holds.
func (o *Owner) drop(id string, r *running) {
	o.setStalled(r, false)
	o.read(r)
	o.usedTokens -= r.work.Prompt + r.produced
	o.forecast.add(&r.forecast, -1)
	delete(o.running, id)
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

// read notes that the prompt of a generation has been read.
func (o *Owner) read(r *running) {
	o.reading -= r.reading
	r.reading = 0
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

// setStalled notes whether a generation stands still, and counts those that do.
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

// start reserves a place for work that was taken in.
func (o *Owner) start(e *entry, now time.Time) {
	r := &running{
		deadline: now.Add(reservationPeriod), forecast: e.expectation.forecast, key: e.key, movedAt: now,
		reading: toRead(e.work), work: e.work,
	}
	o.running[e.work.ID] = r
	if o.capacity.StartsMost > 0 {
		o.starts = append(o.starts, now)
	}
	o.reading += r.reading
	o.usedTokens += e.work.Prompt
	o.forecast.add(&r.forecast, 1)
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

// toRead returns how many tokens of prompt an engine reads of w.
func toRead(w *Work) int {
	if w.Moved {
		return 0
	}
	return w.Prompt
}
