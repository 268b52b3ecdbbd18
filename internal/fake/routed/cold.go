package routed

import "time"

// coldStart describes an engine that has just started and crashes under too many requests.
type coldStart struct {
	until     time.Time
	perSecond int // requests that it can serve
}

// overloadFactor is the multiple of perSecond, counted over the last second, above which a cold
// engine crashes.
const overloadFactor = 2

// ArrivalTimes returns the times of the requests that reached the engine and were not rejected as
// meant for another instance.
func (e *Engine) ArrivalTimes() []time.Time {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	l := make([]time.Time, len(e.arrivals))
	for i := range e.arrivals {
		l[i] = e.arrivals[i].At
	}
	return l
}

// SetCold makes the engine cold until a time, and sets how many requests per second it can serve
// until then.
func (e *Engine) SetCold(until time.Time, perSecond int) {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	e.cold = coldStart{until, perSecond}
}

// recordArrival records a request and returns its index in the arrivals. It crashes a cold engine that
// gets too many requests.
func (e *Engine) recordArrival(request string, resumed bool) (index int) {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	now := time.Now()
	index = len(e.arrivals)
	e.arrivals = append(e.arrivals, Arrival{At: now, Request: request, Resumed: resumed})
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
