package requestkey

import (
	"sync"
	"time"

	"github.com/linetiller/linetiller/internal/revision"
)

// recentClaims holds the claims that this box wrote recently, so that it can write them again if
// the platform's store is restored from a backup that lacks their rows. It is safe for concurrent
// use.
type recentClaims struct {
	claims  map[string]*recentClaim // by row key
	mutex   sync.Mutex              // guards all fields
	sweptAt time.Time
}

// recentClaim is a claim with the time of its last write.
type recentClaim struct {
	Claim
	writtenAt time.Time
}

const (
	// recentClaimTTL is how long the claim of an ended request is kept after its last write.
	// Backups are normally a few seconds old, and never older than the store's history of 20 s.
	recentClaimTTL = time.Minute
	// maxRecentClaims bounds memory use: each claim holds up to maxInlineBytes of an answer.
	// Claims of running requests are kept even above this limit.
	maxRecentClaims = 2048
	// sweepInterval is the minimum time between two sweeps below maxRecentClaims.
	sweepInterval = 10 * time.Second
)

// get returns a copy of the claim as last written, or nil.
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

// keysBeforeEra returns the row keys of the claims last written in an era before era.
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

// put records a claim that was just written.
func (l *recentClaims) put(c *Claim) {
	now := time.Now()
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.claims[c.Key] = &recentClaim{Claim: *c, writtenAt: now}
	if len(l.claims) > maxRecentClaims || now.Sub(l.sweptAt) >= sweepInterval {
		l.sweep(now)
	}
}

func (l *recentClaims) remove(key string) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	delete(l.claims, key)
}

// setRevision sets the revision of a claim that was written again, unless the claim was updated
// meanwhile.
func (l *recentClaims) setRevision(c *Claim, to int64) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	if x := l.claims[c.Key]; x != nil && x.Revision == c.Revision {
		x.Revision = to
	}
}

// sweep removes claims of ended requests: those older than recentClaimTTL, and any others for as
// long as there are more than maxRecentClaims. The caller holds the mutex.
func (l *recentClaims) sweep(now time.Time) {
	l.sweptAt = now
	for k, x := range l.claims {
		if x.Record.State != StateRunning && (now.Sub(x.writtenAt) > recentClaimTTL || len(l.claims) > maxRecentClaims) {
			delete(l.claims, k)
		}
	}
}
