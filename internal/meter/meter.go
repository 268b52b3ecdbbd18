// Package meter measures the latency of token streams: the time to the first token, the time between
// tokens, and the stall time, which is the time beyond the target between tokens.
package meter

import (
	"time"

	"github.com/VictoriaMetrics/metrics"

	"github.com/linetiller/linetiller/internal/metric"
)

// Meter records the token latencies of all requests of a box. It is safe for concurrent use.
type Meter struct {
	between *metrics.Histogram
	first   *metrics.Histogram
	stall   *metrics.Histogram
	tokens  *metrics.Counter
}

// RequestTimes is the state that a Meter keeps for one request. Its zero value is ready for use.
type RequestTimes struct {
	last  time.Time     // of the last token
	stall time.Duration // so far
}

// stallThreshold is the time between tokens beyond which a request counts as stalled: the users aim
// for 40 ms between tokens.
const stallThreshold = 40 * time.Millisecond

// New returns a meter that records to the metrics in s.
func New(s *metric.Set) *Meter {
	return &Meter{
		between: s.Histogram(metric.TimeBetweenTokens), first: s.Histogram(metric.TimeToFirstToken),
		stall: s.Histogram(metric.StallTime), tokens: s.Counter(metric.Tokens),
	}
}

// End records the stall time of a request after its last token. A request without tokens is not
// recorded.
func (m *Meter) End(t *RequestTimes) {
	if !t.last.IsZero() {
		m.stall.Update(t.stall.Seconds())
	}
}

// Tokens records that n tokens were delivered together at now, for a request that arrived at arrived.
// The time since the previous tokens is divided evenly among the n.
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
