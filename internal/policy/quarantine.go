package policy

import (
	"cmp"
	"slices"
	"sync"
	"time"
)

// Quarantine remembers under which requests upstreams crashed. A request is quarantined, and sent
// to no further upstream, once so many crashes count against it that it is taken for their cause:
// it would crash one upstream after another.
//
// It reads no clock and is safe for concurrent use.
type Quarantine struct {
	mutex        sync.Mutex
	changed      bool                     // since the digest was computed
	crashes      []*Crash                 // oldest first
	digest       uint64                   // of all suspects of all crashes
	bySuspect    map[Fingerprint][]*Crash // those that a request is a suspect of, oldest first
	suspectCount int                      // suspects of all crashes
}

const (
	// suspectTTL is how long a request stays a suspect: callers come back within their deadlines.
	suspectTTL = 2 * time.Minute
	// quarantineTTL is how long a request stays quarantined after it last returned or crashed
	// an upstream. Boxes tell each other of returns every renewInterval.
	quarantineTTL = 24 * time.Hour
	renewInterval = time.Hour
	// A quarantined request is let through once after firstTrialDelay, and again after twice as long
	// each time: what was taken for the cause of crashes by chance is cleared by that run. After
	// maxTrials it is for as long as it returns.
	firstTrialDelay = 10 * time.Minute
	maxTrials       = 3
	// maxMissingSuspects bounds the suspects that a box hears of in one message.
	maxMissingSuspects = 1024
	// maxSuspects bounds what is remembered, of some 100 B each.
	maxSuspects = 16_384
	// minCorrelatedCrashes upstreams that crash within correlationWindow of one another may have lost
	// their rack or its power.
	minCorrelatedCrashes = 3
	correlationWindow    = 250 * time.Millisecond

	// A request is quarantined at quarantineThreshold: after two crashes, as after one each of the
	// requests that ran there would be refused. Of crashes that come together it takes three: what
	// ran in a rack that loses its power twice is not refused, and a caller that sends several poison
	// requests at once is stopped nonetheless.
	isolatedCrashWeight   = 3
	correlatedCrashWeight = 2
	quarantineThreshold   = 6
)

// NewQuarantine returns a quarantine of no request.
func NewQuarantine() *Quarantine {
	return &Quarantine{bySuspect: make(map[Fingerprint][]*Crash)}
}

// Clear records that a run of a request got further than those that crashed: they crashed for
// another reason. It reports whether that is news.
func (q *Quarantine) Clear(p Fingerprint) bool {
	q.mutex.Lock()
	defer q.mutex.Unlock()
	changed := false
	for _, c := range q.bySuspect[p] {
		s := c.suspect(p)
		changed = changed || !s.Cleared
		s.Cleared = true
	}
	q.changed = q.changed || changed
	return changed
}

// ClearCompleted clears requests that are known to have run to their ends: of the crashes before that, and of
// the first one after it and of no other, as one that turns poison crashes one upstream more. Served
// returns when a request last ran to its end, the zero time where that is not known. ClearCompleted returns
// what it cleared.
func (q *Quarantine) ClearCompleted(lastRunAt func(p Fingerprint) time.Time) []Crash {
	q.mutex.Lock()
	defer q.mutex.Unlock()
	var l []Crash
	for p := range q.bySuspect {
		t := lastRunAt(p)
		if t.IsZero() {
			continue
		}
		for _, c := range q.bySuspect[p] {
			if s := c.suspect(p); !s.Cleared {
				s.Cleared = true
				q.changed = true
				d := *c
				d.Suspects = []Suspect{*s}
				l = append(l, d)
			}
			if !c.At.Before(t) {
				break
			}
		}
	}
	return l
}

// CrashCount returns how many upstreams crashed under a request that it is a suspect of.
func (q *Quarantine) CrashCount(p Fingerprint, now time.Time) int {
	q.mutex.Lock()
	defer q.mutex.Unlock()
	q.expireSuspect(p, now)
	n := 0
	for _, c := range q.bySuspect[p] {
		if !c.suspect(p).Cleared {
			n++
		}
	}
	return n
}

