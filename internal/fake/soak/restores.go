package soak

import (
	"context"
	"encoding/json"
	"math/rand/v2"
	"time"

	fakeplatform "github.com/linetiller/linetiller/internal/fake/platform"
)

const (
	restoresRNGStream = 1 << 23                 // stream of the random generator, distinct from the others
	maxSnapshotAge    = 4 * time.Second         // maximum time from the snapshot until the store fails
	entryExpiry       = 3600 * time.Millisecond // after which a restored row of an upstream that has ended is removed again
	// maxLostWrites bounds the unrelated writes that a restore loses, and so how far the store's
	// revision goes back.
	maxLostWrites    = 200
	minRestoreOutage = 300 * time.Millisecond // minimum time for which the store is down
	// restoreJitter is the range of the random part of the store's downtime, and of the time from
	// the restore until operators and upstreams write their rows again.
	restoreJitter = 1500 * time.Millisecond
)

// putEvacuation writes to the store whether a hall is evacuated; the lock is held.
func (w *cluster) putEvacuation(hall byte) {
	key := "op/evacuate/" + string(hall)
	if w.evacuating[hall] {
		w.platform.Put(key, json.RawMessage(`{}`))
		return
	}
	w.platform.Remove(key)
}

// restoreStore takes a snapshot and later restores the store from it. Operators and upstreams keep
// changing their rows in between, and write them again some time after the restore.
func (w *cluster) restoreStore(r *rand.Rand) {
	w.platform.TakeSnapshot()
	for range r.IntN(maxLostWrites) {
		w.platform.Put("other/row", struct{}{})
	}
	w.configure()
	time.Sleep(time.Duration(r.Int64N(int64(maxSnapshotAge))))
	from := time.Now()
	w.setStoreFaults(fakeplatform.Faults{Down: true})
	time.Sleep(minRestoreOutage + time.Duration(r.Int64N(int64(restoreJitter))))
	w.platform.Restore()
	w.setStoreFaults(fakeplatform.Faults{})
	time.Sleep(time.Duration(r.Int64N(int64(restoreJitter))))
	w.rewriteStore()
	w.mutex.Lock()
	defer w.mutex.Unlock()
	w.storeOutages = append(w.storeOutages, interval{from, time.Now()})
}

// rewriteStore writes the rows of operators and upstreams again. The rows of upstreams that have
// ended are removed after entryExpiry.
func (w *cluster) rewriteStore() {
	w.mutex.Lock()
	defer w.mutex.Unlock() // held during the writes, so that later changes are written later
	w.putConfiguration(w.configVersion)
	for _, h := range []byte(w.halls) {
		w.putEvacuation(h)
	}
	for _, u := range w.upstreams {
		w.putUpstream(u)
	}
	ended := append([]*soakUpstream(nil), w.endedUpstreams...)
	w.workers.Go(func() {
		time.Sleep(entryExpiry)
		for _, u := range ended {
			if w.platform.Row("servers/"+u.name) != nil {
				w.platform.Remove("servers/" + u.name)
			}
		}
	})
}

// runRestores restores the store from snapshots until the context ends, and once more after that,
// followed by a change of the configuration.
func (w *cluster) runRestores(ctx context.Context, r *rand.Rand) {
	for ctx.Err() == nil {
		w.restoreStore(r)
	}
	w.restoreStore(r)
	w.configure()
}

// setEvacuation starts or ends the evacuation of a hall.
func (w *cluster) setEvacuation(hall byte, evacuated bool) {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	w.evacuating[hall] = evacuated
	w.putEvacuation(hall)
}
