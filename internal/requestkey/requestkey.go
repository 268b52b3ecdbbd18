// Package requestkey keeps, in the platform's table, the keys of requests that
// may run at most once, with what became of them.
//
// A key's row is inserted before the first byte goes to an upstream. Rows of
// many requests are written in one transaction. A write whose answer was lost
// is settled by sending it again: its conditions then fail, and the row that
// stands there tells whether it was this one.
package requestkey

import (
	"bytes"
	"context"
	"encoding/json"
	"sync"
	"sync/atomic"
	"time"

	"github.com/joomcode/errorx"

	"github.com/linetiller/linetiller/internal/fail"
	"github.com/linetiller/linetiller/internal/metric"
	"github.com/linetiller/linetiller/internal/platform"
)

// State is what became of a request with a key.
type State string

// The states. A record only moves from running to one of the others.
const (
	StateFinished    State = "finished"
	StateInterrupted State = "interrupted"
	StateRunning     State = "running"
	StateUnknown     State = "unknown"
)

// Record is the value of a key's row.
type Record struct {
	Body        string `json:"body,omitempty"`        // the answer, where it is small
	ContentType string `json:"contentType,omitempty"` // service: of the answer
	Finish      string `json:"finish,omitempty"`      // generation: why it ended
	Generation  string `json:"generation,omitempty"`  // the id at the upstream
	Object      string `json:"object,omitempty"`      // the object that holds the answer, where it is large
	Print       string `json:"print"`                 // hash of the request, which a repeat must match
	State       State  `json:"state"`
	Status      int    `json:"status,omitempty"` // service: of the answer
	Tokens      int    `json:"tokens,omitempty"`
	Try         string `json:"try"` // names the attempt that holds the key
	Upstream    string `json:"upstream,omitempty"`
}

// Claim is a key's row as this box last wrote or read it.
type Claim struct {
	Key      string
	Record   Record
	Revision int64
}

// Keys writes and reads the keys' rows. It is safe for concurrent use; Close
// waits for its worker.
type Keys struct {
	// Commit applies a transaction; a seam for tests.
	Commit func(ctx context.Context, t *platform.Transaction) (*platform.Result, error)
	// Get reads a row; a seam for tests.
	Get func(ctx context.Context, key string) (*platform.Row, error)
	// GetObject reads an object; a seam for tests.
	GetObject func(ctx context.Context, name string) ([]byte, error)
	// PutObject writes an object; a seam for tests.
	PutObject func(ctx context.Context, name string, b []byte) error

	cancel  context.CancelFunc
	ctx     context.Context
	metrics *metric.Set
	pending chan *item
	worker  sync.WaitGroup
}

// item is one row that waits to be written.
type item struct {
	abandoned atomic.Bool // nobody waits for it any more
	condition platform.Condition
	done      chan outcome
	insert    bool
	write     platform.Write
}

// outcome is what became of an item.
type outcome struct {
	current  *platform.Row // the row that stood in the way
	err      error
	revision int64
}

const (
	batchMost     = 256
	bodyMost      = 16 << 10 // bytes of an answer kept in the row itself
	pendingMost   = 4096
	retryWaitMost = time.Second
	retryWait     = 20 * time.Millisecond
	rowPrefix     = "request/"
)

// New returns keys that are kept in the platform's table.
func New(c *platform.Client, m *metric.Set) *Keys {
	ctx, cancel := context.WithCancel(context.Background())
	k := &Keys{
		Commit: c.Commit, Get: c.Get, GetObject: c.Object, PutObject: c.PutObject,
		cancel: cancel, ctx: ctx, metrics: m, pending: make(chan *item, pendingMost),
	}
	k.worker.Go(k.run)
	return k
}

// RowKey returns the key of the row of a workspace's request key.
func RowKey(workspace, key string) string {
	return rowPrefix + workspace + "/" + key
}

// Answer returns the answer that a finished record holds.
func (k *Keys) Answer(ctx context.Context, r *Record) (string, error) {
	if r.Object == "" {
		return r.Body, nil
	}
	b, err := k.GetObject(ctx, r.Object)
	return string(b), err
}

// Close gives up on rows not written yet and waits for the worker.
func (k *Keys) Close() error {
	k.cancel()
	k.worker.Wait()
	return nil
}