// Digest returns a hash of all that is remembered; 0 for nothing.
func (q *Quarantine) Digest(now time.Time) uint64 {
	q.mutex.Lock()
	defer q.mutex.Unlock()
	q.expire(now)
	if q.changed {
		q.changed, q.digest = false, 0
		for _, c := range q.crashes {
			q.digest ^= c.hash()
		}
	}
	return q.digest
}

// Empty reports whether nothing is remembered of any request.
func (q *Quarantine) Empty() bool {
	q.mutex.Lock()
	defer q.mutex.Unlock()
	return len(q.bySuspect) == 0
}

// QuarantinedCrashes returns the crashes of up to so many quarantined requests, those that returned last, with no other
// suspects; at most as many crashes, too.
func (q *Quarantine) QuarantinedCrashes(count int, now time.Time) []Crash {
	q.mutex.Lock()
	defer q.mutex.Unlock()
	q.expire(now)
	var quarantined []Fingerprint
	for p := range q.bySuspect {
		if q.weight(p) >= quarantineThreshold {
			quarantined = append(quarantined, p)
		}
	}
	slices.SortFunc(quarantined, func(a, b Fingerprint) int {
		return cmp.Or(q.lastActivity(b).Compare(q.lastActivity(a)), cmp.Compare(a, b))
	})
	quarantined = quarantined[:min(count, len(quarantined))]
	var l []Crash
	for _, c := range q.crashes {
		d := *c
		d.Suspects = slices.DeleteFunc(slices.Clone(c.Suspects), func(s Suspect) bool { return !slices.Contains(quarantined, s.Fingerprint) })
		if len(d.Suspects) > 0 {
			l = append(l, d)
		}
	}
	return l[max(0, len(l)-count):]
}

// CrashHashes returns the hashes of the crashes that are remembered, for Missing at another box.
func (q *Quarantine) CrashHashes(now time.Time) []uint64 {
	q.mutex.Lock()
	defer q.mutex.Unlock()
	q.expire(now)
	var l []uint64
	for _, c := range q.crashes {
		if len(c.Suspects) > 0 {
			l = append(l, c.hash())
		}
	}
	return l
}

// LastCrashBefore returns when an upstream last crashed under a request before a time, the zero time where
// none is known.
func (q *Quarantine) LastCrashBefore(p Fingerprint, at time.Time) time.Time {
	q.mutex.Lock()
	defer q.mutex.Unlock()
	var last time.Time
	for _, c := range q.bySuspect[p] {
		if c.At.Before(at) {
			last = c.At
		}
	}
	return last
}

// Missing returns the crashes that another box does not know as they are known here: those of
// quarantined requests and the newest ones, where there are many.
func (q *Quarantine) Missing(known []uint64, now time.Time) []Crash {
	q.mutex.Lock()
	defer q.mutex.Unlock()
	q.expire(now)
	var l []Crash
	for _, c := range q.crashes {
		if len(c.Suspects) > 0 && !slices.Contains(known, c.hash()) {
			d := *c
			d.Suspects = slices.Clone(c.Suspects)
			l = append(l, d)
		}
	}
	slices.SortStableFunc(l, func(a, b Crash) int {
		if x, y := q.quarantinedSuspects(&a), q.quarantinedSuspects(&b); x != y {
			return cmp.Compare(y, x)
		}
		return b.At.Compare(a.At)
	})
	n := 0
	for i := range l {
		if n += len(l[i].Suspects); n > maxMissingSuspects {
			return l[:max(1, i)]
		}
	}
	return l
}

// Quarantined reports whether a request may be sent to no further upstream.
func (q *Quarantine) Quarantined(p Fingerprint, now time.Time) bool {
	q.mutex.Lock()
	defer q.mutex.Unlock()
	q.expireSuspect(p, now)
	return q.weight(p) >= quarantineThreshold && q.trialsTaken(p) >= q.trialsDue(p, now)
}

// Record adds what boxes know of crashes. It returns the requests that are quarantined from now
// on, and reports whether anything was news.
func (q *Quarantine) Record(l []Crash, now time.Time) (quarantined []Fingerprint, changed bool) {
	q.mutex.Lock()
	defer q.mutex.Unlock()
	q.expire(now)
	before := make(map[Fingerprint]bool)
	for i := range l {
		for _, s := range l[i].Suspects {
			before[s.Fingerprint] = q.weight(s.Fingerprint) >= quarantineThreshold
		}
	}
	for i := range l {
		changed = q.record(&l[i], now) || changed
	}
	q.expire(now)
	for p, was := range before {
		if !was && q.weight(p) >= quarantineThreshold {
			quarantined = append(quarantined, p)
		}
	}
	slices.Sort(quarantined)
	return quarantined, changed
}

