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

// item is one row that waits to be written.
type item struct {
	abandoned atomic.Bool // nobody waits for it any more
	condition table.Condition
	done      chan outcome
	insert    bool
	write     table.Write
}

// outcome is what became of an item.
type outcome struct {
	current  *table.Row // the row that stood in the way
	err      error
	revision int64 // of the row that was written, or of the store where a row stood in the way
}

// collect returns first and what else waits, up to a batch; a row that stands
// in the batch already waits for the next one.
func (k *Keys) collect(first *item) (batch []*item, held *item) {
	batch = []*item{first}
	seen := map[string]bool{first.write.Key: true}
	for len(batch) < batchMost {
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

// commit writes a batch, again and again until the platform has told what
// became of it or nobody waits any more.
func (k *Keys) commit(batch []*item) {
	wait := retryWait
	lost := false
	for len(batch) > 0 {
		r, err := k.Commit(k.ctx, transaction(batch))
		k.metrics.Add(metric.RequestKeyCommits, 1)
		switch {
		case err == nil && r.Committed:
			k.metrics.Add(metric.RequestKeyWrites, len(batch))
			k.settle(batch, r.Revision)
			return
		case err == nil:
			batch = k.sortOut(batch, r)
			continue
		}
		lost = lost || errorx.IsOfType(err, fail.Unknown)
		batch = giveUp(batch, err, lost)
		select {
		case <-k.ctx.Done():
			for _, i := range batch {
				i.done <- outcome{err: err}
			}
			return
		case <-time.After(wait):
			wait = min(retryWaitMost, 2*wait)
		}
	}
}

func (k *Keys) run() {
	var held *item
	for {
		first := held
		if first == nil {
			select {
			case <-k.ctx.Done():
				return
			case first = <-k.pending:
			}
		}
		var batch []*item
		batch, held = k.collect(first)
		k.commit(batch)
	}
}

// settle tells the callers that their rows are written. A row that was inserted
// for a caller who has gone, having been told that nothing ran, is taken back.
func (k *Keys) settle(batch []*item, revision int64) {
	for _, i := range batch {
		if i.insert && i.abandoned.Load() {
			k.takeBack(i, revision)
			continue
		}
		i.done <- outcome{revision: revision}
	}
}

// sortOut answers the items whose conditions fail and returns the others.
func (k *Keys) sortOut(batch []*item, x *table.Result) []*item {
	rows := make(map[string]*table.Row, len(x.Current))
	for n := range x.Current {
		rows[x.Current[n].Key] = &x.Current[n]
	}
	var rest []*item
	for _, i := range batch {
		r := rows[i.write.Key]
		switch {
		case r == nil || (!r.Deleted && r.Revision == i.condition.Revision) || (r.Deleted && i.condition.Revision == 0):
			rest = append(rest, i)
		case i.took(r):
			k.settle([]*item{i}, r.Revision)
		default:
			i.done <- outcome{current: r, revision: x.Revision}
		}
	}
	return rest
}

func (k *Keys) takeBack(i *item, revision int64) {
	b := &item{
		condition: table.Condition{Key: i.write.Key, Revision: revision},
		done:      make(chan outcome, 1),
		write:     table.Write{Delete: true, Key: i.write.Key},
	}
	select {
	case k.pending <- b:
	default:
		// The queue is full: the row stays as running, and a repeat is told that
		// the outcome is unknown.
	}
}

func (k *Keys) write(ctx context.Context, i *item) outcome {
	i.done = make(chan outcome, 1)
	select {
	case k.pending <- i:
	default:
		return outcome{err: fail.New(fail.Unavailable, place(), "key_queue_full", "too many rows wait to be written")}
	}
	select {
	case o := <-i.done:
		return o
	case <-ctx.Done():
		return k.abandon(i, ctx.Err())
	case <-k.ctx.Done():
		return outcome{err: fail.Wrap(fail.Unavailable, place(), "closing", k.ctx.Err())}
	}
}

// abandon gives up on an item, unless its outcome came at the last moment.
func (k *Keys) abandon(i *item, err error) outcome {
	i.abandoned.Store(true)
	select {
	case o := <-i.done:
		if o.err == nil && o.current == nil && i.insert {
			k.takeBack(i, o.revision)
		}
	default:
	}
	return outcome{err: fail.Wrap(fail.Unavailable, place(), "platform_slow", err)}
}

// took reports whether r is what i wants to write, written by an earlier send.
func (i *item) took(r *table.Row) bool {
	if i.write.Delete {
		return r.Deleted
	}
	return !r.Deleted && bytes.Equal(r.Value, i.write.Value)
}

// giveUp answers the items that nobody waits for any more and returns the
// others. Once a send was lost, inserts are kept until their fate is known, so
// that a row nobody wanted can be taken back.
func giveUp(batch []*item, err error, lost bool) []*item {
	var rest []*item
	for _, i := range batch {
		if i.abandoned.Load() && !lost {
			i.done <- outcome{err: err}
			continue
		}
		rest = append(rest, i)
	}
	return rest
}

func transaction(batch []*item) *table.Transaction {
	t := new(table.Transaction)
	for _, i := range batch {
		t.Conditions = append(t.Conditions, i.condition)
		t.Writes = append(t.Writes, i.write)
	}
	return t
}
