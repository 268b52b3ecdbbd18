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
	"github.com/linetiller/linetiller/internal/revision"
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
	Fingerprint string `json:"print"`                 // hash of the request, which a repeat must match
	State       State  `json:"state"`
	Status      int    `json:"status,omitempty"` // service: of the answer
	Tokens      int    `json:"tokens,omitempty"`
	AttemptID   string `json:"try"` // names the attempt that holds the key
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
	recent  recentClaims
	metrics *metric.Set
	pending chan *pendingWrite
	// restored holds a value where the store came back from a copy since claims were last
	// written again.
	restored chan struct{}
	workers  sync.WaitGroup
}

const (
	maxBatchWrites       = 256
	maxInlineBytes       = 16 << 10 // bytes of an answer kept in the row itself
	maxPendingWrites     = 4096
	maxRetryDelay        = time.Second
	minRetryDelay        = 20 * time.Millisecond
	rowPrefix            = "request/"
	maxConditionalWrites = 3 // of a write that meets the row of its own attempt under another revision
)

// New returns keys that are kept in the platform's table.
func New(c *table.Store, m *metric.Set) *Keys {
	ctx, cancel := context.WithCancel(context.Background())
	k := &Keys{
		Commit: c.Commit, Get: c.Get, GetObject: c.Object, PutObject: c.PutObject,
		Era:    func() (int64, time.Time) { return 0, time.Time{} },
		cancel: cancel, ctx: ctx, recent: recentClaims{claims: make(map[string]*recentClaim)}, metrics: m, pending: make(chan *pendingWrite, maxPendingWrites),
		restored: make(chan struct{}, 1),
	}
	k.workers.Go(k.runWriter)
	k.workers.Go(k.runRewrite)
	return k
}

// RowKey returns the key of the row of a workspace's request key.
func RowKey(workspace, key string) string {
	return rowPrefix + workspace + "/" + key
}

// Answer returns the answer that a finished record holds. A fail.Unknown error means that
// the store has lost it.
func (k *Keys) Answer(ctx context.Context, r *Record) (string, error) {
	if r.Object == "" {
		return r.Body, nil
	}
	b, err := k.GetObject(ctx, r.Object)
	if err == nil && b == nil {
		return "", fail.New(fail.Unknown, writePlace(), "answer_lost", "the store has no object %q", r.Object)
	}
	return string(b), err
}

// Close gives up on rows not written yet and waits for the worker.
func (k *Keys) Close() error {
	k.cancel()
	k.workers.Wait()
	return nil
}

// Insert claims a key. Where another attempt holds it, it returns that
// attempt's claim and false. An error means that the key is not held: what may
// have reached the table is taken back as soon as it answers. No key is claimed while
// others may have yet to write theirs again to a store that was restored.
func (k *Keys) Insert(ctx context.Context, key string, r Record) (*Claim, bool, error) {
	era, since := k.Era()
	if !since.IsZero() && time.Since(since) < claimHoldOff {
		return nil, false, storeRestoredError()
	}
	i := newWrite(key, 0, &r)
	i.insert = true
	o := k.write(ctx, i)
	if o.err != nil {
		return nil, false, o.err
	}
	if o.current != nil {
		c, err := decodeClaim(o.current)
		return c, false, err
	}
	if e, _ := k.Era(); e != era || revision.Era(o.revision) != era {
		k.undoInsert(i, o.revision)
		return nil, false, storeRestoredError()
	}
	c := &Claim{Key: key, Record: r, Revision: o.revision}
	k.recent.put(c)
	return c, true, nil
}

// Lookup returns the claim on a key, or nil.
func (k *Keys) Lookup(ctx context.Context, key string) (*Claim, error) {
	r, err := k.Get(ctx, key)
	if err != nil || r == nil {
		return nil, err
	}
	return decodeClaim(r)
}

// Release removes a claim on a key whose request did not run.
func (k *Keys) Release(ctx context.Context, c *Claim) error {
	k.recent.remove(c.Key)
	r := c.Revision
	for range maxConditionalWrites {
		o := k.write(ctx, &pendingWrite{
			condition: table.Condition{Key: c.Key, Revision: r}, write: table.Write{Delete: true, Key: c.Key},
		})
		if o.err != nil || o.current == nil {
			return o.err
		}
		next, ok := c.retryCondition(&o)
		if !ok || next == 0 {
			return nil
		}
		r = next
	}
	return nil
}

// StoreAnswer puts the answer into r, in an object of its own where it is large.
func (k *Keys) StoreAnswer(ctx context.Context, key string, r *Record, answer string) error {
	if len(answer) <= maxInlineBytes {
		r.Body = answer
		return nil
	}
	r.Object = key + "/" + r.AttemptID
	return k.PutObject(ctx, r.Object, []byte(answer))
}

// Update writes a new record under a claim and moves the claim on. A claim that a restored
// store has lost, or holds as it was, is written all the same.
func (k *Keys) Update(ctx context.Context, c *Claim, r Record) error {
	condition := c.Revision
	for range maxConditionalWrites {
		o := k.write(ctx, newWrite(c.Key, condition, &r))
		if o.err != nil {
			return o.err
		}
		if o.current == nil {
			c.Record, c.Revision = r, o.revision
			k.recent.put(c)
			return nil
		}
		next, ok := c.retryCondition(&o)
		if !ok {
			break
		}
		condition = next
	}
	return fail.New(fail.Conflict, writePlace(), "key_taken", "the key %q is held by another attempt", c.Key)
}

func decodeClaim(r *table.Row) (*Claim, error) {
	c := &Claim{Key: r.Key, Revision: r.Revision}
	if r.Deleted {
		return nil, fail.New(fail.Conflict, writePlace(), "key_taken", "the key's row was removed meanwhile")
	}
	if err := json.Unmarshal(r.Value, &c.Record); err != nil {
		return nil, fail.Wrap(fail.Unknown, writePlace(), "platform_garbled", err)
	}
	return c, nil
}

func encodeRecord(r *Record) json.RawMessage {
	b, err := json.Marshal(r)
	if err != nil {
		panic("requestkey: a record can always be encoded: " + err.Error())
	}
	return b
}

// newWrite returns the write of a record under a condition; 0 means that there is no row.
func newWrite(key string, condition int64, r *Record) *pendingWrite {
	return &pendingWrite{condition: table.Condition{Key: key, Revision: condition}, write: table.Write{Key: key, Value: encodeRecord(r)}}
}

func writePlace() fail.Origin {
	return fail.Origin{Peer: "platform", Step: "write request key"}
}
