package policy

import (
	"cmp"
	"maps"
	"slices"
	"sync"
	"time"
)

// Quarantine records the crashes of upstreams, the requests that were running there and the parts of their
// prompts. A request or part with enough crashes against it is taken to be their cause and
// quarantined: the request, or each request with the part, is sent to no further upstream, as it would crash
// one after another.
//
// A part that is often in the same prompts as the cause is not blamed, too: a suspect is not quarantined if
// another one accounts for all of its crashes and for more, and some crashes of a part that upstreams have
// served before do not count if another part accounts for them that was not served.
//
// It reads no clock and is safe for concurrent use once its exported field is set.
type Quarantine struct {
	// TrialDelay returns how much later than other boxes this one takes a trial of a quarantined request or
	// part. It differs by more than an announcement takes between any two boxes, so that one box takes the trial.
	TrialDelay func(p Fingerprint) time.Duration

	mutex        sync.Mutex
	changed      bool                     // since the digest was computed
	crashes      []*Crash                 // oldest first
	digest       uint64                   // of all suspects of all crashes
	bySuspect    map[Fingerprint][]*Crash // the crashes of a suspect, oldest first
	quarantined  map[Fingerprint]bool     // nil if it must be determined again
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
	// maxMissingSuspects bounds the suspects in one message to another box.
	maxMissingSuspects = 1024
	// maxSuspects bounds the memory; a suspect takes about 100 bytes.
	maxSuspects = 16_384
	// If at least minCorrelatedCrashes upstreams crash within correlationWindow, their rack or its
	// power may have failed.
	minCorrelatedCrashes = 3
	correlationWindow    = 250 * time.Millisecond
)

// A quarantined request is let through to one upstream when each of trialDelays has passed since it was
// quarantined, and stays quarantined for as long as it is sent again after that. A request that was
// quarantined by chance is cleared by such a trial. doubtfulPartTrialDelays apply to a part that upstreams have
// served before or that has rivals: many requests may be refused for it.
var (
	trialDelays             = []time.Duration{10 * time.Minute, 30 * time.Minute, 70 * time.Minute}
	doubtfulPartTrialDelays = []time.Duration{3 * time.Second, 30 * time.Second, 10 * time.Minute}
)

// carefulTrials is how many trials of a part are only taken by a request that tells whether the part is the cause.
const carefulTrials = 1

// NewQuarantine returns an empty quarantine.
func NewQuarantine() *Quarantine {
	return &Quarantine{
		TrialDelay: func(Fingerprint) time.Duration { return 0 },
		bySuspect:  make(map[Fingerprint][]*Crash),
	}
}

// Blocking returns the first of the fingerprints of a request, its own and those of the parts of its prompt,
// because of which it must not be sent to any upstream, and reports whether there is one.
func (q *Quarantine) Blocking(l []Fingerprint, now time.Time) (p Fingerprint, found bool) {
	q.mutex.Lock()
	defer q.mutex.Unlock()
	var onTrial []Fingerprint
	for _, p := range l {
		q.expireSuspect(p, now)
		if !q.isQuarantined(p) {
			continue
		}
		if q.trialsTaken(p) >= q.trialsDue(p, now) {
			return p, true
		}
		onTrial = append(onTrial, p)
	}
	if len(onTrial) == 0 {
		return 0, false
	}
	for _, p := range onTrial {
		if q.trialsDue(p, now) <= carefulTrials && !q.trialTells(p, l) {
			return p, true
		}
	}
	return 0, false
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
	if changed {
		q.markChanged()
	}
	return changed
}

// ClearCompleted clears requests and parts that have run to completion: of the crashes before their last run
// and of the first one after it, with those that are correlated with it. It clears them of no later crash,
// as a request that has become poisonous would otherwise crash one upstream more each time. Only a part that has
// run often is cleared of crashes up to maxPowerLosses times if they are correlated each time, as upstreams may
// lose their power again before they have served anything. The function lastRun returns when a request or part
// last ran, and how often it did; the zero time if that is unknown. ClearCompleted looks at the given
// fingerprints, or at all suspects if there are none, and returns what it cleared.
func (q *Quarantine) ClearCompleted(lastRun func(p Fingerprint) (at time.Time, times int), fingerprints ...Fingerprint) []Crash {
	q.mutex.Lock()
	defer q.mutex.Unlock()
	if len(fingerprints) == 0 {
		fingerprints = slices.Collect(maps.Keys(q.bySuspect))
	}
	var l []Crash
	for _, p := range fingerprints {
		if at, times := lastRun(p); !at.IsZero() {
			l = append(l, q.clearCompleted(p, at, times)...)
		}
	}
	return l
}