// Renew records that a request returned. It returns its crashes where the other boxes have to know
// that.
func (q *Quarantine) Renew(p Fingerprint, now time.Time) []Crash {
	q.mutex.Lock()
	defer q.mutex.Unlock()
	q.expireSuspect(p, now)
	if q.weight(p) < quarantineThreshold || now.Sub(q.lastActivity(p)) < renewInterval {
		return nil
	}
	for _, c := range q.bySuspect[p] {
		c.LastReturnAt = now
	}
	return q.crashesOf(p)
}

// Size returns how many requests are quarantined.
func (q *Quarantine) Size(now time.Time) int {
	q.mutex.Lock()
	defer q.mutex.Unlock()
	q.expire(now)
	n := 0
	for p := range q.bySuspect {
		if q.weight(p) >= quarantineThreshold {
			n++
		}
	}
	return n
}

// TakeTrial records that a quarantined request is let through, where that is due. It returns its
// crashes, which the other boxes have to know, or nil.
func (q *Quarantine) TakeTrial(p Fingerprint, now time.Time) []Crash {
	q.mutex.Lock()
	defer q.mutex.Unlock()
	q.expireSuspect(p, now)
	n := q.trialsDue(p, now)
	if q.weight(p) < quarantineThreshold || q.trialsTaken(p) >= n {
		return nil
	}
	for _, c := range q.bySuspect[p] {
		c.suspect(p).Trials = n
	}
	q.changed = true
	return q.crashesOf(p)
}

// crashesOf returns the crashes of a request with itself as their only suspect; the lock is held.
func (q *Quarantine) crashesOf(p Fingerprint) []Crash {
	var l []Crash
	for _, c := range q.bySuspect[p] {
		d := *c
		d.Suspects = []Suspect{*c.suspect(p)}
		l = append(l, d)
	}
	return l
}

// removeSuspect removes a request from a crash; the lock is held.
func (q *Quarantine) removeSuspect(p Fingerprint, c *Crash) {
	i := slices.IndexFunc(c.Suspects, func(s Suspect) bool { return s.Fingerprint == p })
	c.Suspects = slices.Delete(c.Suspects, i, i+1)
	q.suspectCount--
	l := q.bySuspect[p]
	q.changed = true
	i = slices.Index(l, c)
	if l = slices.Delete(l, i, i+1); len(l) == 0 {
		delete(q.bySuspect, p)
		return
	}
	q.bySuspect[p] = l
}

// expireSuspect drops the crashes of a request that are too old to count; the lock is held.
func (q *Quarantine) expireSuspect(p Fingerprint, now time.Time) {
	life := suspectTTL
	if q.weight(p) >= quarantineThreshold {
		if now.Sub(q.lastActivity(p)) < quarantineTTL {
			return
		}
		life = 0
	}
	for _, c := range slices.Clone(q.bySuspect[p]) {
		if now.Sub(c.At) >= life {
			q.removeSuspect(p, c)
		}
	}
}

// expire drops what is too old to count; the lock is held.
func (q *Quarantine) expire(now time.Time) {
	old := func(c *Crash) bool { return now.Sub(c.At) >= suspectTTL }
	if len(q.crashes) == 0 || !old(q.crashes[0]) {
		return
	}
	for p := range q.bySuspect {
		q.expireSuspect(p, now)
	}
	// Those that crashed with others outlast their suspects.
	q.crashes = slices.DeleteFunc(q.crashes, func(c *Crash) bool {
		return len(c.Suspects) == 0 && now.Sub(c.At) >= suspectTTL+correlationWindow
	})
}

// quarantinedSuspects returns how many suspects of a crash are quarantined; the lock is held.
func (q *Quarantine) quarantinedSuspects(c *Crash) int {
	n := 0
	for _, s := range c.Suspects {
		if q.weight(s.Fingerprint) >= quarantineThreshold {
			n++
		}
	}
	return n
}

