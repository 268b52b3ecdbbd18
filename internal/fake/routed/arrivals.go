package routed

import (
	"fmt"
	"net/http"
	"time"
)

// Arrival is a request that reached an engine and was not rejected with 421 as meant for another
// instance.
type Arrival struct {
	AnsweredAt time.Time // when the header of its answer was written; zero if none was
	At         time.Time
	Leaving    bool          // the answer announces that the engine is leaving
	Limit      float64       // the rate limit that the answer announces, in requests per second
	HasLimit   bool          // the answer announces a valid rate limit
	Request    string        // its ID
	Resumed    bool          // it continues a run that began at another engine
	RetryAfter time.Duration // back-off that the answer requests; 0 for none
}

// Sender returns the box that sent a request, and the time at which the caller sent it to that box. A
// box that was restarted or paused in between counts as a different one.
type Sender func(request string) (box string, sentAt time.Time)

// Requests that the documented rules allow while an engine requests back-off.
const (
	// BackoffGrace is how long requests may still arrive after an answer that requests back-off,
	// because they were already in flight.
	BackoffGrace = 500 * time.Millisecond
	// BackoffMaxRequests is how many requests one box may send during the back-off.
	BackoffMaxRequests = 2
)

// Arrivals returns the requests that reached the engine, in order.
func (e *Engine) Arrivals() []Arrival {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	return append([]Arrival(nil), e.arrivals...)
}

// NoticeViolations returns a description of each violation by a box that had received a notice
// from this engine: a request sent there later than drain after an answer that the engine is
// leaving, or too many requests during the back-off that an answer requested.
func (e *Engine) NoticeViolations(sender Sender, drain time.Duration) []string {
	var violations []string
	l := e.Arrivals()
	leaving := make(map[string]time.Time) // when each box was notified
	for _, v := range l {
		box, sentAt := sender(v.Request)
		if at, ok := leaving[box]; ok && sentAt.Sub(at) > drain {
			violations = append(violations, fmt.Sprintf("%s got %s from %s %s after it had said there that it leaves", e.id, v.Request, box, sentAt.Sub(at).Round(time.Millisecond)))
		}
		if _, ok := leaving[box]; v.Leaving && !ok {
			leaving[box] = v.AnsweredAt
		}
		if v.RetryAfter == 0 {
			continue
		}
		n := 0
		for _, x := range l {
			from, _ := sender(x.Request)
			if since := x.At.Sub(v.AnsweredAt); from == box && since > BackoffGrace && since < v.RetryAfter {
				n++
			}
		}
		if n > BackoffMaxRequests {
			violations = append(violations, fmt.Sprintf("%s got %d requests from %s within the %s of back-off that it had requested", e.id, n, box, v.RetryAfter))
		}
	}
	return violations
}

// recordAnswer records that the header of the answer to an arrival is written, and adds the
// headers about the engine's leaving and rate limit.
func (e *Engine) recordAnswer(h http.Header, arrival int, retryAfter time.Duration) {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	v := &e.arrivals[arrival]
	v.AnsweredAt, v.Leaving, v.RetryAfter = time.Now(), e.leaving, retryAfter
	if e.leaving {
		h.Set("Server-Leaving", "1")
	}
	e.writeLimit(h)
	e.recordLimit(v)
}
