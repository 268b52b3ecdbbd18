package routed

import (
	"fmt"
	"net/http"
	"strconv"
	"time"
)

// What the pages allow of requests to an engine that names a limit.
const (
	limitBurst       = 5                      // requests beyond limitFactor times the limit
	limitFactor      = 1.5                    // of what the limit allows in limitWindow
	limitGrace       = 3 * time.Second        // after an engine first named a limit, what it got is looked at
	limitNoticeDelay = 500 * time.Millisecond // after a box passed on an answer that names it, it keeps to it
	limitWindow      = 4 * time.Second
)

// SetLimit makes the engine name a limit in its answers, as text that need be no number; "" for
// none.
func (e *Engine) SetLimit(text string) {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	e.limit = text
}

// LimitViolation returns by how much the engine at worst got more in limitWindow than the limits allow
// that it named then, from boxes that it had told; "" where it never did. Requests of a box without a
// name do not count.
func (e *Engine) LimitViolation(sender Sender) string {
	var violation string
	worst := 0.0
	notified := make(map[string]time.Time) // when a box first passed on an answer that names a limit
	var since time.Time                    // the engine has named a limit without a break
	var counted []Arrival
	for _, v := range e.Arrivals() {
		box, _ := sender(v.Request)
		if box == "" {
			continue
		}
		if !v.HasLimit {
			clear(notified)
			since, counted = time.Time{}, nil
			continue
		}
		if since.IsZero() {
			since = v.AnsweredAt
		}
		if at, ok := notified[box]; ok && v.At.Sub(at) >= limitNoticeDelay {
			counted = append(counted, v)
		} else if !ok {
			notified[box] = v.AnsweredAt
		}
		n, allowed := countLimited(counted, v.At)
		if over := float64(n) - allowed; v.At.Sub(since) >= limitGrace && over > worst {
			worst = over
			violation = fmt.Sprintf("got %d requests in %s, where %.1f are allowed", n, limitWindow, allowed)
		}
	}
	return violation
}

// countLimited returns how many of the visits came in the window that ends at a time, and how many
// are allowed by the highest limit that was named in it.
func countLimited(l []Arrival, at time.Time) (n int, allowed float64) {
	highest := 0.0
	for _, v := range l {
		if at.Sub(v.At) < limitWindow {
			n++
			highest = max(highest, v.Limit)
		}
	}
	return n, limitFactor*highest*limitWindow.Seconds() + limitBurst
}

// writeLimit writes the engine's limit into the head of an answer; the lock is held.
func (e *Engine) writeLimit(h http.Header) {
	if e.limit != "" {
		h.Set("Server-Limit", e.limit)
	}
}

// recordLimit notes in a visit which limit its answer names; the lock is held.
func (e *Engine) recordLimit(v *Arrival) {
	rate, err := strconv.ParseFloat(e.limit, 64)
	v.Limit, v.HasLimit = rate, err == nil
}
