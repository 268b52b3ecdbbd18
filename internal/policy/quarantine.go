package policy

import (
	"cmp"
	"slices"
	"sync"
	"time"
)

// Quarantine records the crashes of upstreams and the requests that were running there. A request
// with enough crashes against it is taken to be their cause and quarantined: it is sent to no
// further upstream, as it would crash one after another.
//
// It reads no clock and is safe for concurrent use.
type Quarantine struct {
	mutex        sync.Mutex
	changed      bool                     // since the digest was computed
	crashes      []*Crash                 // oldest first
	digest       uint64                   // of all suspects of all crashes
	bySuspect    map[Fingerprint][]*Crash // the crashes of which a request is a suspect, oldest first
	suspectCount int                      // suspects of all crashes
}

const (
	// suspectTTL is how long a request stays a suspect. Callers retry only within their
	// deadlines.
	suspectTTL = 2 * time.Minute
	// quarantineTTL is how long a request stays quarantined after it was last sent again or crashed
	// an upstream. While it is sent again, boxes announce that to each other once per renewInterval.
	quarantineTTL = 24 * time.Hour
	renewInterval = time.Hour
	// A quarantined request is let through once after firstTrialDelay, and again after twice as
	// long each time. A request that was quarantined by chance is cleared by such a trial. After
	// maxTrials it stays quarantined for as long as it is sent again.
	firstTrialDelay = 10 * time.Minute
	maxTrials       = 3
	// maxMissingSuspects bounds the suspects in one message to another box.
	maxMissingSuspects = 1024
	// maxSuspects bounds the memory; a suspect takes about 100 bytes.
	maxSuspects = 16_384
	// If at least minCorrelatedCrashes upstreams crash within correlationWindow, their rack or its
	// power may have failed.
	minCorrelatedCrashes = 3
	correlationWindow    = 250 * time.Millisecond

	// A request is quarantined once the weights of its crashes add up to quarantineThreshold. Two
	// isolated crashes suffice; if one did, every request running at a crashed upstream would be
	// refused. Correlated crashes take three: requests in a rack that loses power twice are not
	// refused, while a caller that sends several poison requests at once is still stopped.
	isolatedCrashWeight   = 3
	correlatedCrashWeight = 2
	quarantineThreshold   = 6
)

// NewQuarantine returns an empty quarantine.
func NewQuarantine() *Quarantine {
	return &Quarantine{bySuspect: make(map[Fingerprint][]*Crash)}
}

// Clear records that a run of a request has got further than those that crashed, so that something else
// caused the crashes. It reports whether that changed anything.
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

// ClearCompleted clears requests that have run to completion: of the crashes before their last run
// and of the first one after it. It clears them of no later crash, as a request that has become
// poisonous would otherwise crash one upstream more each time. The function lastRunAt returns when a
// request last ran to completion, or the zero time if that is unknown. ClearCompleted returns what it
// cleared.
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

// CrashCount returns the number of crashes of upstreams under a request of which it is not cleared.
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

// CrashHashes returns the hashes of all recorded crashes, to be passed to Missing at another box.
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

// Digest returns a hash of everything recorded; 0 for nothing.
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

// Empty reports whether no request is a suspect.
func (q *Quarantine) Empty() bool {
	q.mutex.Lock()
	defer q.mutex.Unlock()
	return len(q.bySuspect) == 0
}

// LastCrashBefore returns when an upstream last crashed under a request before at, or the zero time
// if no such crash is recorded.
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

