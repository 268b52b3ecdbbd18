package policy

import (
	"cmp"
	"maps"
	"slices"
	"sync"
	"time"
)

// FrequentRuns records which requests recently ran to completion at any box. If there are too many,
// it keeps the most frequent ones, as these are the most likely to be running at an upstream when it
// crashes. It is safe for concurrent use.
type FrequentRuns struct {
	mutex sync.Mutex
	runs  map[Fingerprint]runStats
	// usedForCrashAt is the time of the last crash of which a request was cleared because of an
	// earlier run. Each run clears its request of one crash only.
	usedForCrashAt map[Fingerprint]time.Time
}

// maxFrequentRuns bounds the requests that are recorded; each takes about 60 bytes.
const maxFrequentRuns = 16_384

// NewFrequentRuns returns an empty record.
func NewFrequentRuns() *FrequentRuns {
	return &FrequentRuns{runs: make(map[Fingerprint]runStats), usedForCrashAt: make(map[Fingerprint]time.Time)}
}

// Add adds the runs of one box since its last report.
func (f *FrequentRuns) Add(l []CompletedRun, now time.Time) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	for _, x := range l {
		f.set(x.Fingerprint, runStats{x.At, f.runs[x.Fingerprint].times + x.Times}, now)
	}
}

// LastRunAt returns when a request last ran to completion, or the zero time if that is unknown, more
// than completedRunTTL ago, or not after the last crash of which it was cleared.
func (f *FrequentRuns) LastRunAt(p Fingerprint, now time.Time) time.Time {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	x := f.runs[p]
	if !f.usable(p, x, now) {
		return time.Time{}
	}
	return x.lastAt
}

// MarkUsed records that a request was cleared of the crash at crashedAt because of an earlier run.
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

// Merge adds what another FrequentRuns has recorded. Runs may be in both, so the larger count is kept.
func (f *FrequentRuns) Merge(l []CompletedRun, now time.Time) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	for _, x := range l {
		f.set(x.Fingerprint, runStats{x.At, max(f.runs[x.Fingerprint].times, x.Times)}, now)
	}
}

// Size returns the number of recorded requests.
func (f *FrequentRuns) Size() int {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	return len(f.runs)
}

// Top returns up to count requests, the most frequent first.
func (f *FrequentRuns) Top(count int, now time.Time) []CompletedRun {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	l := f.ranked(now)
	return l[:min(count, len(l))]
}

// prune drops the less frequent half to make room. The caller holds the mutex.
func (f *FrequentRuns) prune(now time.Time) {
	l := f.ranked(now)
	clear(f.runs)
	for _, x := range l[:min(maxFrequentRuns/2, len(l))] {
		f.runs[x.Fingerprint] = runStats{x.At, x.Times}
	}
}

// ranked returns the requests with a usable run, the most frequent first. The caller holds the mutex.
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

// set records the stats of a request, keeping the later of the old and the new time. The caller
// holds the mutex.
func (f *FrequentRuns) set(p Fingerprint, x runStats, now time.Time) {
	if x.lastAt.After(now) {
		x.lastAt = now // times from other boxes may be ahead of the local clock
	}
	old, found := f.runs[p]
	if old.lastAt.After(x.lastAt) {
		x.lastAt = old.lastAt
	}
	if !found && len(f.runs) >= maxFrequentRuns {
		f.prune(now)
	}
	f.runs[p] = x
}

// usable reports whether the last run of a request may clear it of a crash. The caller holds the mutex.
func (f *FrequentRuns) usable(p Fingerprint, x runStats, now time.Time) bool {
	return now.Sub(x.lastAt) < completedRunTTL && x.lastAt.After(f.usedForCrashAt[p])
}

// compareCompletedRuns orders requests by decreasing count, then by most recent run.
func compareCompletedRuns(a, b CompletedRun) int {
	return cmp.Or(cmp.Compare(b.Times, a.Times), b.At.Compare(a.At), cmp.Compare(a.Fingerprint, b.Fingerprint))
}
