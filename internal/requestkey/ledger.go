package requestkey

import (
	"sync"
	"time"

	"github.com/linetiller/linetiller/internal/revision"
)

// ledger holds the claims that this box wrote lately: a store that comes back from a copy may
// have lost their rows.
type ledger struct {
	claims  map[string]*ledgered // by the row's key
	mutex   sync.Mutex           // guards all fields
	sweptAt time.Time
}

// ledgered is a claim with the time of its last write.
type ledgered struct {
	Claim
	at time.Time
}

const (
	// ledgerLife is how long a claim is kept whose request has ended: copies are some
	// seconds old, and at most as old as the store's history, 20 s.
	ledgerLife = time.Minute
	// ledgerMost bounds the claims that are kept; each holds up to bodyMost of an answer.
	ledgerMost = 2048
	// sweepEvery is the time between two looks for claims that need not be kept.
	sweepEvery = 10 * time.Second
)

// drop forgets a claim.
func (l *ledger) drop(key string) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	delete(l.claims, key)
}

// get returns a claim as it was written last, or nil.
func (l *ledger) get(key string) *Claim {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	x := l.claims[key]
	if x == nil {
		return nil
	}
	c := x.Claim
	return &c
}

// move takes in the revision under which a claim was written again, unless it has been
// written otherwise since.
func (l *ledger) move(c *Claim, to int64) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	if x := l.claims[c.Key]; x != nil && x.Revision == c.Revision {
		x.Revision = to
	}
}

// older returns the keys of the claims that were written in an era before one.
func (l *ledger) older(era int64) []string {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	var keys []string
	for k, x := range l.claims {
		if revision.Era(x.Revision) < era {
			keys = append(keys, k)
		}
	}
	return keys
}

// put keeps a claim as it was written.
func (l *ledger) put(c *Claim) {
	now := time.Now()
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.claims[c.Key] = &ledgered{Claim: *c, at: now}
	if len(l.claims) > ledgerMost || now.Sub(l.sweptAt) >= sweepEvery {
		l.sweep(now)
	}
}

// sweep forgets claims of requests that have ended long ago, and more of those that have
// ended where there are too many.
func (l *ledger) sweep(now time.Time) {
	l.sweptAt = now
	for k, x := range l.claims {
		if x.Record.State != StateRunning && (now.Sub(x.at) > ledgerLife || len(l.claims) > ledgerMost) {
			delete(l.claims, k)
		}
	}
}
