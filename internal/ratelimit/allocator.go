package ratelimit

import (
	"sync"
	"time"
)

// Allocator hands out permits to send to limited upstreams, for all boxes: one box allocates those
// of an upstream, so that all boxes together keep to its limit. It keeps a token bucket for each
// upstream, reads no clock and is safe for concurrent use; its lock is a leaf.
type Allocator struct {
	buckets map[string]*bucket
	mutex   sync.Mutex
}

const (
	// minBurst permits, and what the limit allows in burstPeriod, may be saved up while nobody
	// asks.
	minBurst    = 2
	burstPeriod = 250 * time.Millisecond
	// idleTTL is how long a bucket is kept in which nobody asks.
	idleTTL = time.Minute
	// coldShare is the share of what a cold upstream bears that is handed out: it may fall over under
	// what boxes hand out beside that do not know of each other.
	coldShare = 0.5
	// minRetrySpread, or retrySpreadPerBox for each box where that is more, is the time over which boxes that
	// got no permit are spread: with many boxes one of them would be asked by all of them as often
	// as there is a permit.
	minRetrySpread    = 500 * time.Millisecond
	retrySpreadPerBox = 10 * time.Millisecond
	// FallbackShare is the share of a limit that a box allocates which may not be the only one to do
	// so: one that is believed to serve has not answered.
	FallbackShare = 0.25
	// permitTTL is how long permits may be used.
	permitTTL = 200 * time.Millisecond
	// probesPerSecond is the rate at which an upstream gets requests that names a lower limit, so
	// that it can say that it accepts more.
	probesPerSecond = 0.2
	// urgentOverdraft permits are handed out ahead of time to urgent requests.
	urgentOverdraft = 2
)

// NewAllocator returns an allocator without buckets: each begins empty, as another box may have
// handed out permits a moment ago.
func NewAllocator() *Allocator {
	return &Allocator{buckets: make(map[string]*bucket)}
}

// Allocate answers an ask within a share of its limit, for that many boxes.
func (a *Allocator) Allocate(q *PermitRequest, share float64, boxes int, now time.Time) Grant {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	a.evictIdle(now)
	b := a.bucketOf(&q.Limit, now)
	rate, burst := q.rateAndBurst()
	if share < 1 {
		rate, burst = share*rate, 1
	}
	b.refill(rate, burst, now)
	threshold := 1.0
	if q.Urgent {
		threshold -= urgentOverdraft
	}
	if b.tokens >= threshold {
		n := min(max(1, q.Want), max(1, int(b.tokens)))
		b.tokens -= float64(n)
		return Grant{Count: n, From: now, Until: now.Add(permitTTL)}
	}
	next := now.Add(durationOf((1 - b.tokens) / rate))
	if !next.After(q.WaitUntil) {
		b.tokens--
		return Grant{Count: 1, From: next, Until: next.Add(permitTTL)}
	}
	return Grant{RetryAt: b.nextRetryAt(next, rate, boxes)}
}

// bucketOf returns the bucket of a limit's upstream; the lock is held.
func (a *Allocator) bucketOf(l *Limit, now time.Time) *bucket {
	b := a.buckets[l.Upstream]
	if b == nil || b.startedAt != l.StartedAt {
		b = &bucket{refilledAt: now, startedAt: l.StartedAt}
		a.buckets[l.Upstream] = b
	}
	return b
}

// evictIdle drops the buckets in which nobody asks; the lock is held.
func (a *Allocator) evictIdle(now time.Time) {
	for n, b := range a.buckets {
		if now.Sub(b.refilledAt) > idleTTL {
			delete(a.buckets, n)
		}
	}
}

// durationOf returns a time of that many seconds.
func durationOf(seconds float64) time.Duration {
	return time.Duration(seconds * float64(time.Second))
}
