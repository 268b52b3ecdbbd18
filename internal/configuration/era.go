package configuration

import (
	"sync"
	"time"

	"github.com/linetiller/linetiller/internal/event"
	"github.com/linetiller/linetiller/internal/resource"
	"github.com/linetiller/linetiller/internal/revision"
)

// storeEra is the store's era as known to this box: a counter of how often the store was restored
// from a backup.
type storeEra struct {
	mutex      sync.Mutex // guards the fields below
	newest     int64      // the highest era seen
	restoredAt time.Time  // when this box learned of the last restore; zero if it never did
}

// restoreSettlePeriod is how long after this box learned of a restore the results of snapshot reads
// are tentative. Operators and upstreams write their rows again within that time.
const restoreSettlePeriod = 6 * time.Second

// Era returns the store's era as known to this box, and when the box learned of the last restore,
// zero if it never did. A box that has just started learns of earlier restores as if they were a
// single one.
func (f *Follower) Era() (era int64, restoredAt time.Time) {
	f.era.mutex.Lock()
	defer f.era.mutex.Unlock()
	return f.era.newest, f.era.restoredAt
}

// RecordEra records the store's era. If it is higher than the known one, the store was restored:
// this is logged, and OnRestored is called.
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

// advance records an era. It returns the era known before, and whether the new one is higher, so
// that the store was restored in between.
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

// logHeldChanges logs that more changes of a batch's source are held than the given number before
// it was merged.
func (f *Follower) logHeldChanges(b *resource.Batch, before int) {
	if n := f.view.CountHeld(b.Source); n > before {
		event.ChangesHeld.Log(f.log, "source", string(b.Source), "era", revision.Era(b.Revision), "revision", revision.Version(b.Revision), "changes", n)
	}
}

// markTentative marks the changes that a read after a revision returned as tentative if they may
// come from the backup that the store was restored from. Changes since a revision of the same era
// were written in that era, and are not tentative.
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

// recentlyRestored reports whether this box learned of a restore within restoreSettlePeriod.
func (f *Follower) recentlyRestored(now time.Time) bool {
	_, restoredAt := f.Era()
	return !restoredAt.IsZero() && now.Sub(restoredAt) < restoreSettlePeriod
}

// recordBatchEra records the era of a batch's revision.
func (f *Follower) recordBatchEra(b *resource.Batch) {
	if b.Source.UsesStoreRevisions() && b.Revision > 0 {
		f.RecordEra(revision.Era(b.Revision))
	}
}
