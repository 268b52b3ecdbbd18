package requestkey

import (
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/linetiller/linetiller/internal/fail"
	"github.com/linetiller/linetiller/internal/metric"
	"github.com/linetiller/linetiller/internal/revision"
)

// Where the store came back from a copy, rows of keys may be lost. The boxes that wrote them
// write them again, and until they had the time for that no box claims a key: the request that
// holds it may run.

const (
	// rewriteInterval is the time between two tries to write claims again.
	rewriteInterval = 500 * time.Millisecond
	// maxConcurrentRewrites bounds the claims that wait to be written again; they share transactions.
	maxConcurrentRewrites = maxBatchWrites
	// claimHoldOff is how long after a box learned that the store was restored it claims no
	// keys: others hear of it within a second or two, and write theirs again at once.
	claimHoldOff = 5 * time.Second
)

// StoreRestored takes in that the store came back from a copy, and has this box's claims written
// again.
func (k *Keys) StoreRestored() {
	select {
	case k.restored <- struct{}{}:
	default: // it is about to be looked at
	}
}

// runRewrite writes claims again whenever the store came back from a copy.
func (k *Keys) runRewrite() {
	for {
		select {
		case <-k.restored:
			k.rewriteLostClaims()
		case <-k.ctx.Done():
			return
		}
	}
}

// rewriteLostClaims writes all claims again that the store may have lost, until it has them or others
// may claim their keys.
func (k *Keys) rewriteLostClaims() {
	t := time.NewTicker(rewriteInterval)
	defer t.Stop()
	for until := time.Now().Add(claimHoldOff); time.Now().Before(until) && k.ctx.Err() == nil; {
		era, _ := k.Era()
		keys := k.recent.keysBeforeEra(era)
		if len(keys) == 0 {
			return
		}
		k.rewriteClaims(keys)
		select {
		case <-t.C:
		case <-k.ctx.Done():
		}
	}
}

// rewriteClaims writes claims again.
func (k *Keys) rewriteClaims(keys []string) {
	var g errgroup.Group
	g.SetLimit(maxConcurrentRewrites)
	for _, key := range keys {
		g.Go(func() error {
			if c := k.recent.get(key); c != nil {
				k.metrics.Count(metric.RequestKeyRewrites, "outcome", string(k.rewriteClaim(c)))
			}
			return nil
		})
	}
	_ = g.Wait()
}

// rewriteOutcome is what became of writing a claim again.
type rewriteOutcome string

// The outcomes of writing a claim again.
const (
	rewriteFailed  rewriteOutcome = "failed"  // the store did not answer, or refused
	rewriteKept    rewriteOutcome = "kept"    // the store has the outcome of the request
	rewriteTaken   rewriteOutcome = "taken"   // another attempt holds the key
	rewriteWritten rewriteOutcome = "written" // the store has the claim as it was
)

// rewriteClaim writes a claim again: where the row is lost, or is of the same attempt and older.
func (k *Keys) rewriteClaim(c *Claim) rewriteOutcome {
	o := k.write(k.ctx, newWrite(c.Key, 0, &c.Record))
	if o.err == nil && o.current != nil {
		x, err := decodeClaim(o.current)
		switch {
		case err != nil:
			return rewriteFailed
		case x.Record.AttemptID != c.Record.AttemptID:
			return rewriteTaken
		case c.Record.State == StateRunning && x.Record.State != StateRunning:
			k.recent.setRevision(c, x.Revision)
			return rewriteKept
		}
		o = k.write(k.ctx, newWrite(c.Key, x.Revision, &c.Record))
	}
	if o.err != nil || o.current != nil {
		return rewriteFailed
	}
	if k.recent.get(c.Key) == nil { // it was released meanwhile
		_ = k.Release(k.ctx, &Claim{Key: c.Key, Record: c.Record, Revision: o.revision})
		return rewriteWritten
	}
	k.recent.setRevision(c, o.revision)
	return rewriteWritten
}

// storeRestoredError returns the error of a key that is not claimed since the store was restored.
func storeRestoredError() error {
	return fail.New(fail.Unavailable, writePlace(), "platform_restored", "the store was restored, and may have lost who holds the key")
}

// retryCondition returns the revision under which a claim can be written, where a row stood in the
// way of a write: that of the same attempt, or none where the store has lost the row.
func (c *Claim) retryCondition(o *writeResult) (condition int64, ok bool) {
	if o.current.Deleted {
		return 0, revision.Era(o.revision) > revision.Era(c.Revision)
	}
	x, err := decodeClaim(o.current)
	return o.current.Revision, err == nil && x.Record.AttemptID == c.Record.AttemptID
}
