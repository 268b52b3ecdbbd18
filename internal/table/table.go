// Package table defines the data model of the platform's storage service: rows, which are read and
// written in transactions, and objects. Package platform implements the calls to the service.
//
// A key is TABLE/REST: the part before the first slash is the table that the row is kept in. All
// writes of one transaction must go to tables of the same client.
package table

import (
	"context"
	"encoding/json"
	"time"
)

// Changes lists the rows of a table that changed after a revision, or all of its rows.
type Changes struct {
	Now      time.Time // by the service's clock; zero if unknown
	Revision int64     // Rows contains all changes up to this one
	Rows     []Row
	Snapshot bool // Rows are all rows of the table; rows that are missing no longer exist
}

// Condition is a row revision that must be current for a transaction to commit.
type Condition struct {
	Key      string `json:"key"`
	Revision int64  `json:"revision"` // of the row; 0 if the row must not exist
}

// Result is the outcome of a transaction.
type Result struct {
	Committed bool  `json:"committed"`
	Revision  int64 `json:"revision"`          // of the table, after the transaction
	Current   []Row `json:"current,omitempty"` // if not committed: the rows named by its conditions
}

// Row is one row of a table.
type Row struct {
	Deleted  bool            `json:"deleted,omitempty"` // only in Changes
	Key      string          `json:"key"`
	Revision int64           `json:"revision"` // of the transaction that last wrote it
	Value    json.RawMessage `json:"value,omitempty"`
}

// Store contains the calls to the platform's storage service as functions, so that tests can replace
// each of them.
type Store struct {
	// Changes returns the changes of a table after a revision. If there are none, it waits for one, at
	// most for the duration wait. After revision 0 it returns the whole table.
	Changes func(ctx context.Context, name string, after int64, wait time.Duration) (*Changes, error)
	// Close closes idle connections.
	Close func() error
	// Commit applies a transaction. A fail.Unknown error means that it may have been applied, or
	// may still be applied later if its conditions hold then.
	Commit func(ctx context.Context, t *Transaction) (*Result, error)
	// Get returns a row, or nil if there is none.
	Get func(ctx context.Context, key string) (*Row, error)
	// Object returns an object, or nil if there is none.
	Object func(ctx context.Context, name string) ([]byte, error)
	// PutObject writes an object.
	PutObject func(ctx context.Context, name string, b []byte) error
}

// responseStartKey is the context key of the function set by WithOnResponseStart.
type responseStartKey struct{}

// NotifyResponseStart calls the function that WithOnResponseStart has put into ctx, if any.
// Implementations of Store call it when the response to a call begins to arrive.
func NotifyResponseStart(ctx context.Context) {
	if f, ok := ctx.Value(responseStartKey{}).(func()); ok {
		f()
	}
}

// WithOnResponseStart returns a context for calls of a Store that call f when their response begins to
// arrive. f may be called more than once.
func WithOnResponseStart(ctx context.Context, f func()) context.Context {
	return context.WithValue(ctx, responseStartKey{}, f)
}

// Transaction is a set of writes that is applied atomically if all conditions hold.
type Transaction struct {
	Conditions []Condition `json:"conditions,omitempty"`
	Writes     []Write     `json:"writes"`
}

// Write sets or deletes a row.
type Write struct {
	Delete bool            `json:"delete,omitempty"`
	Key    string          `json:"key"`
	Value  json.RawMessage `json:"value,omitempty"`
}
