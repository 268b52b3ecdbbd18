package policy

import (
	"slices"
	"sync"
	"time"
)

// Quarantine remembers under which requests upstreams crashed. Most of them are innocent, as an
// upstream runs many at once; one under which two upstreams crashed is sent to no third, or it
// would crash one after another.
//
// It reads no clock and is safe for concurrent use.
type Quarantine struct {
	mutex        sync.Mutex
	fingerprints map[Fingerprint][]crash // oldest first
	recent       []crash                 // of all upstreams, oldest first
}

// crash is the crash of one start of an upstream.
type crash struct {
	at       time.Time
	born     int64
	upstream string
}

const (
	// crashesMost is how many upstreams may crash under one request.
	crashesMost = 2
	// crashLife is how long a crash is remembered: callers come back within their deadlines.
	crashLife = 2 * time.Minute
	// togetherLeast upstreams which crash within togetherWindow of one another are lost with a
	// rack or their power, and not for what they ran.
	togetherLeast  = 3
	togetherWindow = 250 * time.Millisecond
	// maxFingerprints bounds the requests that are remembered, of some 200 B each.
	maxFingerprints = 16_384
)

// NewQuarantine returns a quarantine of no request.
func NewQuarantine() *Quarantine {
	return &Quarantine{fingerprints: make(map[Fingerprint][]crash)}
}

// Add records that an upstream, which was born at a time, crashed under requests. It returns those
// that are quarantined from now on.
func (q *Quarantine) Add(fingerprints []Fingerprint, upstream string, born int64, now time.Time) (quarantined []Fingerprint) {
	q.mutex.Lock()
	defer q.mutex.Unlock()
	q.forget(now)
	x := crash{now, born, upstream}
	if !slices.ContainsFunc(q.recent, x.same) {
		q.recent = append(q.recent, x)
	}
	for _, p := range fingerprints {
		before := q.count(p, now)
		if !slices.ContainsFunc(q.fingerprints[p], x.same) && (len(q.fingerprints) < maxFingerprints || q.fingerprints[p] != nil) {
			q.fingerprints[p] = append(q.fingerprints[p], x)
		}
		if before < crashesMost && q.count(p, now) >= crashesMost {
			quarantined = append(quarantined, p)
		}
	}
	return quarantined
}

// Quarantined reports whether a request may be sent to no further upstream.
func (q *Quarantine) Quarantined(p Fingerprint, now time.Time) bool {
	return q.Crashes(p, now) >= crashesMost
}

// Clear records that a request ran to its end: upstreams crashed for another reason. It reports
// whether any had crashed under it.
func (q *Quarantine) Clear(p Fingerprint) bool {
	q.mutex.Lock()
	defer q.mutex.Unlock()
	_, crashed := q.fingerprints[p]
	delete(q.fingerprints, p)
	return crashed
}

// Crashes returns how many upstreams crashed under a request, but for those that crashed together
// with others.
func (q *Quarantine) Crashes(p Fingerprint, now time.Time) int {
	q.mutex.Lock()
	defer q.mutex.Unlock()
	return q.count(p, now)
}

// Empty reports whether nothing is remembered of any request.
func (q *Quarantine) Empty() bool {
	q.mutex.Lock()
	defer q.mutex.Unlock()
	return len(q.fingerprints) == 0
}

// Size returns how many requests are quarantined.
func (q *Quarantine) Size(now time.Time) int {
	q.mutex.Lock()
	defer q.mutex.Unlock()
	n := 0
	for p := range q.fingerprints {
		if q.count(p, now) >= crashesMost {
			n++
		}
	}
	return n
}

// count is Crashes; the lock is held.
func (q *Quarantine) count(p Fingerprint, now time.Time) int {
	n := 0
	for _, x := range q.fingerprints[p] {
		if now.Sub(x.at) < crashLife && !q.together(&x) {
			n++
		}
	}
	return n
}

// forget drops what is old; the lock is held.
func (q *Quarantine) forget(now time.Time) {
	old := func(x crash) bool { return now.Sub(x.at) >= crashLife }
	if len(q.recent) == 0 || !old(q.recent[0]) {
		return
	}
	q.recent = slices.DeleteFunc(q.recent, old)
	for p, l := range q.fingerprints {
		if l = slices.DeleteFunc(l, old); len(l) == 0 {
			delete(q.fingerprints, p)
		} else {
			q.fingerprints[p] = l
		}
	}
}

// same reports whether two crashes are those of one start of an upstream.
func (x *crash) same(y crash) bool {
	return x.upstream == y.upstream && x.born == y.born
}

// together reports whether an upstream crashed with others; the lock is held.
func (q *Quarantine) together(x *crash) bool {
	n := 0
	for _, y := range q.recent {
		if y.at.Sub(x.at).Abs() < togetherWindow {
			n++
		}
	}
	return n >= togetherLeast
}
