package requestkey

import (
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/linetiller/linetiller/internal/fail"
	"github.com/linetiller/linetiller/internal/metric"
	"github.com/linetiller/linetiller/internal/revision"
)

// If the platform's store is restored from a backup, rows of request keys may be lost. The boxes that
// wrote these rows rewrite them. During restoreGracePeriod, which gives them the time to do so, no box
// claims a key, because the request that holds it may still be running.

const (
	// rewriteInterval is the time between two attempts to rewrite lost claims.
	rewriteInterval = 500 * time.Millisecond
	// maxConcurrentRewrites bounds the concurrent rewrites, which share transactions.
	maxConcurrentRewrites = maxBatchWrites
	// restoreGracePeriod is how long a box claims no keys after it learned that the store was restored.
	// The other boxes learn of it within one or two seconds and rewrite their claims at once.
	restoreGracePeriod = 5 * time.Second
)

// StoreRestored reports that the store was restored from a backup. The claims of this box are then
// rewritten in the background.
func (k *Keys) StoreRestored() {
	select {
	case k.restored <- struct{}{}:
	default: // a rewrite is already pending
	}
}

// rewriteClaim rewrites a claim if its row is lost or is an older one of the same attempt.
func (k *Keys) rewriteClaim(c *Claim) rewriteOutcome {
	o := k.write(k.ctx, newWrite(c.Key, 0, &c.Record))
	if o.err == nil && o.current != nil {
		x, err := decodeClaim(o.current)
		switch {
		case err != nil:
			return rewriteFailed
		case x.Record.AttemptID != c.Record.AttemptID:
			return rewriteConflict
		case c.Record.State == StateRunning && x.Record.State != StateRunning:
			k.recent.setRevision(c, x.Revision)
			return rewriteUnnecessary
		}
		o = k.write(k.ctx, newWrite(c.Key, x.Revision, &c.Record))
	}
	if o.err != nil || o.current != nil {
		return rewriteFailed
	}
	if k.recent.get(c.Key) == nil { // released meanwhile
		_ = k.Release(k.ctx, &Claim{Key: c.Key, Record: c.Record, Revision: o.revision})
		return rewriteWritten
	}
	k.recent.setRevision(c, o.revision)
	return rewriteWritten
}

// rewriteClaims rewrites the claims with the given row keys and counts the outcomes.
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

// rewriteLostClaims rewrites all claims that the store may have lost. It retries until the store has
// them all or restoreGracePeriod has passed, after which other boxes may claim their keys.
func (k *Keys) rewriteLostClaims() {
	t := time.NewTicker(rewriteInterval)
	defer t.Stop()
	for until := time.Now().Add(restoreGracePeriod); time.Now().Before(until) && k.ctx.Err() == nil; {
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

// rewriteOutcome is the outcome of rewriting a claim, as counted in metric.RequestKeyRewrites.
type rewriteOutcome string

// The outcomes of rewriting a claim.
const (
	rewriteFailed      rewriteOutcome = "failed"  // the store did not answer or rejected the write
	rewriteUnnecessary rewriteOutcome = "kept"    // the store already has the outcome of the request
	rewriteConflict    rewriteOutcome = "taken"   // another attempt holds the key
	rewriteWritten     rewriteOutcome = "written" // the claim was written
)

// runRewrite rewrites claims whenever the store was restored from a backup.
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

// storeRestoredError returns the error for a claim that is refused because the store was restored.
func storeRestoredError() error {
	return fail.New(fail.Unavailable, writeOrigin(), "platform_restored", "the store was restored from a backup and may have lost a claim on the key")
}

// retryCondition returns the revision on which a write of c should be conditioned after o reported a
// conflicting row. This is the row's revision if the row is of the same attempt, and 0, for no row, if
// a restored store has lost it. Otherwise it returns false.
func (c *Claim) retryCondition(o *writeResult) (condition int64, ok bool) {
	if o.current.Deleted {
		return 0, revision.Era(o.revision) > revision.Era(c.Revision)
	}
	x, err := decodeClaim(o.current)
	return o.current.Revision, err == nil && x.Record.AttemptID == c.Record.AttemptID
}