// Insert claims a key. Where another attempt holds it, it returns that
// attempt's claim and false. An error means that the key is not held: what may
// have reached the table is taken back as soon as it answers.
func (k *Keys) Insert(ctx context.Context, key string, r Record) (*Claim, bool, error) {
	o := k.write(ctx, &item{
		condition: platform.Condition{Key: key}, insert: true, write: platform.Write{Key: key, Value: encode(&r)},
	})
	if o.err != nil {
		return nil, false, o.err
	}
	if o.current != nil {
		c, err := claimOf(o.current)
		return c, false, err
	}
	return &Claim{Key: key, Record: r, Revision: o.revision}, true, nil
}

// Look returns the claim on a key, or nil.
func (k *Keys) Look(ctx context.Context, key string) (*Claim, error) {
	r, err := k.Get(ctx, key)
	if err != nil || r == nil {
		return nil, err
	}
	return claimOf(r)
}

// Release removes a claim on a key whose request did not run.
func (k *Keys) Release(ctx context.Context, c *Claim) error {
	o := k.write(ctx, &item{
		condition: platform.Condition{Key: c.Key, Revision: c.Revision}, write: platform.Write{Delete: true, Key: c.Key},
	})
	return o.err
}

// Store puts the answer into r, in an object of its own where it is large.
func (k *Keys) Store(ctx context.Context, key string, r *Record, answer string) error {
	if len(answer) <= bodyMost {
		r.Body = answer
		return nil
	}
	r.Object = key + "/" + r.Try
	return k.PutObject(ctx, r.Object, []byte(answer))
}

// Update writes a new record under a claim and moves the claim on.
func (k *Keys) Update(ctx context.Context, c *Claim, r Record) error {
	o := k.write(ctx, &item{
		condition: platform.Condition{Key: c.Key, Revision: c.Revision}, write: platform.Write{Key: c.Key, Value: encode(&r)},
	})
	if o.err != nil {
		return o.err
	}
	if o.current != nil {
		return fail.New(fail.Conflict, place(), "key_taken", "the key %q is held by another attempt", c.Key)
	}
	c.Record, c.Revision = r, o.revision
	return nil
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
		k.metrics.Add(metric.KeyCommits, 1)
		switch {
		case err == nil && r.Committed:
			k.metrics.Add(metric.KeyWrites, len(batch))
			k.settle(batch, r.Revision)
			return
		case err == nil:
			batch = k.sortOut(batch, r.Current)
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
func (k *Keys) sortOut(batch []*item, current []platform.Row) []*item {
	rows := make(map[string]*platform.Row, len(current))
	for n := range current {
		rows[current[n].Key] = &current[n]
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
			i.done <- outcome{current: r}
		}
	}
	return rest
}

func (k *Keys) takeBack(i *item, revision int64) {
	b := &item{
		condition: platform.Condition{Key: i.write.Key, Revision: revision},
		done:      make(chan outcome, 1),
		write:     platform.Write{Delete: true, Key: i.write.Key},
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
func (i *item) took(r *platform.Row) bool {
	if i.write.Delete {
		return r.Deleted
	}
	return !r.Deleted && bytes.Equal(r.Value, i.write.Value)
}

func claimOf(r *platform.Row) (*Claim, error) {
	c := &Claim{Key: r.Key, Revision: r.Revision}
	if r.Deleted {
		return nil, fail.New(fail.Conflict, place(), "key_taken", "the key's row was removed meanwhile")
	}
	if err := json.Unmarshal(r.Value, &c.Record); err != nil {
		return nil, fail.Wrap(fail.Unknown, place(), "platform_garbled", err)
	}
	return c, nil
}

func encode(r *Record) json.RawMessage {
	b, err := json.Marshal(r)
	if err != nil {
		panic("requestkey: a record can always be encoded: " + err.Error())
	}
	return b
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

func place() fail.Place {
	return fail.Place{Peer: "platform", Step: "write request key"}
}

func transaction(batch []*item) *platform.Transaction {
	t := new(platform.Transaction)
	for _, i := range batch {
		t.Conditions = append(t.Conditions, i.condition)
		t.Writes = append(t.Writes, i.write)
	}
	return t
}