// lastActivity returns when a request last returned or crashed an upstream; the lock is held.
func (q *Quarantine) lastActivity(p Fingerprint) time.Time {
	var t time.Time
	for _, c := range q.bySuspect[p] {
		if x := c.LastActivity(); x.After(t) {
			t = x
		}
	}
	return t
}

// makeRoom drops the oldest suspects that are not quarantined until there is room for another
// one, and reports whether there is; the lock is held.
func (q *Quarantine) makeRoom() bool {
	if q.suspectCount < maxSuspects {
		return true
	}
	for _, c := range q.crashes {
		for _, s := range slices.Clone(c.Suspects) {
			if q.weight(s.Fingerprint) < quarantineThreshold {
				q.removeSuspect(s.Fingerprint, c)
			}
		}
		if q.suspectCount < maxSuspects {
			return true
		}
	}
	return false
}

// quarantinedAt returns when the crash was noticed that put a request into quarantine; the lock is
// held.
func (q *Quarantine) quarantinedAt(p Fingerprint) time.Time {
	n := 0
	for _, c := range q.bySuspect[p] {
		if n += q.crashWeight(p, c); n >= quarantineThreshold {
			return c.At
		}
	}
	return time.Time{}
}

// record adds what is known of one crash, and reports whether that is news; the lock is held.
func (q *Quarantine) record(d *Crash, now time.Time) (changed bool) {
	i := slices.IndexFunc(q.crashes, d.sameStart)
	if i < 0 {
		c := &Crash{At: toMonotonic(d.At, now), StartedAtMS: d.StartedAtMS, Upstream: d.Upstream}
		i = len(q.crashes)
		for i > 0 && q.crashes[i-1].At.After(c.At) {
			i--
		}
		q.crashes = slices.Insert(q.crashes, i, c)
	}
	c := q.crashes[i]
	if d.LastReturnAt.After(c.LastReturnAt) {
		c.LastReturnAt = toMonotonic(d.LastReturnAt, now)
	}
	for _, s := range d.Suspects {
		if known := c.suspect(s.Fingerprint); known != nil {
			changed = known.merge(&s) || changed
			continue
		}
		changed = true
		if !q.makeRoom() {
			break
		}
		c.Suspects = append(c.Suspects, s)
		q.bySuspect[s.Fingerprint] = append(q.bySuspect[s.Fingerprint], c)
		slices.SortFunc(q.bySuspect[s.Fingerprint], func(a, b *Crash) int { return a.At.Compare(b.At) })
		q.suspectCount++
	}
	q.changed = q.changed || changed
	return changed
}

// correlated reports whether an upstream crashed with others; the lock is held.
func (q *Quarantine) correlated(c *Crash) bool {
	n := 0
	for _, d := range q.crashes {
		if d.At.Sub(c.At).Abs() < correlationWindow {
			n++
		}
	}
	return n >= minCorrelatedCrashes
}

// trialsTaken returns how often a request was let through; the lock is held.
func (q *Quarantine) trialsTaken(p Fingerprint) int {
	n := 0
	for _, c := range q.bySuspect[p] {
		n = max(n, c.suspect(p).Trials)
	}
	return n
}

// trialsDue returns how often a quarantined request was to be let through by now; the lock is held.
func (q *Quarantine) trialsDue(p Fingerprint, now time.Time) int {
	since := now.Sub(q.quarantinedAt(p))
	n := 0
	for n < maxTrials && since >= firstTrialDelay<<(n+1)-firstTrialDelay {
		n++
	}
	return n
}

// weight returns how much the crashes of a request weigh; the lock is held.
func (q *Quarantine) weight(p Fingerprint) int {
	n := 0
	for _, c := range q.bySuspect[p] {
		n += q.crashWeight(p, c)
	}
	return n
}

// crashWeight returns how much one crash of a request weighs; the lock is held.
func (q *Quarantine) crashWeight(p Fingerprint, c *Crash) int {
	switch {
	case c.suspect(p).Cleared:
		return 0
	case q.correlated(c):
		return correlatedCrashWeight
	}
	return isolatedCrashWeight
}

// toMonotonic returns a time that another box told by the clock of now, which does not follow steps of the
// time of day.
func toMonotonic(t, now time.Time) time.Time {
	return now.Add(t.Sub(now))
}
