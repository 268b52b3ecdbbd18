package ratelimit

import (
	"math/rand/v2"
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

// Ask asks for permits.
type Ask struct {
	Cold     float64   `cbor:"6,keyasint,omitempty"` // requests a second that the upstream bears while it is cold; 0 where it is not
	Final    bool      `cbor:"1,keyasint,omitempty"` // not to be passed on to the box that should allocate them: it was, or that box does not answer
	Limit    Limit     `cbor:"2,keyasint"`           // as the asking box knows it; At is zero where the upstream has none
	Urgent   bool      `cbor:"3,keyasint,omitempty"` // the request has nowhere else to go, and is lost without
	WaitTill time.Time `cbor:"4,keyasint,omitzero"`  // a permit for a time up to then is of use, too; zero where none is
	Want     int       `cbor:"5,keyasint"`           // permits that the box would use at once
}

// Grant answers an Ask.
type Grant struct {
	Count   int       `cbor:"1,keyasint,omitempty"` // permits; 0 where there are none
	From    time.Time `cbor:"2,keyasint,omitzero"`  // before that they are not to be used
	RetryAt time.Time `cbor:"3,keyasint,omitzero"`  // where there are none: when to ask again
	Until   time.Time `cbor:"4,keyasint,omitzero"`  // after that they are not to be used
}

// bucket is the token bucket of one start of an upstream. The lock of Allocator guards it.
type bucket struct {
	at       time.Time // of tokens
	born     int64     // the start of the upstream
	deferred time.Time // the latest time at which a box that got no permit was told to ask again
	tokens   float64   // below 0 where permits for later were handed out
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

// bound returns the rate, in requests a second, that the upstream accepts, and how many permits may be
// saved up.
func (q *Ask) bound() (rate, burst float64) {
	rate = max(q.Limit.PerSecond, trialPerSecond)
	burst = burstLeast + rate*burstPeriod.Seconds()
	if c := coldShare * q.Cold; c > 0 && (q.Limit.At.IsZero() || c < rate) {
		return c, 1
	}
	return rate, burst
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

// deferFrom returns when a box is to ask again that gets no permit, where the next one is there at a
// time: boxes are told times one after another, as there are permits.
func (b *bucket) deferFrom(next time.Time, rate float64, boxes int) time.Time {
	at := b.deferred.Add(period(1 / rate))
	if at.Before(next) {
		at = next
	}
	if spread := max(deferLeast, time.Duration(boxes)*deferEach); at.Sub(next) > spread {
		return next.Add(rand.N(spread))
	}
	b.deferred = at
	return at
}

// refill adds the permits that a rate allows since the last look, up to a burst.
func (b *bucket) refill(rate, burst float64, now time.Time) {
	b.tokens = min(burst, b.tokens+rate*now.Sub(b.at).Seconds())
	b.at = now
}

// period returns a time of that many seconds.
func period(seconds float64) time.Duration {
	return time.Duration(seconds * float64(time.Second))
}
