// Package meter measures what the users weigh: the wait for the first token, the
// time between tokens, and the stall time beyond the target between tokens.
package meter

import (
	"time"

	"github.com/VictoriaMetrics/metrics"

	"github.com/linetiller/linetiller/internal/metric"
)

// Meter takes in the tokens of all requests of a box. It is safe for concurrent use.
type Meter struct {
	between *metrics.Histogram
	first   *metrics.Histogram
	stall   *metrics.Histogram
	tokens  *metrics.Counter
}

// RequestTimes is what a Meter keeps of one request.
type RequestTimes struct {
	last  time.Time // of the last token
	stall time.Duration
}

// stallThreshold is the time between tokens beyond which a request stalls, from the
// users' aim of 40 ms between tokens.
const stallThreshold = 40 * time.Millisecond

// New returns a meter that writes to s.
func New(s *metric.Set) *Meter {
	return &Meter{
		between: s.Histogram(metric.TimeBetweenTokens), first: s.Histogram(metric.TimeToFirstToken),
		stall: s.Histogram(metric.StallTime), tokens: s.Counter(metric.Tokens),
	}
}

// End takes in that a request has had its last token.
func (m *Meter) End(t *RequestTimes) {
	if !t.last.IsZero() {
		m.stall.Update(t.stall.Seconds())
	}
}

// Tokens takes in that some tokens came together at now, of a request that
// arrived at a time.
func (m *Meter) Tokens(n int, now, arrived time.Time, t *RequestTimes) {
	m.tokens.Add(n)
	if t.last.IsZero() {
		m.first.Update(now.Sub(arrived).Seconds())
		t.last = now
		return
	}
	g := now.Sub(t.last)
	t.last = now
	t.stall += max(0, g-time.Duration(n)*stallThreshold)
	m.between.Update(g.Seconds() / float64(max(1, n)))
}
