package requestkey

import (
	"sync"
	"time"

	"github.com/linetiller/linetiller/internal/revision"
)

// recentClaims holds the claims that this box wrote lately: a store that comes back from a copy may
// have lost their rows.
type recentClaims struct {
	claims  map[string]*recentClaim // by the row's key
	mutex   sync.Mutex              // guards all fields
	sweptAt time.Time
}

// recentClaim is a claim with the time of its last write.
type recentClaim struct {
	Claim
	writtenAt time.Time
}

const (
	// recentClaimTTL is how long a claim is kept whose request has ended: copies are some
	// seconds old, and at most as old as the store's history, 20 s.
	recentClaimTTL = time.Minute
	// maxRecentClaims bounds the claims that are kept; each holds up to maxInlineBytes of an answer.
	maxRecentClaims = 2048
	// sweepInterval is the time between two looks for claims that need not be kept.
	sweepInterval = 10 * time.Second
)

// remove forgets a claim.
func (l *recentClaims) remove(key string) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	delete(l.claims, key)
}

// get returns a claim as it was written last, or nil.
func (l *recentClaims) get(key string) *Claim {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	x := l.claims[key]
	if x == nil {
		return nil
	}
	c := x.Claim
	return &c
}

// setRevision takes in the revision under which a claim was written again, unless it has been
// written otherwise since.
func (l *recentClaims) setRevision(c *Claim, to int64) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	if x := l.claims[c.Key]; x != nil && x.Revision == c.Revision {
		x.Revision = to
	}
}

// keysBeforeEra returns the keys of the claims that were written in an era before one.
func (l *recentClaims) keysBeforeEra(era int64) []string {
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
func (l *recentClaims) put(c *Claim) {
	now := time.Now()
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.claims[c.Key] = &recentClaim{Claim: *c, writtenAt: now}
	if len(l.claims) > maxRecentClaims || now.Sub(l.sweptAt) >= sweepInterval {
		l.sweep(now)
	}
}

// sweep forgets claims of requests that have ended long ago, and more of those that have
// ended where there are too many.
func (l *recentClaims) sweep(now time.Time) {
	l.sweptAt = now
	for k, x := range l.claims {
		if x.Record.State != StateRunning && (now.Sub(x.writtenAt) > recentClaimTTL || len(l.claims) > maxRecentClaims) {
			delete(l.claims, k)
		}
	}
}
