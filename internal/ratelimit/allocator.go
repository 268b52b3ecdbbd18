package ratelimit

import (
	"math"
	"sync"
	"time"
)

// Allocator grants permits to send requests to rate-limited upstreams. For each upstream, one box is
// the allocator that grants permits to all boxes, which keeps the total within the upstream's limit.
// An Allocator holds one token bucket per upstream, reads no clock and is safe for concurrent use. It
// takes no other lock while it holds its own.
type Allocator struct {
	buckets map[string]*bucket
	mutex   sync.Mutex
}

const (
	// A bucket holds at most minBurst tokens plus what the limit allows in burstPeriod.
	minBurst    = 2
	burstPeriod = 250 * time.Millisecond
	// idleTTL is how long a bucket is kept after the last request for its permits.
	idleTTL = time.Minute
	// coldPermitShare is the share of a cold upstream's sustainable rate that is granted. The rest is
	// headroom: boxes that do not know of each other may grant permits at the same time, and the
	// sum could overload the upstream.
	coldPermitShare = 0.5
	// Retries of boxes that got no permit are spread over minRetrySpread, or over retrySpreadPerBox
	// times the number of boxes if that is longer. Without the spread every box would send
	// the allocator another request each time a permit becomes available.
	minRetrySpread    = 500 * time.Millisecond
	retrySpreadPerBox = 10 * time.Millisecond
	// FallbackShare is the share of a limit that a box grants while it replaces an allocator that did
	// not answer. The allocator may still be running, so that both may be granting permits.
	FallbackShare = 0.25
	// permitTTL is how long a permit is valid.
	permitTTL = 200 * time.Millisecond
	// probesPerSecond is the lowest rate of permits for an upstream, even if its limit is lower. The
	// answers to these requests let the upstream announce a higher limit.
	probesPerSecond = 0.2
	// urgentOverdraft is how many permits urgent requests may take in advance, before the bucket
	// has the tokens.
	urgentOverdraft = 2
)

// NewAllocator returns an allocator without buckets. New buckets start empty, because another box
// may just have granted permits for the same upstream.
func NewAllocator() *Allocator {
	return &Allocator{buckets: make(map[string]*bucket)}
}

// Allocate answers a permit request. It grants at most the given share of the upstream's limit.
// The number of boxes determines how far apart retries are spread.
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

// bucketOf returns the bucket of the limit's upstream instance, and creates it if needed. The
// caller holds the lock.
func (a *Allocator) bucketOf(l *Limit, now time.Time) *bucket {
	b := a.buckets[l.Upstream]
	if b == nil || b.startedAtMS != l.StartedAtMS {
		b = &bucket{refilledAt: now, startedAtMS: l.StartedAtMS}
		a.buckets[l.Upstream] = b
	}
	return b
}

// evictIdle removes buckets whose permits nobody requests any more. The caller holds the lock.
func (a *Allocator) evictIdle(now time.Time) {
	for n, b := range a.buckets {
		if now.Sub(b.refilledAt) > idleTTL {
			delete(a.buckets, n)
		}
	}
}

// durationOf converts seconds to a duration. It rounds up, so that no box is told to retry before the
// tokens are there.
func durationOf(seconds float64) time.Duration {
	return time.Duration(math.Ceil(seconds * float64(time.Second)))
}
