package routed

import (
	"fmt"
	"net/http"
	"strconv"
	"time"
)

// Requests that the documented rules allow to an engine that announces a rate limit.
const (
	limitBurst       = 5                      // requests allowed in addition to limitFactor times the limit
	limitFactor      = 1.5                    // multiple of what the limit allows in limitWindow
	limitGrace       = 3 * time.Second        // requests are not checked for this long after the engine first announced a limit
	limitNoticeDelay = 500 * time.Millisecond // requests of a box count from this long after the first answer to it that announced a limit
	limitWindow      = 4 * time.Second        // over which requests are counted
)

// LimitViolation describes the worst excess of requests within limitWindow over the rate limits
// that the engine announced at that time, or returns "" if there was none. Only requests of boxes that
// had been notified of a limit count, and only those for which sender returns a box name.
func (e *Engine) LimitViolation(sender Sender) string {
	var violation string
	worst := 0.0
	notified := make(map[string]time.Time) // time of the first answer to each box that announced a limit
	var since time.Time                    // when the engine began to announce a limit in every answer
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

// SetLimit sets the rate limit that the engine announces in its answers. The text need not be a valid
// number; "" announces no limit.
func (e *Engine) SetLimit(text string) {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	e.limit = text
}

// countLimited returns how many of the requests arrived in the window that ends at a time, and how
// many the highest limit announced in that window allows.
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

// recordLimit records the rate limit that the answer to an arrival announces; the lock is held.
func (e *Engine) recordLimit(v *Arrival) {
	rate, err := strconv.ParseFloat(e.limit, 64)
	v.Limit, v.HasLimit = rate, err == nil
}

// writeLimit writes the engine's rate limit into the header of an answer; the lock is held.
func (e *Engine) writeLimit(h http.Header) {
	if e.limit != "" {
		h.Set("Server-Limit", e.limit)
	}
}
