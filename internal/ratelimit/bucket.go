package ratelimit

import (
	"math/rand/v2"
	"time"
)

// bucket is the token bucket of one upstream instance. The Allocator's lock guards it.
type bucket struct {
	refilledAt  time.Time // last refill
	startedAtMS int64     // start time of the upstream instance, in Unix milliseconds
	lastRetryAt time.Time // latest retry time given to a box that was refused a permit
	tokens      float64   // negative if permits were granted in advance
}

// nextRetryAt returns when a box that gets no permit should send another request, if the next permit
// becomes available at next. Successive boxes get retry times one permit apart. Once these exceed the
// spread, the times are drawn at random from it.
func (b *bucket) nextRetryAt(next time.Time, rate float64, boxes int) time.Time {
	at := b.lastRetryAt.Add(durationOf(1 / rate))
	if at.Before(next) {
		at = next
	}
	if spread := max(minRetrySpread, time.Duration(boxes)*retrySpreadPerBox); at.Sub(next) > spread {
		return next.Add(rand.N(spread))
	}
	b.lastRetryAt = at
	return at
}

// refill adds the tokens for the time since the last refill, up to burst. The rate is in tokens per
// second.
func (b *bucket) refill(rate, burst float64, now time.Time) {
	b.tokens = min(burst, b.tokens+rate*now.Sub(b.refilledAt).Seconds())
	b.refilledAt = now
}
