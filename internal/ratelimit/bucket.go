package ratelimit

import (
	"math/rand/v2"
	"time"
)

// bucket is the token bucket of one start of an upstream. The lock of Allocator guards it.
type bucket struct {
	refilledAt  time.Time // of tokens
	startedAt   int64     // the start of the upstream
	lastRetryAt time.Time // the latest time at which a box that got no permit was told to ask again
	tokens      float64   // below 0 where permits for later were handed out
}

// nextRetryAt returns when a box is to ask again that gets no permit, where the next one is there at a
// time: boxes are told times one after another, as there are permits.
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

// refill adds the permits that a rate allows since the last look, up to a burst.
func (b *bucket) refill(rate, burst float64, now time.Time) {
	b.tokens = min(burst, b.tokens+rate*now.Sub(b.refilledAt).Seconds())
	b.refilledAt = now
}
