// Package requestkey keeps, in the platform's table, the keys of requests that
// may run at most once, with what became of them.
//
// A key's row is inserted before the first byte goes to an upstream. Rows of
// many requests are written in one transaction. A write whose answer was lost
// is settled by sending it again: its conditions then fail, and the row that
// stands there tells whether it was this one.
package requestkey

import (
	"context"
	"encoding/json"
	"sync"
	"time"

	"github.com/linetiller/linetiller/internal/fail"
	"github.com/linetiller/linetiller/internal/metric"
	"github.com/linetiller/linetiller/internal/table"
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
	Commit func(ctx context.Context, t *table.Transaction) (*table.Result, error)
	// Era returns the era of the store as this box knows it, and when it learned that the
	// store came back from a copy, zero where it never did; a seam.
	Era func() (era int64, since time.Time)
	// Get reads a row; a seam for tests.
	Get func(ctx context.Context, key string) (*table.Row, error)
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

const (
	settlePeriod  = 5 * time.Second
	batchMost     = 256
	bodyMost      = 16 << 10 // bytes of an answer kept in the row itself
	pendingMost   = 4096
	retryWaitMost = time.Second
	retryWait     = 20 * time.Millisecond
	rowPrefix     = "request/"
)

// New returns keys that are kept in the platform's table.
func New(c *table.Store, m *metric.Set) *Keys {
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
		condition: table.Condition{Key: key}, insert: true, write: table.Write{Key: key, Value: encode(&r)},
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
		condition: table.Condition{Key: c.Key, Revision: c.Revision}, write: table.Write{Delete: true, Key: c.Key},
	})
	return o.err
}

// Restored takes in that the store came back from a copy.
func (k *Keys) Restored() {}

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
		condition: table.Condition{Key: c.Key, Revision: c.Revision}, write: table.Write{Key: c.Key, Value: encode(&r)},
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

func claimOf(r *table.Row) (*Claim, error) {
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

func place() fail.Place {
	return fail.Place{Peer: "platform", Step: "write request key"}
}
