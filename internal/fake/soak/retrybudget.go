package soak

import (
	"fmt"
	"io"
	"slices"
	"time"

	"github.com/linetiller/linetiller/internal/fake/routed"
)

// The retry budget of the boxes. Most of it does not depend on the number of requests, so that a box which
// starts with its whole share exceeds it.
const (
	retryExtra  = 100 // per window, of all boxes together
	retryRatio  = 0.02
	retryWindow = 10 * time.Second
)

// checkRetryBudget checks that all boxes together kept to the retry budget of each service in every
// window, and prints the largest share of it that they used.
func (c *callers) checkRetryBudget(output io.Writer) {
	for _, service := range []string{serviceDesk, serviceLLM} {
		retries, requests := c.retriesOf(service)
		largest := 0.0
		for _, from := range retries {
			n := countWithin(retries, from)
			sent := max(countWithin(requests, from), countWithin(requests, from.Add(-retryWindow/2)), countWithin(requests, from.Add(-retryWindow)))
			allowed := retryRatio*float64(sent) + float64(c.cluster.retryExtra)
			if share := float64(n) / allowed; share > 1 && largest <= 1 {
				c.addViolation("service %s: %d retries in the window from %s for %d requests, %.0f allowed", service, n, from.Format(time.RFC3339Nano), sent, allowed)
			}
			largest = max(largest, float64(n)/allowed)
		}
		_, _ = fmt.Fprintf(output, "soak: service %s: %d retries, at most %.2f of those allowed in a window\n", service, len(retries), largest)
	}
}

// retriesOf returns the times at which requests were sent to a service by callers, and those of the
// arrivals beyond the first of each request. Resumptions of moved runs are left out: the budget does
// not stop them.
func (c *callers) retriesOf(service string) (retries, requests []time.Time) {
	var arrivals []routed.Arrival
	for _, u := range c.cluster.allUpstreams() {
		if u.service == service {
			arrivals = append(arrivals, u.engine.Arrivals()...)
		}
	}
	slices.SortFunc(arrivals, func(a, b routed.Arrival) int { return a.At.Compare(b.At) })
	seen := make(map[string]bool)
	for i := range arrivals {
		a := &arrivals[i]
		if seen[a.Request] && !a.Resumed {
			retries = append(retries, a.At)
		}
		seen[a.Request] = true
	}
	c.mutex.Lock()
	defer c.mutex.Unlock()
	for _, d := range c.dispatches {
		if d.service == service {
			requests = append(requests, d.sentAt)
		}
	}
	return retries, requests
}

// countWithin counts the times in the window that starts at from.
func countWithin(l []time.Time, from time.Time) int {
	n := 0
	for _, t := range l {
		if !t.Before(from) && t.Before(from.Add(retryWindow)) {
			n++
		}
	}
	return n
}
