package requestkey

import (
	"bytes"
	"context"
	"sync/atomic"
	"time"

	"github.com/joomcode/errorx"

	"github.com/linetiller/linetiller/internal/fail"
	"github.com/linetiller/linetiller/internal/metric"
	"github.com/linetiller/linetiller/internal/table"
)

// pendingWrite is one row that waits to be written.
type pendingWrite struct {
	abandoned atomic.Bool // nobody waits for it any more
	condition table.Condition
	done      chan writeResult
	insert    bool
	write     table.Write
}

// writeResult is what became of an item.
type writeResult struct {
	current  *table.Row // the row that stood in the way
	err      error
	revision int64 // of the row that was written, or of the store where a row stood in the way
}

// collectBatch returns first and what else waits, up to a batch; a row that stands
// in the batch already waits for the next one.
func (k *Keys) collectBatch(first *pendingWrite) (batch []*pendingWrite, deferred *pendingWrite) {
	batch = []*pendingWrite{first}
	seen := map[string]bool{first.write.Key: true}
	for len(batch) < maxBatchWrites {
		select {
		case i := <-k.pending:
			if seen[i.write.Key] {
				return batch, i
			}
			seen[i.write.Key] = true
			batch = append(batch, i)
		default:
			return batch, nil
		}
	}
	return batch, nil
}

// commitBatch writes a batch, again and again until the platform has told what
// became of it or nobody waits any more.
func (k *Keys) commitBatch(batch []*pendingWrite) {
	delay := minRetryDelay
	uncertain := false
	for len(batch) > 0 {
		r, err := k.Commit(k.ctx, newTransaction(batch))
		k.metrics.Add(metric.RequestKeyCommits, 1)
		switch {
		case err == nil && r.Committed:
			k.metrics.Add(metric.RequestKeyWrites, len(batch))
			k.completeWrites(batch, r.Revision)
			return
		case err == nil:
			batch = k.resolveConflicts(batch, r)
			continue
		}
		uncertain = uncertain || errorx.IsOfType(err, fail.Unknown)
		batch = dropAbandoned(batch, err, uncertain)
		select {
		case <-k.ctx.Done():
			for _, i := range batch {
				i.done <- writeResult{err: err}
			}
			return
		case <-time.After(delay):
			delay = min(maxRetryDelay, 2*delay)
		}
	}
}

func (k *Keys) runWriter() {
	var deferred *pendingWrite
	for {
		first := deferred
		if first == nil {
			select {
			case <-k.ctx.Done():
				return
			case first = <-k.pending:
			}
		}
		var batch []*pendingWrite
		batch, deferred = k.collectBatch(first)
		k.commitBatch(batch)
	}
}

// completeWrites tells the callers that their rows are written. A row that was inserted
// for a caller who has gone, having been told that nothing ran, is taken back.
func (k *Keys) completeWrites(batch []*pendingWrite, revision int64) {
	for _, i := range batch {
		if i.insert && i.abandoned.Load() {
			k.undoInsert(i, revision)
			continue
		}
		i.done <- writeResult{revision: revision}
	}
}

// resolveConflicts answers the items whose conditions fail and returns the others.
func (k *Keys) resolveConflicts(batch []*pendingWrite, x *table.Result) []*pendingWrite {
	rows := make(map[string]*table.Row, len(x.Current))
	for n := range x.Current {
		rows[x.Current[n].Key] = &x.Current[n]
	}
	var unresolved []*pendingWrite
	for _, i := range batch {
		r := rows[i.write.Key]
		switch {
		case r == nil || (!r.Deleted && r.Revision == i.condition.Revision) || (r.Deleted && i.condition.Revision == 0):
			unresolved = append(unresolved, i)
		case i.alreadyApplied(r):
			k.completeWrites([]*pendingWrite{i}, r.Revision)
		default:
			i.done <- writeResult{current: r, revision: x.Revision}
		}
	}
	return unresolved
}

func (k *Keys) undoInsert(i *pendingWrite, revision int64) {
	undo := &pendingWrite{
		condition: table.Condition{Key: i.write.Key, Revision: revision},
		done:      make(chan writeResult, 1),
		write:     table.Write{Delete: true, Key: i.write.Key},
	}
	select {
	case k.pending <- undo:
	default:
		// The queue is full: the row stays as running, and a repeat is told that
		// the outcome is unknown.
	}
}

func (k *Keys) write(ctx context.Context, i *pendingWrite) writeResult {
	i.done = make(chan writeResult, 1)
	select {
	case k.pending <- i:
	default:
		return writeResult{err: fail.New(fail.Unavailable, writePlace(), "key_queue_full", "too many rows wait to be written")}
	}
	select {
	case o := <-i.done:
		return o
	case <-ctx.Done():
		return k.abandon(i, ctx.Err())
	case <-k.ctx.Done():
		return writeResult{err: fail.Wrap(fail.Unavailable, writePlace(), "closing", k.ctx.Err())}
	}
}

// abandon gives up on an item, unless its outcome came at the last moment.
func (k *Keys) abandon(i *pendingWrite, err error) writeResult {
	i.abandoned.Store(true)
	select {
	case o := <-i.done:
		if o.err == nil && o.current == nil && i.insert {
			k.undoInsert(i, o.revision)
		}
	default:
	}
	return writeResult{err: fail.Wrap(fail.Unavailable, writePlace(), "platform_slow", err)}
}

// alreadyApplied reports whether r is what i wants to write, written by an earlier send.
func (i *pendingWrite) alreadyApplied(r *table.Row) bool {
	if i.write.Delete {
		return r.Deleted
	}
	return !r.Deleted && bytes.Equal(r.Value, i.write.Value)
}

// dropAbandoned answers the items that nobody waits for any more and returns the
// others. Once a send was lost, inserts are kept until their fate is known, so
// that a row nobody wanted can be taken back.
func dropAbandoned(batch []*pendingWrite, err error, uncertain bool) []*pendingWrite {
	var kept []*pendingWrite
	for _, i := range batch {
		if i.abandoned.Load() && !uncertain {
			i.done <- writeResult{err: err}
			continue
		}
		kept = append(kept, i)
	}
	return kept
}

func newTransaction(batch []*pendingWrite) *table.Transaction {
	t := new(table.Transaction)
	for _, i := range batch {
		t.Conditions = append(t.Conditions, i.condition)
		t.Writes = append(t.Writes, i.write)
	}
	return t
}
