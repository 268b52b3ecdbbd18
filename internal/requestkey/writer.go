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

// pendingWrite is a conditional write or deletion of one row that waits in the queue.
type pendingWrite struct {
	abandoned atomic.Bool // the caller no longer waits for the result
	condition table.Condition
	done      chan writeResult // has room for the result
	insert    bool             // claims a key, and must be undone if it is abandoned
	write     table.Write
}

// writeResult is the result of a pendingWrite.
type writeResult struct {
	current  *table.Row // the conflicting row if the condition failed
	err      error
	revision int64 // of the written row, or of the store if the condition failed
}

// abandon gives up waiting for i and returns an error. If i was an insert that completed at the last
// moment, abandon undoes it.
func (k *Keys) abandon(i *pendingWrite, err error) writeResult {
	i.abandoned.Store(true)
	select {
	case o := <-i.done:
		if o.err == nil && o.current == nil && i.insert {
			k.undoInsert(i, o.revision)
		}
	default:
	}
	return writeResult{err: fail.Wrap(fail.Unavailable, writeOrigin(), "platform_slow", err)}
}

// collectBatch returns first and further queued writes, up to maxBatchWrites. It stops at a write to
// a row that is already in the batch, which it returns as deferred, to go first in the next batch.
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

// commitBatch commits a batch. It retries with exponential back-off until the result of each write is
// known or no caller waits for it any more.
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

// completeWrites reports to the callers that their rows are written. It undoes inserts whose callers
// have given up, because their clients were told that the request did not run.
func (k *Keys) completeWrites(batch []*pendingWrite, revision int64) {
	for _, i := range batch {
		if i.insert && i.abandoned.Load() {
			k.undoInsert(i, revision)
			continue
		}
		i.done <- writeResult{revision: revision}
	}
}

// resolveConflicts handles a transaction that was rejected with result x. It reports the result of
// the writes whose conditions failed, and returns the others, which are to be committed again.
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

// runWriter commits queued writes in batches until Close.
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

// undoInsert queues the deletion of the row that i inserted under the given revision.
func (k *Keys) undoInsert(i *pendingWrite, revision int64) {
	undo := &pendingWrite{
		condition: table.Condition{Key: i.write.Key, Revision: revision},
		done:      make(chan writeResult, 1),
		write:     table.Write{Delete: true, Key: i.write.Key},
	}
	select {
	case k.pending <- undo:
	default:
		// The queue is full. The row remains in StateRunning, so that a repeat of the request
		// gets the answer that the outcome is unknown.
	}
}

// write queues a write and waits for its result. It fails with fail.Unavailable if the queue is full,
// ctx ends or Keys is closed.
func (k *Keys) write(ctx context.Context, i *pendingWrite) writeResult {
	i.done = make(chan writeResult, 1)
	select {
	case k.pending <- i:
	default:
		return writeResult{err: fail.New(fail.Unavailable, writeOrigin(), "key_queue_full", "the write queue for request keys is full")}
	}
	select {
	case o := <-i.done:
		return o
	case <-ctx.Done():
		return k.abandon(i, ctx.Err())
	case <-k.ctx.Done():
		return writeResult{err: fail.Wrap(fail.Unavailable, writeOrigin(), "closing", k.ctx.Err())}
	}
}

// alreadyApplied reports whether r is the result of i, written by an earlier commit whose answer was
// lost.
func (i *pendingWrite) alreadyApplied(r *table.Row) bool {
	if i.write.Delete {
		return r.Deleted
	}
	return !r.Deleted && bytes.Equal(r.Value, i.write.Value)
}

// dropAbandoned returns the batch without the writes whose callers have given up. If uncertain is set,
// the answer to a commit was lost and the rows may be written; all writes are then kept until their
// result is known, so that abandoned inserts can be undone.
func dropAbandoned(batch []*pendingWrite, err error, uncertain bool) []*pendingWrite {
	var remaining []*pendingWrite
	for _, i := range batch {
		if i.abandoned.Load() && !uncertain {
			i.done <- writeResult{err: err}
			continue
		}
		remaining = append(remaining, i)
	}
	return remaining
}

func newTransaction(batch []*pendingWrite) *table.Transaction {
	t := new(table.Transaction)
	for _, i := range batch {
		t.Conditions = append(t.Conditions, i.condition)
		t.Writes = append(t.Writes, i.write)
	}
	return t
}
