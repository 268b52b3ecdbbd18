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
	// burstLeast permits, and what the limit allows in burstPeriod, may be saved up while nobody
	// asks.
	burstLeast  = 2
	burstPeriod = 250 * time.Millisecond
	// bucketLife is how long a bucket is kept in which nobody asks.
	bucketLife = time.Minute
	// coldShare is the share of what a cold upstream bears that is handed out: it may fall over under
	// what boxes hand out beside that do not know of each other.
	coldShare = 0.5
	// deferLeast, or deferEach for each box where that is more, is the time over which boxes that
	// got no permit are spread: with many boxes one of them would be asked by all of them as often
	// as there is a permit.
	deferLeast = 500 * time.Millisecond
	deferEach  = 10 * time.Millisecond
	// DeputyShare is the share of a limit that a box allocates which may not be the only one to do
	// so: one that is believed to serve has not answered.
	DeputyShare = 0.25
	// permitLife is how long permits may be used.
	permitLife = 200 * time.Millisecond
	// trialPerSecond is the rate at which an upstream gets requests that names a lower limit, so
	// that it can say that it accepts more.
	trialPerSecond = 0.2
	// urgentMost permits are handed out ahead of time to urgent requests.
	urgentMost = 2
)

// NewAllocator returns an allocator without buckets: each begins empty, as another box may have
// handed out permits a moment ago.
func NewAllocator() *Allocator {
	return &Allocator{buckets: make(map[string]*bucket)}
}

// Allocate answers an ask within a share of its limit, for that many boxes.
func (a *Allocator) Allocate(q *Ask, share float64, boxes int, now time.Time) Grant {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	a.forget(now)
	b := a.bucketOf(&q.Limit, now)
	rate, burst := q.bound()
	if share < 1 {
		rate, burst = share*rate, 1
	}
	b.refill(rate, burst, now)
	least := 1.0
	if q.Urgent {
		least -= urgentMost
	}
	if b.tokens >= least {
		n := min(max(1, q.Want), max(1, int(b.tokens)))
		b.tokens -= float64(n)
		return Grant{Count: n, From: now, Until: now.Add(permitLife)}
	}
	next := now.Add(period((1 - b.tokens) / rate))
	if !next.After(q.WaitTill) {
		b.tokens--
		return Grant{Count: 1, From: next, Until: next.Add(permitLife)}
	}
	return Grant{RetryAt: b.deferFrom(next, rate, boxes)}
}

// bucketOf returns the bucket of a limit's upstream; the lock is held.
func (a *Allocator) bucketOf(l *Limit, now time.Time) *bucket {
	b := a.buckets[l.Upstream]
	if b == nil || b.born != l.Born {
		b = &bucket{at: now, born: l.Born}
		a.buckets[l.Upstream] = b
	}
	return b
}

// forget drops the buckets in which nobody asks; the lock is held.
func (a *Allocator) forget(now time.Time) {
	for n, b := range a.buckets {
		if now.Sub(b.at) > bucketLife {
			delete(a.buckets, n)
		}
	}
}

// period returns a time of that many seconds.
func period(seconds float64) time.Duration {
	return time.Duration(seconds * float64(time.Second))
}
