package delivery

import (
	"time"

	"github.com/VictoriaMetrics/metrics"

	"github.com/linetiller/linetiller/internal/metric"
	"github.com/linetiller/linetiller/internal/policy"
)

// meter measures what the users weigh: the wait for the first token, the time
// between tokens, and the stall time beyond the target between tokens.
type meter struct {
	between *metrics.Histogram
	first   *metrics.Histogram
	stall   *metrics.Histogram
	tokens  *metrics.Counter
}

// times is what the meter keeps of one request.
type times struct {
	last  time.Time // of the last token
	stall time.Duration
}

// tokenTarget is the time between tokens beyond which a request stalls.
const tokenTarget = 40 * time.Millisecond

func newMeter(s *metric.Set) meter {
	return meter{
		between: s.Histogram(metric.TimeBetween), first: s.Histogram(metric.TimeToFirst),
		stall: s.Histogram(metric.StallSeconds), tokens: s.Counter(metric.Tokens),
	}
}

// token takes in that a token came at now.
func (m *meter) token(now time.Time, w *policy.Work, t *times) {
	m.tokens.Inc()
	if t.last.IsZero() {
		m.first.Update(now.Sub(w.Arrived).Seconds())
		t.last = now
		return
	}
	g := now.Sub(t.last)
	t.last = now
	t.stall += max(0, g-tokenTarget)
	m.between.Update(g.Seconds())
}

// end takes in that a request has had its last token.
func (m *meter) end(t *times) {
	if !t.last.IsZero() {
		m.stall.Update(t.stall.Seconds())
	}
}
