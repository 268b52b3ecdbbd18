// Package table defines what the product keeps in the platform's service: rows
// that are read and written in transactions, and objects.
//
// A key is TABLE/REST: what stands before the first slash names the table in
// which the row is kept. All writes of one transaction go to tables of one
// client; package platform speaks to the service itself.
package table

import (
	"context"
	"encoding/json"
	"time"
)

// Changes is what changed in one table after a revision, or all that it holds.
type Changes struct {
	Now      time.Time // by the service's clock; zero where that is not known
	Revision int64     // up to which Rows is complete
	Rows     []Row
	Snapshot bool // Rows is all that the table holds; what it does not name is gone
}

// Condition must hold for a transaction to commit.
type Condition struct {
	Key      string `json:"key"`
	Revision int64  `json:"revision"` // of the row; 0 means that the row must not exist
}

// Result tells what became of a transaction.
type Result struct {
	Committed bool  `json:"committed"`
	Revision  int64 `json:"revision"`          // the table's, after it
	Current   []Row `json:"current,omitempty"` // rows named by conditions, where it did not commit
}

// Row is one row of the table.
type Row struct {
	Deleted  bool            `json:"deleted,omitempty"` // only in changes
	Key      string          `json:"key"`
	Revision int64           `json:"revision"` // of the transaction that wrote it
	Value    json.RawMessage `json:"value,omitempty"`
}

// Store are the calls to the platform's service. Its fields are seams.
type Store struct {
	// Changes waits up to wait for changes of a table after a revision; 0 reads
	// the whole table.
	Changes func(ctx context.Context, name string, after int64, wait time.Duration) (*Changes, error)
	// Close closes idle connections.
	Close func() error
	// Commit applies a transaction. A fail.Unknown error means that it may have
	// been applied, or may be applied later if its conditions still hold.
	Commit func(ctx context.Context, t *Transaction) (*Result, error)
	// Get returns a row, or nil where none exists.
	Get func(ctx context.Context, key string) (*Row, error)
	// Object returns an object, or nil where none exists.
	Object func(ctx context.Context, name string) ([]byte, error)
	// PutObject writes an object.
	PutObject func(ctx context.Context, name string, b []byte) error
}

// answerStartedKey is the key of a context's value that is called once an answer begins to arrive.
type answerStartedKey struct{}

// AnswerStarted tells by a call's context that its answer has begun to arrive.
func AnswerStarted(ctx context.Context) {
	if f, ok := ctx.Value(answerStartedKey{}).(func()); ok {
		f()
	}
}

// WithAnswerStarted returns a context by which calls tell f that their answers have begun to arrive, perhaps
// more than once.
func WithAnswerStarted(ctx context.Context, f func()) context.Context {
	return context.WithValue(ctx, answerStartedKey{}, f)
}

// Transaction is applied whole, or not at all.
type Transaction struct {
	Conditions []Condition `json:"conditions,omitempty"`
	Writes     []Write     `json:"writes"`
}

// Write sets or removes a row.
type Write struct {
	Delete bool            `json:"delete,omitempty"`
	Key    string          `json:"key"`
	Value  json.RawMessage `json:"value,omitempty"`
}
