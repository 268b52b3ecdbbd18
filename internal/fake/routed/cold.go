package routed

import "time"

// coldStart is how an engine is that has just started: it falls over under many requests.
type coldStart struct {
	until     time.Time
	perSecond int // requests that it bears
}

// overloadFactor is how many times what a cold engine bears makes it fall over.
const overloadFactor = 2

// ArrivalTimes returns when requests reached the engine that it did not reject as meant for
// another one.
func (e *Engine) ArrivalTimes() []time.Time {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	l := make([]time.Time, len(e.arrivals))
	for i := range e.arrivals {
		l[i] = e.arrivals[i].At
	}
	return l
}

// SetCold makes the engine cold until a time, in which it bears so many requests a second.
func (e *Engine) SetCold(until time.Time, perSecond int) {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	e.cold = coldStart{until, perSecond}
}

// arrive notes a request, under which an engine that is cold may fall over, and returns its
// place among the visits.
func (e *Engine) arrive(request string) (index int) {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	now := time.Now()
	index = len(e.arrivals)
	e.arrivals = append(e.arrivals, Arrival{At: now, Request: request})
	if !now.Before(e.cold.until) {
		return index
	}
	n := 0
	for i := index; i >= 0 && now.Sub(e.arrivals[i].At) < time.Second; i-- {
		n++
	}
	if n > overloadFactor*e.cold.perSecond {
		e.crashed = true
		e.wakeStreams()
	}
	return index
}
