package configuration

import (
	"sync"
	"time"

	"github.com/linetiller/linetiller/internal/event"
	"github.com/linetiller/linetiller/internal/resource"
	"github.com/linetiller/linetiller/internal/revision"
)

// storeEra is the store's era as a box knows it.
type storeEra struct {
	mutex      sync.Mutex // guards the fields below
	newest     int64      // the highest one
	restoredAt time.Time  // when this box learned that the store came back from a copy; zero where it never did
}

// restoreSettlePeriod is how long after this box learned that the store came back from a copy whole
// reads count as tentative: operators and upstreams write theirs again within that time.
const restoreSettlePeriod = 6 * time.Second

// Era returns the store's era as this box knows it, and when it learned that the store came
// back from a copy, zero where it never did. A box that starts knows only that it did so once.
func (f *Follower) Era() (era int64, restoredAt time.Time) {
	f.era.mutex.Lock()
	defer f.era.mutex.Unlock()
	return f.era.newest, f.era.restoredAt
}

// RecordEra takes in the era of the store.
func (f *Follower) RecordEra(n int64) {
	before, restored := f.era.advance(n)
	if !restored {
		return
	}
	event.StoreRestored.Log(f.log, "era", n, "before", before)
	if f.OnRestored != nil {
		f.OnRestored()
	}
}

// advance takes in an era. It returns the one before, and whether the store came back from a
// copy since that was told.
func (e *storeEra) advance(n int64) (before int64, restored bool) {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	before = e.newest
	if n <= before {
		return before, false
	}
	e.newest, e.restoredAt = n, time.Now()
	return before, true
}

// markTentative marks what a read after a revision brought as tentative, where the store may have
// told it from the copy from which it came back. What it tells as changed since within one
// era was written in that.
func (f *Follower) markTentative(b *resource.Batch, after int64) {
	f.recordBatchEra(b)
	if !b.Source.UsesStoreRevisions() || !f.recentlyRestored(time.Now()) {
		return
	}
	if !b.Snapshot && (len(b.Changes) == 0 || revision.Era(b.NewestRevision()) == revision.Era(after)) {
		return
	}
	b.Tentative = true
	for i := range b.Changes {
		b.Changes[i].Tentative = true
	}
}

// recentlyRestored reports whether this box learned a moment ago that the store came back from a copy.
func (f *Follower) recentlyRestored(now time.Time) bool {
	_, restoredAt := f.Era()
	return !restoredAt.IsZero() && now.Sub(restoredAt) < restoreSettlePeriod
}

// logHeldChanges tells that changes of a batch wait where others did not before.
func (f *Follower) logHeldChanges(b *resource.Batch, before int) {
	if n := f.view.CountHeld(b.Source); n > before {
		event.ChangesHeld.Log(f.log, "source", string(b.Source), "era", revision.Era(b.Revision), "revision", revision.Version(b.Revision), "changes", n)
	}
}

// recordBatchEra takes in the era of a batch.
func (f *Follower) recordBatchEra(b *resource.Batch) {
	if b.Source.UsesStoreRevisions() && b.Revision > 0 {
		f.RecordEra(revision.Era(b.Revision))
	}
}