// Missing returns the crashes whose hashes are not among knownHashes, those that another box has
// recorded in the same way. If there are too many for one message, it returns those of quarantined
// requests and the newest ones.
func (q *Quarantine) Missing(knownHashes []uint64, now time.Time) []Crash {
	q.mutex.Lock()
	defer q.mutex.Unlock()
	q.expire(now)
	var l []Crash
	for _, c := range q.crashes {
		if len(c.Suspects) > 0 && !slices.Contains(knownHashes, c.hash()) {
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

// Quarantined reports whether a request must not be sent to any upstream.
func (q *Quarantine) Quarantined(p Fingerprint, now time.Time) bool {
	q.mutex.Lock()
	defer q.mutex.Unlock()
	q.expireSuspect(p, now)
	return q.weight(p) >= quarantineThreshold && q.trialsTaken(p) >= q.trialsDue(p, now)
}

// QuarantinedCrashes returns the crashes of up to count quarantined requests, those with the latest
// activity, without other suspects; it returns at most count crashes, too.
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

// Record adds crashes that boxes have announced. It returns the requests that became quarantined,
// and reports whether anything changed.
func (q *Quarantine) Record(l []Crash, now time.Time) (quarantined []Fingerprint, changed bool) {
	q.mutex.Lock()
	defer q.mutex.Unlock()
	q.expire(now)
	wasQuarantined := make(map[Fingerprint]bool)
	for i := range l {
		for _, s := range l[i].Suspects {
			wasQuarantined[s.Fingerprint] = q.weight(s.Fingerprint) >= quarantineThreshold
		}
	}
	for i := range l {
		changed = q.record(&l[i], now) || changed
	}
	q.expire(now)
	for p, was := range wasQuarantined {
		if !was && q.weight(p) >= quarantineThreshold {
			quarantined = append(quarantined, p)
		}
	}
	slices.Sort(quarantined)
	return quarantined, changed
}

// Renew records that a request was sent again. It returns the crashes of the request if that has to
// be announced to the other boxes, or nil.
func (q *Quarantine) Renew(p Fingerprint, now time.Time) []Crash {
	q.mutex.Lock()
	defer q.mutex.Unlock()
	q.expireSuspect(p, now)
	if q.weight(p) < quarantineThreshold || now.Sub(q.lastActivity(p)) < renewInterval {
		return nil
	}
	for _, c := range q.bySuspect[p] {
		c.LastResentAt = now
	}
	return q.crashesOf(p)
}

// Size returns the number of quarantined requests.
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

// TakeTrial records that a quarantined request is let through, if that is due. It returns the crashes
// of the request, to be announced to the other boxes, or nil.
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

// correlated reports whether an upstream crashed together with others. The caller holds the mutex.
func (q *Quarantine) correlated(c *Crash) bool {
	n := 0
	for _, d := range q.crashes {
		if d.At.Sub(c.At).Abs() < correlationWindow {
			n++
		}
	}
	return n >= minCorrelatedCrashes
}

// crashWeight returns the weight of one crash of a request. The caller holds the mutex.
func (q *Quarantine) crashWeight(p Fingerprint, c *Crash) int {
	switch {
	case c.suspect(p).Cleared:
		return 0
	case q.correlated(c):
		return correlatedCrashWeight
	}
	return isolatedCrashWeight
}

// crashesOf returns copies of the crashes of a request with no other suspects. The caller holds the
// mutex.
func (q *Quarantine) crashesOf(p Fingerprint) []Crash {
	var l []Crash
	for _, c := range q.bySuspect[p] {
		d := *c
		d.Suspects = []Suspect{*c.suspect(p)}
		l = append(l, d)
	}
	return l
}

// expire drops whatever is too old to count. The caller holds the mutex.
func (q *Quarantine) expire(now time.Time) {
	old := func(c *Crash) bool { return now.Sub(c.At) >= suspectTTL }
	if len(q.crashes) == 0 || !old(q.crashes[0]) {
		return
	}
	for p := range q.bySuspect {
		q.expireSuspect(p, now)
	}
	// Crashes without suspects are kept for as long as they may be correlated with others.
	q.crashes = slices.DeleteFunc(q.crashes, func(c *Crash) bool {
		return len(c.Suspects) == 0 && now.Sub(c.At) >= suspectTTL+correlationWindow
	})
}

// expireSuspect drops the crashes of a request that are too old to count. The caller holds the mutex.
func (q *Quarantine) expireSuspect(p Fingerprint, now time.Time) {
	ttl := suspectTTL
	if q.weight(p) >= quarantineThreshold {
		if now.Sub(q.lastActivity(p)) < quarantineTTL {
			return
		}
		ttl = 0
	}
	for _, c := range slices.Clone(q.bySuspect[p]) {
		if now.Sub(c.At) >= ttl {
			q.removeSuspect(p, c)
		}
	}
}

// indexOf returns the index of the recorded crash that an announced one is a report of: the closest in
// time if there are several, so that all boxes choose the same. It returns -1 if there is none. The
// caller holds the mutex.
func (q *Quarantine) indexOf(d *Crash) int {
	closest := -1
	for i, c := range q.crashes {
		if c.sameStart(d) && (closest < 0 || c.At.Sub(d.At).Abs() < q.crashes[closest].At.Sub(d.At).Abs()) {
			closest = i
		}
	}
	return closest
}

// lastActivity returns when a request was last sent again or crashed an upstream. The caller holds
// the mutex.
func (q *Quarantine) lastActivity(p Fingerprint) time.Time {
	var t time.Time
	for _, c := range q.bySuspect[p] {
		if x := c.LastActivity(); x.After(t) {
			t = x
		}
	}
	return t
}

// makeRoom drops the oldest suspects that are not quarantined until there is room for another one,
// and reports whether there is. The caller holds the mutex.
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

// quarantinedAt returns the time of the crash that put a request into quarantine, or the zero time.
// The caller holds the mutex.
func (q *Quarantine) quarantinedAt(p Fingerprint) time.Time {
	n := 0
	for _, c := range q.bySuspect[p] {
		if n += q.crashWeight(p, c); n >= quarantineThreshold {
			return c.At
		}
	}
	return time.Time{}
}

// quarantinedSuspects returns how many suspects of a crash are quarantined. The caller holds the mutex.
func (q *Quarantine) quarantinedSuspects(c *Crash) int {
	n := 0
	for _, s := range c.Suspects {
		if q.weight(s.Fingerprint) >= quarantineThreshold {
			n++
		}
	}
	return n
}

// record adds one announced crash, and reports whether anything changed. The caller holds the mutex.
func (q *Quarantine) record(d *Crash, now time.Time) (changed bool) {
	i := q.indexOf(d)
	if i < 0 {
		c := &Crash{AliveAt: d.AliveAt, At: toMonotonic(d.At, now), StartedAtMS: d.StartedAtMS, Upstream: d.Upstream}
		i = len(q.crashes)
		for i > 0 && q.crashes[i-1].At.After(c.At) {
			i--
		}
		q.crashes = slices.Insert(q.crashes, i, c)
	}
	c := q.crashes[i]
	if d.AliveAt.After(c.AliveAt) {
		c.AliveAt = d.AliveAt
	}
	if d.LastResentAt.After(c.LastResentAt) {
		c.LastResentAt = toMonotonic(d.LastResentAt, now)
	}
	for _, s := range d.Suspects {
		if existing := c.suspect(s.Fingerprint); existing != nil {
			changed = existing.merge(&s) || changed
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

// removeSuspect removes a request from a crash. The caller holds the mutex.
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

// trialsDue returns how often a quarantined request may have been let through by now. The caller
// holds the mutex.
func (q *Quarantine) trialsDue(p Fingerprint, now time.Time) int {
	since := now.Sub(q.quarantinedAt(p))
	n := 0
	for n < maxTrials && since >= firstTrialDelay<<(n+1)-firstTrialDelay {
		n++
	}
	return n
}

// trialsTaken returns how often a request was let through. The caller holds the mutex.
func (q *Quarantine) trialsTaken(p Fingerprint) int {
	n := 0
	for _, c := range q.bySuspect[p] {
		n = max(n, c.suspect(p).Trials)
	}
	return n
}

// weight returns the total weight of the crashes of a request. The caller holds the mutex.
func (q *Quarantine) weight(p Fingerprint) int {
	n := 0
	for _, c := range q.bySuspect[p] {
		n += q.crashWeight(p, c)
	}
	return n
}

// toMonotonic returns t with the monotonic clock reading of now, so that the age of an event from
// another box does not change when the wall clock is set.
func toMonotonic(t, now time.Time) time.Time {
	return now.Add(t.Sub(now))
}
