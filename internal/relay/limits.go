package relay

import (
	"net/http"
	"time"

	"github.com/linetiller/linetiller/internal/event"
	"github.com/linetiller/linetiller/internal/metric"
	"github.com/linetiller/linetiller/internal/ratelimit"
	"github.com/linetiller/linetiller/internal/resource"
)

// NoteLimit records and logs what was heard of the rate limit of an upstream, from itself or from a
// box. It returns nil where that is not news.
func (x *Relay) NoteLimit(l ratelimit.Limit, from string) *ratelimit.Change {
	return x.logLimit(x.limits.Record(l, time.Now()), from)
}

// logLimit logs a change of a limit, and returns it.
func (x *Relay) logLimit(c *ratelimit.Change, from string) *ratelimit.Change {
	switch {
	case c == nil:
	case c.After.Lifted:
		event.LimitLifted.Log(x.log, "upstream", c.After.Upstream, "per_second", c.After.PerSecond, "from", from)
	case c.Announced() || c.After.PerSecond != c.Before.PerSecond:
		event.LimitNamed.Log(x.log, "upstream", c.After.Upstream, "per_second", c.After.PerSecond, "before", c.Before.PerSecond, "from", from)
	}
	return c
}

// observeLimit records what an answer of an upstream says of its rate limit.
func (x *Relay) observeLimit(u *resource.Upstream, a *Answer) {
	if a.OtherEcho {
		return
	}
	now := time.Now()
	switch {
	case a.LimitError != nil:
		x.metrics.Count(metric.UpstreamWords, "word", wordLimitInvalid)
		if x.limits.Invalid(u.Name, u.Spec.Born) {
			event.LimitInvalid.Log(x.log, "upstream", u.Name, "error", a.LimitError.Error())
		}
	case a.Limit != nil:
		x.metrics.Count(metric.UpstreamWords, "word", wordLimit)
		x.NoteLimit(ratelimit.Limit{At: now, Born: u.Spec.Born, PerSecond: *a.Limit, Upstream: u.Name}, fromAnswer)
	case a.Signed || (a.NotRun && a.Status != http.StatusMisdirectedRequest):
		x.logLimit(x.limits.Lift(u.Name, u.Spec.Born, now), fromAnswer)
	}
}
