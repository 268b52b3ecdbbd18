package soak

import (
	"context"
	"encoding/json"
	"math/rand/v2"
	"time"

	fakeplatform "github.com/linetiller/linetiller/internal/fake/platform"
)

const (
	restoresStream = 1 << 23         // of the random numbers, beside those of faults and callers
	maxSnapshotAge = 4 * time.Second // of the copy from which the store comes back
	entryExpiry    = 3600 * time.Millisecond
	// maxLostWrites bounds the writes of others that the store loses with a copy: by so much
	// its versions go back.
	maxLostWrites    = 200
	minRestoreOutage = 300 * time.Millisecond
	// restoreJitter is by how much the time differs for which the store is away, and then
	// the time until operators and upstreams write theirs again.
	restoreJitter = 1500 * time.Millisecond
)

// runRestores has the store come back from copies, one after another until the context
// ends, and once more then, with a change of the configuration after it.
func (w *cluster) runRestores(ctx context.Context, r *rand.Rand) {
	for ctx.Err() == nil {
		w.restoreStore(r)
	}
	w.restoreStore(r)
	w.configure()
}

// restoreStore has the store come back from a copy. Operators and upstreams go on meanwhile,
// and write theirs again some time later.
func (w *cluster) restoreStore(r *rand.Rand) {
	w.platform.TakeSnapshot()
	for range r.IntN(maxLostWrites) {
		w.platform.Put("other/row", struct{}{})
	}
	w.configure()
	time.Sleep(time.Duration(r.Int64N(int64(maxSnapshotAge))))
	from := time.Now()
	w.setStore(fakeplatform.Faults{Down: true})
	time.Sleep(minRestoreOutage + time.Duration(r.Int64N(int64(restoreJitter))))
	w.platform.Restore()
	w.setStore(fakeplatform.Faults{})
	time.Sleep(time.Duration(r.Int64N(int64(restoreJitter))))
	w.rewriteStore()
	w.mutex.Lock()
	defer w.mutex.Unlock()
	w.storeOutages = append(w.storeOutages, interval{from, time.Now()})
}

// rewriteStore writes what operators and upstreams have in the store. The entries of upstreams
// that are gone lapse.
func (w *cluster) rewriteStore() {
	w.mutex.Lock()
	defer w.mutex.Unlock() // what changes later is written later
	w.putConfiguration(w.configVersion)
	for _, h := range []byte(w.halls) {
		w.putEvacuation(h)
	}
	for _, u := range w.upstreams {
		w.putUpstream(u)
	}
	ended := append([]*soakUpstream(nil), w.dead...)
	w.workers.Go(func() {
		time.Sleep(entryExpiry)
		for _, u := range ended {
			if w.platform.Row("servers/"+u.name) != nil {
				w.platform.Remove("servers/" + u.name)
			}
		}
	})
}

// putEvacuation writes whether a hall is evacuated; the lock is held.
func (w *cluster) putEvacuation(hall byte) {
	key := "op/evacuate/" + string(hall)
	if w.evacuating[hall] {
		w.platform.Put(key, json.RawMessage(`{}`))
		return
	}
	w.platform.Remove(key)
}

// setEvacuation evacuates a hall, or takes it back.
func (w *cluster) setEvacuation(hall byte, evacuated bool) {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	w.evacuating[hall] = evacuated
	w.putEvacuation(hall)
}
