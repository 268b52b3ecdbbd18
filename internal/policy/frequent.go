package policy

import (
	"cmp"
	"maps"
	"slices"
	"sync"
	"time"
)

// FrequentRuns remembers which requests lately ran to their ends at any box, and prefers those that did so
// most often: they are the likeliest to run at an upstream as it crashes. It is safe for concurrent use.
type FrequentRuns struct {
	mutex sync.Mutex
	runs  map[Fingerprint]runStats
	// usedForCrashAt is the time of the last crash that a run cleared its request of. A run clears of one crash only.
	usedForCrashAt map[Fingerprint]time.Time
}

// maxFrequentRuns bounds the requests that are remembered, of some 60 B each.
const maxFrequentRuns = 16_384

// NewFrequentRuns returns a memory of no request.
func NewFrequentRuns() *FrequentRuns {
	return &FrequentRuns{runs: make(map[Fingerprint]runStats), usedForCrashAt: make(map[Fingerprint]time.Time)}
}

// Add records runs since the last report of the same box.
func (f *FrequentRuns) Add(l []CompletedRun, now time.Time) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	for _, x := range l {
		f.set(x.Fingerprint, runStats{x.At, f.runs[x.Fingerprint].times + x.Times}, now)
	}
}

// LastRunAt returns when a request last ran to its end, the zero time where that is not known, long ago, or
// was used already.
func (f *FrequentRuns) LastRunAt(p Fingerprint, now time.Time) time.Time {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	x := f.runs[p]
	if !f.usable(p, x, now) {
		return time.Time{}
	}
	return x.lastAt
}

// Merge merges what another Frequent knows, of which some may be known already.
func (f *FrequentRuns) Merge(l []CompletedRun, now time.Time) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	for _, x := range l {
		f.set(x.Fingerprint, runStats{x.At, max(f.runs[x.Fingerprint].times, x.Times)}, now)
	}
}

// Top returns up to so many requests, the most frequent ones first.
func (f *FrequentRuns) Top(count int, now time.Time) []CompletedRun {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	l := f.ranked(now)
	return l[:min(count, len(l))]
}

// Size returns how many requests are remembered.
func (f *FrequentRuns) Size() int {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	return len(f.runs)
}

// MarkUsed records that a request was cleared of a crash at a time, by a run before it.
func (f *FrequentRuns) MarkUsed(p Fingerprint, crashedAt, now time.Time) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	if len(f.usedForCrashAt) >= maxFrequentRuns {
		maps.DeleteFunc(f.usedForCrashAt, func(_ Fingerprint, t time.Time) bool { return now.Sub(t) >= completedRunTTL })
	}
	if len(f.usedForCrashAt) < maxFrequentRuns && crashedAt.After(f.usedForCrashAt[p]) {
		f.usedForCrashAt[p] = crashedAt
	}
}

// prune makes room by dropping the less frequent half; the lock is held.
func (f *FrequentRuns) prune(now time.Time) {
	l := f.ranked(now)
	clear(f.runs)
	for _, x := range l[:min(maxFrequentRuns/2, len(l))] {
		f.runs[x.Fingerprint] = runStats{x.At, x.Times}
	}
}

// ranked returns the requests that ran lately, the most frequent ones first; the lock is held.
func (f *FrequentRuns) ranked(now time.Time) []CompletedRun {
	l := make([]CompletedRun, 0, len(f.runs))
	for p, x := range f.runs {
		if f.usable(p, x, now) {
			l = append(l, CompletedRun{x.lastAt, p, x.times})
		}
	}
	slices.SortFunc(l, compareCompletedRuns)
	return l
}

// set records a request's runs, the last of which may be known to be later; the lock is held.
func (f *FrequentRuns) set(p Fingerprint, x runStats, now time.Time) {
	if x.lastAt.After(now) {
		x.lastAt = now // by another clock
	}
	old, known := f.runs[p]
	if old.lastAt.After(x.lastAt) {
		x.lastAt = old.lastAt
	}
	if !known && len(f.runs) >= maxFrequentRuns {
		f.prune(now)
	}
	f.runs[p] = x
}

// usable reports whether the last run of a request may clear it of a crash; the lock is held.
func (f *FrequentRuns) usable(p Fingerprint, x runStats, now time.Time) bool {
	return now.Sub(x.lastAt) < completedRunTTL && x.lastAt.After(f.usedForCrashAt[p])
}

// compareCompletedRuns orders requests by how often and then by how lately they ran.
func compareCompletedRuns(a, b CompletedRun) int {
	return cmp.Or(cmp.Compare(b.Times, a.Times), b.At.Compare(a.At), cmp.Compare(a.Fingerprint, b.Fingerprint))
}
