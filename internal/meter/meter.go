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
	timeBetweenTokens *metrics.Histogram
	timeToFirstToken  *metrics.Histogram
	stallTime         *metrics.Histogram
	tokens            *metrics.Counter
}

// RequestTimes is the state that a Meter keeps for one request. Its zero value is ready for use.
type RequestTimes struct {
	lastTokenAt time.Time     // zero before the first token
	stallTime   time.Duration // so far
}

// stallThreshold is the time between tokens that users aim for. Time beyond it is stall time.
const stallThreshold = 40 * time.Millisecond

// New returns a meter that records to the metrics in s.
func New(s *metric.Set) *Meter {
	return &Meter{
		timeBetweenTokens: s.Histogram(metric.TimeBetweenTokens), timeToFirstToken: s.Histogram(metric.TimeToFirstToken),
		stallTime: s.Histogram(metric.StallTime), tokens: s.Counter(metric.Tokens),
	}
}

// RecordEnd records the stall time of a request after its last token. A request without tokens is not
// recorded.
func (m *Meter) RecordEnd(t *RequestTimes) {
	if !t.lastTokenAt.IsZero() {
		m.stallTime.Update(t.stallTime.Seconds())
	}
}

// RecordTokens records that n tokens were delivered together at now, for a request that arrived at
// arrived. The time since the previous tokens is divided evenly among the n.
func (m *Meter) RecordTokens(n int, now, arrived time.Time, t *RequestTimes) {
	m.tokens.Add(n)
	if t.lastTokenAt.IsZero() {
		m.timeToFirstToken.Update(now.Sub(arrived).Seconds())
		t.lastTokenAt = now
		return
	}
	g := now.Sub(t.lastTokenAt)
	t.lastTokenAt = now
	t.stallTime += max(0, g-time.Duration(n)*stallThreshold)
	m.timeBetweenTokens.Update(g.Seconds() / float64(max(1, n)))
}
