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
	// rewriteEvery is the time between two tries to write claims again.
	rewriteEvery = 500 * time.Millisecond
	// rewritesAtOnce bounds the claims that wait to be written again; they share transactions.
	rewritesAtOnce = batchMost
	// settlePeriod is how long after a box learned that the store was restored it claims no
	// keys: others hear of it within a second or two, and write theirs again at once.
	settlePeriod = 5 * time.Second
)

// Restored takes in that the store came back from a copy, and has this box's claims written
// again.
func (k *Keys) Restored() {
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
			k.rewrite()
		case <-k.ctx.Done():
			return
		}
	}
}

// rewrite writes all claims again that the store may have lost, until it has them or others
// may claim their keys.
func (k *Keys) rewrite() {
	t := time.NewTicker(rewriteEvery)
	defer t.Stop()
	for until := time.Now().Add(settlePeriod); time.Now().Before(until) && k.ctx.Err() == nil; {
		era, _ := k.Era()
		l := k.ledger.older(era)
		if len(l) == 0 {
			return
		}
		k.rewriteAll(l)
		select {
		case <-t.C:
		case <-k.ctx.Done():
		}
	}
}

// rewriteAll writes claims again.
func (k *Keys) rewriteAll(keys []string) {
	var g errgroup.Group
	g.SetLimit(rewritesAtOnce)
	for _, n := range keys {
		g.Go(func() error {
			if c := k.ledger.get(n); c != nil {
				k.metrics.Count(metric.RequestKeyRewrites, "outcome", string(k.rewriteOne(c)))
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

// rewriteOne writes a claim again: where the row is lost, or is of the same attempt and older.
func (k *Keys) rewriteOne(c *Claim) rewriteOutcome {
	o := k.write(k.ctx, writeOf(c.Key, 0, &c.Record))
	if o.err == nil && o.current != nil {
		x, err := claimOf(o.current)
		switch {
		case err != nil:
			return rewriteFailed
		case x.Record.Try != c.Record.Try:
			return rewriteTaken
		case c.Record.State == StateRunning && x.Record.State != StateRunning:
			k.ledger.move(c, x.Revision)
			return rewriteKept
		}
		o = k.write(k.ctx, writeOf(c.Key, x.Revision, &c.Record))
	}
	if o.err != nil || o.current != nil {
		return rewriteFailed
	}
	if k.ledger.get(c.Key) == nil { // it was released meanwhile
		_ = k.Release(k.ctx, &Claim{Key: c.Key, Record: c.Record, Revision: o.revision})
		return rewriteWritten
	}
	k.ledger.move(c, o.revision)
	return rewriteWritten
}

// errRestored returns the error of a key that is not claimed since the store was restored.
func errRestored() error {
	return fail.New(fail.Unavailable, place(), "platform_restored", "the store was restored, and may have lost who holds the key")
}

// standing returns the revision under which a claim can be written, where a row stood in the
// way of a write: that of the same attempt, or none where the store has lost the row.
func (c *Claim) standing(o *outcome) (condition int64, ok bool) {
	if o.current.Deleted {
		return 0, revision.Era(o.revision) > revision.Era(c.Revision)
	}
	x, err := claimOf(o.current)
	return o.current.Revision, err == nil && x.Record.Try == c.Record.Try
}