// ClearedCrashes returns the crashes of which requests or parts are cleared, without other suspects.
func (q *Quarantine) ClearedCrashes(fingerprints []Fingerprint) []Crash {
	q.mutex.Lock()
	defer q.mutex.Unlock()
	var l []Crash
	for _, p := range fingerprints {
		l = append(l, slices.DeleteFunc(q.crashesOf(p), func(c Crash) bool { return c.HasSuspect() })...)
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

// CrashesSince returns how many times upstreams have crashed under a request or part after a time and before a
// crash at before. Crashes that may be correlated with one another count as one, and those that may be
// correlated with the crash at before do not count.
func (q *Quarantine) CrashesSince(p Fingerprint, after, before time.Time) int {
	q.mutex.Lock()
	defer q.mutex.Unlock()
	n := 0
	var first time.Time // of the crashes that were counted last
	for _, c := range q.bySuspect[p] {
		if !c.At.Before(after) && before.Sub(c.At) >= correlationWindow && (n == 0 || c.At.Sub(first) >= correlationWindow) {
			n++
			first = c.At
		}
	}
	return n
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
	return q.isQuarantined(p) && q.trialsTaken(p) >= q.trialsDue(p, now)
}

// QuarantinedCrashes returns the crashes of up to count quarantined requests, those with the latest
// activity, without other suspects; it returns at most count crashes, too.
func (q *Quarantine) QuarantinedCrashes(count int, now time.Time) []Crash {
	q.mutex.Lock()
	defer q.mutex.Unlock()
	q.expire(now)
	var quarantined []Fingerprint
	for p := range q.bySuspect {
		if q.isQuarantined(p) {
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
			wasQuarantined[s.Fingerprint] = q.isQuarantined(s.Fingerprint)
		}
	}
	for i := range l {
		changed = q.record(&l[i], now) || changed
	}
	q.expire(now)
	for p, was := range wasQuarantined {
		if !was && q.isQuarantined(p) {
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
	if !q.isQuarantined(p) || now.Sub(q.lastActivity(p)) < renewInterval {
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
	return len(q.quarantinedSet())
}

// TakeTrial records that a quarantined request is let through, if that is due. It returns the crashes
// of the request, to be announced to the other boxes, or nil.
func (q *Quarantine) TakeTrial(p Fingerprint, now time.Time) []Crash {
	q.mutex.Lock()
	defer q.mutex.Unlock()
	q.expireSuspect(p, now)
	n := q.trialsDue(p, now)
	if !q.isQuarantined(p) || q.trialsTaken(p) >= n {
		return nil
	}
	for _, c := range q.bySuspect[p] {
		c.suspect(p).Trials = n
	}
	q.markChanged()
	return q.crashesOf(p)
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
	quarantined := q.quarantinedSet()
	for p := range q.bySuspect {
		q.expireCrashes(p, quarantined[p], now)
	}
	// Crashes without suspects are kept for as long as they may be correlated with others.
	q.crashes = slices.DeleteFunc(q.crashes, func(c *Crash) bool {
		return len(c.Suspects) == 0 && now.Sub(c.At) >= suspectTTL+correlationWindow
	})
	q.quarantined = nil
}

// expireCrashes drops the crashes of a suspect that are too old to count. The caller holds the mutex.
func (q *Quarantine) expireCrashes(p Fingerprint, quarantined bool, now time.Time) {
	ttl := suspectTTL
	if quarantined {
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

// expireSuspect drops the crashes of a suspect that are too old to count. The caller holds the mutex.
func (q *Quarantine) expireSuspect(p Fingerprint, now time.Time) {
	if len(q.bySuspect[p]) > 0 {
		q.expireCrashes(p, q.isQuarantined(p), now)
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

// isQuarantined reports whether a request or part is quarantined, whether or not a trial is due. The caller
// holds the mutex.
func (q *Quarantine) isQuarantined(p Fingerprint) bool {
	return len(q.bySuspect[p]) > 0 && q.quarantinedSet()[p]
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
	quarantined := q.quarantinedSet()
	for _, c := range q.crashes {
		for _, s := range slices.Clone(c.Suspects) {
			if !quarantined[s.Fingerprint] {
				q.removeSuspect(s.Fingerprint, c)
			}
		}
		if q.suspectCount < maxSuspects {
			return true
		}
	}
	return false
}

// markChanged records that the digest and the quarantined requests have to be determined again. The caller
// holds the mutex.
func (q *Quarantine) markChanged() {
	q.changed, q.quarantined = true, nil
}

// quarantinedAt returns the time of the crash that put a request into quarantine, or the zero time.
// The caller holds the mutex.
func (q *Quarantine) quarantinedAt(p Fingerprint) time.Time {
	n := 0
	for _, c := range q.bySuspect[p] {
		if c.suspect(p).Cleared {
			continue
		}
		if n += q.crashWeight(c); n >= quarantineThreshold {
			return c.At
		}
	}
	return time.Time{}
}

// quarantinedSet returns the quarantined requests and parts. The caller holds the mutex.
func (q *Quarantine) quarantinedSet() map[Fingerprint]bool {
	if q.quarantined == nil {
		q.quarantined = q.findQuarantined()
	}
	return q.quarantined
}

// quarantinedSuspects returns how many suspects of a crash are quarantined. The caller holds the mutex.
func (q *Quarantine) quarantinedSuspects(c *Crash) int {
	n := 0
	for _, s := range c.Suspects {
		if q.isQuarantined(s.Fingerprint) {
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
		q.quarantined = nil
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
	if changed {
		q.markChanged()
	}
	return changed
}

// removeSuspect removes a request from a crash. The caller holds the mutex.
func (q *Quarantine) removeSuspect(p Fingerprint, c *Crash) {
	i := slices.IndexFunc(c.Suspects, func(s Suspect) bool { return s.Fingerprint == p })
	c.Suspects = slices.Delete(c.Suspects, i, i+1)
	q.suspectCount--
	l := q.bySuspect[p]
	q.markChanged()
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
	since, delays := now.Sub(q.quarantinedAt(p)), trialDelays
	if q.proven(p) || len(q.rivals(p)) > 0 {
		delays = doubtfulPartTrialDelays
	}
	n := countUntil(delays, since)
	if n > q.trialsTaken(p) {
		n = countUntil(delays, since-q.TrialDelay(p))
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

// countUntil returns how many of the delays, in ascending order, have passed after d.
func countUntil(delays []time.Duration, d time.Duration) int {
	n := 0
	for n < len(delays) && d >= delays[n] {
		n++
	}
	return n
}

// toMonotonic returns t with the monotonic clock reading of now, so that the age of an event from
// another box does not change when the wall clock is set.
func toMonotonic(t, now time.Time) time.Time {
	return now.Add(t.Sub(now))
}
