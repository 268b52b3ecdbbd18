// Package requestkey stores the keys of requests that may run at most once, and the outcomes of
// these requests, in the platform's table.
//
// The row of a key is inserted before the first byte is sent to an upstream. Rows of many requests
// are written in one transaction. If the answer to a write is lost, the write is sent again: if the
// first one took effect, the condition of the second fails, and the current row shows whether this
// box wrote it.
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

// State is the state of a request with a key.
type State string

// The states. Only StateRunning changes, to one of the others.
const (
	StateFinished    State = "finished"
	StateInterrupted State = "interrupted" // failed after part of the answer was produced
	StateRunning     State = "running"
	StateUnknown     State = "unknown" // it is not known whether the request ran
)

// Record is the value of a key's row.
type Record struct {
	Body        string `json:"body,omitempty"`        // the answer if it is small, otherwise see Object
	ContentType string `json:"contentType,omitempty"` // of the answer; plain services only
	Finish      string `json:"finish,omitempty"`      // why the generation ended; engines only
	Generation  string `json:"generation,omitempty"`  // id of the generation at the upstream; engines only
	Object      string `json:"object,omitempty"`      // name of the object that holds the answer if it is large
	Fingerprint string `json:"print"`                 // hash of the request; a repeat must match it
	State       State  `json:"state"`
	Status      int    `json:"status,omitempty"` // HTTP status of the answer; plain services only
	Tokens      int    `json:"tokens,omitempty"`
	AttemptID   string `json:"try"` // the attempt that holds the key
	Upstream    string `json:"upstream,omitempty"`
}

// Claim is the row of a key as this box last wrote or read it.
type Claim struct {
	Key      string // the row key
	Record   Record
	Revision int64
}

// Keys reads and writes the rows of request keys. It is safe for concurrent use. Close stops its
// goroutines.
type Keys struct {
	// Commit applies a transaction. Tests replace it.
	Commit func(ctx context.Context, t *table.Transaction) (*table.Result, error)
	// Era returns the era of the store as known to this box, and when the box learned that the
	// store was restored from a backup, or the zero time if it never was. Set it before use; by
	// default the store never was.
	Era func() (era int64, since time.Time)
	// Get reads a row, or returns nil if there is none. Tests replace it.
	Get func(ctx context.Context, key string) (*table.Row, error)
	// GetObject reads an object, or returns nil if there is none. Tests replace it.
	GetObject func(ctx context.Context, name string) ([]byte, error)
	// PutObject writes an object. Tests replace it.
	PutObject func(ctx context.Context, name string, b []byte) error

	cancel  context.CancelFunc
	ctx     context.Context
	recent  recentClaims
	metrics *metric.Set
	pending chan *pendingWrite
	// restored has a value if the store was restored since runRewrite last looked.
	restored chan struct{}
	workers  sync.WaitGroup
}

const (
	maxBatchWrites       = 256
	maxInlineBytes       = 16 << 10 // size limit of an answer stored in the row itself
	maxPendingWrites     = 4096
	maxRetryDelay        = time.Second
	minRetryDelay        = 20 * time.Millisecond
	rowPrefix            = "request/"
	maxConditionalWrites = 3 // attempts at one change, if the row belongs to the same attempt but has another revision than expected
)

// New returns the request keys in a table and starts their writer. The caller calls Close.
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

// RowKey returns the row key for a request key of a workspace.
func RowKey(workspace, key string) string {
	return rowPrefix + workspace + "/" + key
}

// Answer returns the recorded answer of a finished request. It fails with fail.Unknown if the store
// has lost the object that holds it.
func (k *Keys) Answer(ctx context.Context, r *Record) (string, error) {
	if r.Object == "" {
		return r.Body, nil
	}
	b, err := k.GetObject(ctx, r.Object)
	if err == nil && b == nil {
		return "", fail.New(fail.Unknown, writeOrigin(), "answer_lost", "the store has no object %q", r.Object)
	}
	return string(b), err
}

// Close abandons rows that are not yet written and waits for the goroutines to end.
func (k *Keys) Close() error {
	k.cancel()
	k.workers.Wait()
	return nil
}

// Insert claims a key. If another attempt holds it, Insert returns that attempt's claim and false.
//
// An error means that the key is not claimed: a row that reached the table all the same is deleted
// once the table answers. For restoreGracePeriod after the store was restored, Insert refuses every claim,
// because other boxes may not yet have rewritten the rows of theirs.
func (k *Keys) Insert(ctx context.Context, key string, r Record) (*Claim, bool, error) {
	era, since := k.Era()
	if !since.IsZero() && time.Since(since) < restoreGracePeriod {
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

// Lookup returns the claim on a key, or nil if there is none.
func (k *Keys) Lookup(ctx context.Context, key string) (*Claim, error) {
	r, err := k.Get(ctx, key)
	if err != nil || r == nil {
		return nil, err
	}
	return decodeClaim(r)
}

// Release deletes the claim of a request that did not run.
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

// StoreAnswer puts the answer into r, or into an object of its own if it is larger than
// maxInlineBytes.
func (k *Keys) StoreAnswer(ctx context.Context, key string, r *Record, answer string) error {
	if len(answer) <= maxInlineBytes {
		r.Body = answer
		return nil
	}
	r.Object = key + "/" + r.AttemptID
	return k.PutObject(ctx, r.Object, []byte(answer))
}

// Update writes a new record for a claim and updates c. It also succeeds if a restored store has lost
// the row or holds an older version of it. It fails with fail.Conflict if another attempt holds the
// key.
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
	return fail.New(fail.Conflict, writeOrigin(), "key_taken", "the key %q is held by another attempt", c.Key)
}

func decodeClaim(r *table.Row) (*Claim, error) {
	c := &Claim{Key: r.Key, Revision: r.Revision}
	if r.Deleted {
		return nil, fail.New(fail.Conflict, writeOrigin(), "key_taken", "the row of the request key was deleted concurrently")
	}
	if err := json.Unmarshal(r.Value, &c.Record); err != nil {
		return nil, fail.Wrap(fail.Unknown, writeOrigin(), "platform_garbled", err)
	}
	return c, nil
}

func encodeRecord(r *Record) json.RawMessage {
	b, err := json.Marshal(r)
	if err != nil {
		panic("requestkey: cannot encode record: " + err.Error())
	}
	return b
}

// newWrite returns a write of a record on condition that the row has the given revision, or does not
// exist if it is 0.
func newWrite(key string, condition int64, r *Record) *pendingWrite {
	return &pendingWrite{condition: table.Condition{Key: key, Revision: condition}, write: table.Write{Key: key, Value: encodeRecord(r)}}
}

func writeOrigin() fail.Origin {
	return fail.Origin{Peer: "platform", Step: "write request key"}
}
