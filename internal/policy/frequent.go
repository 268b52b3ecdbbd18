package policy

import (
	"cmp"
	"maps"
	"slices"
	"sync"
	"time"
)

// Frequent remembers which requests lately ran to their ends at any box, and prefers those that did so
// most often: they are the likeliest to run at an upstream as it crashes. It is safe for concurrent use.
type Frequent struct {
	mutex sync.Mutex
	runs  map[Fingerprint]ran
	// usedAt is the time of the last crash that a run cleared its request of. A run clears of one crash only.
	usedAt map[Fingerprint]time.Time
}

// frequentMost bounds the requests that are remembered, of some 60 B each.
const frequentMost = 16_384

// NewFrequent returns a memory of no request.
func NewFrequent() *Frequent {
	return &Frequent{runs: make(map[Fingerprint]ran), usedAt: make(map[Fingerprint]time.Time)}
}

// Add records runs since the last report of the same box.
func (f *Frequent) Add(l []ServedRun, now time.Time) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	for _, x := range l {
		f.set(x.Fingerprint, ran{x.At, f.runs[x.Fingerprint].times + x.Times}, now)
	}
}

// At returns when a request last ran to its end, the zero time where that is not known, long ago, or
// was used already.
func (f *Frequent) At(p Fingerprint, now time.Time) time.Time {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	x := f.runs[p]
	if !f.usable(p, x, now) {
		return time.Time{}
	}
	return x.at
}

// Learn merges what another Frequent knows, of which some may be known already.
func (f *Frequent) Learn(l []ServedRun, now time.Time) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	for _, x := range l {
		f.set(x.Fingerprint, ran{x.At, max(f.runs[x.Fingerprint].times, x.Times)}, now)
	}
}

// Most returns up to so many requests, the most frequent ones first.
func (f *Frequent) Most(count int, now time.Time) []ServedRun {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	l := f.ranked(now)
	return l[:min(count, len(l))]
}

// Size returns how many requests are remembered.
func (f *Frequent) Size() int {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	return len(f.runs)
}

// MarkUsed records that a request was cleared of a crash at a time, by a run before it.
func (f *Frequent) MarkUsed(p Fingerprint, crashedAt, now time.Time) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	if len(f.usedAt) >= frequentMost {
		maps.DeleteFunc(f.usedAt, func(_ Fingerprint, t time.Time) bool { return now.Sub(t) >= servedLife })
	}
	if len(f.usedAt) < frequentMost && crashedAt.After(f.usedAt[p]) {
		f.usedAt[p] = crashedAt
	}
}

// prune makes room by dropping the less frequent half; the lock is held.
func (f *Frequent) prune(now time.Time) {
	l := f.ranked(now)
	clear(f.runs)
	for _, x := range l[:min(frequentMost/2, len(l))] {
		f.runs[x.Fingerprint] = ran{x.At, x.Times}
	}
}

// ranked returns the requests that ran lately, the most frequent ones first; the lock is held.
func (f *Frequent) ranked(now time.Time) []ServedRun {
	l := make([]ServedRun, 0, len(f.runs))
	for p, x := range f.runs {
		if f.usable(p, x, now) {
			l = append(l, ServedRun{x.at, p, x.times})
		}
	}
	slices.SortFunc(l, compareRuns)
	return l
}

// set records a request's runs, the last of which may be known to be later; the lock is held.
func (f *Frequent) set(p Fingerprint, x ran, now time.Time) {
	if x.at.After(now) {
		x.at = now // by another clock
	}
	old, known := f.runs[p]
	if old.at.After(x.at) {
		x.at = old.at
	}
	if !known && len(f.runs) >= frequentMost {
		f.prune(now)
	}
	f.runs[p] = x
}

// usable reports whether the last run of a request may clear it of a crash; the lock is held.
func (f *Frequent) usable(p Fingerprint, x ran, now time.Time) bool {
	return now.Sub(x.at) < servedLife && x.at.After(f.usedAt[p])
}

// compareRuns orders requests by how often and then by how lately they ran.
func compareRuns(a, b ServedRun) int {
	return cmp.Or(cmp.Compare(b.Times, a.Times), b.At.Compare(a.At), cmp.Compare(a.Fingerprint, b.Fingerprint))
}
