package routed

import (
	"fmt"
	"net/http"
	"time"
)

// Arrival is a request that reached an engine and was not rejected as meant for another one.
type Arrival struct {
	AnsweredAt time.Time // when its answer's head was written; zero where it has none
	At         time.Time
	Leaving    bool          // the answer says that the engine leaves
	Limit      float64       // requests a second that the answer names as the engine's limit
	HasLimit   bool          // it names one
	Request    string        // its id
	RetryAfter time.Duration // that the answer asks its sender for, 0 for none
}

// Sender tells which box sent a request and when its caller had sent it there. A box that
// was started again, or was paused, counts as another one.
type Sender func(request string) (box string, sentAt time.Time)

// What the pages allow of requests to an engine that rests.
const (
	// BackoffGrace is how long after an answer that asks for rest requests may still come:
	// they were on their way.
	BackoffGrace = 500 * time.Millisecond
	// BackoffMaxRequests is how many requests an engine bears from one box while it rests.
	BackoffMaxRequests = 2
)

// NoticeViolations returns what the engine got from boxes that had heard from itself that it leaves,
// from requests sent later than a time after that, or that it wants rest.
func (e *Engine) NoticeViolations(sender Sender, drain time.Duration) []string {
	var violations []string
	l := e.Arrivals()
	leaving := make(map[string]time.Time) // since when each box knows
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
			violations = append(violations, fmt.Sprintf("%s got %d requests from %s in the %s of rest that it had asked for", e.id, n, box, v.RetryAfter))
		}
	}
	return violations
}

// Arrivals returns the requests that reached the engine, in order.
func (e *Engine) Arrivals() []Arrival {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	return append([]Arrival(nil), e.arrivals...)
}

// recordAnswer notes that the head of the answer to a visit is written, with what it says of the
// engine.
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
