// Package lease keeps rows in the platform's table by which one box at a time
// holds something, with an epoch that rises with each holder and serves as the
// fence of its orders.
//
// A store that came back from a copy may have lost the row of a lease that holds. So a lease
// counts only in the store's era in which it was taken, and in a new one none is taken until
// all that the store has forgotten have ended. An epoch holds the era above the count, so
// that it rises although the count may begin anew.
package lease

import (
	"context"
	"encoding/json"
	"time"

	"github.com/linetiller/linetiller/internal/fail"
	"github.com/linetiller/linetiller/internal/revision"
	"github.com/linetiller/linetiller/internal/table"
)

// Record is the value of a lease's row.
type Record struct {
	Deadline time.Time `json:"deadline"` // after which another box may take it
	Epoch    int64     `json:"epoch"`    // rises with each holder
	Holder   string    `json:"holder"`   // the box's name and a name of its run
	WriteID  string    `json:"write"`    // names the write, so that a lost answer can be settled
}

// Lease is a lease that this box holds, or held.
type Lease struct {
	Epoch int64 // the fence of orders given under it

	currentEra func() (era int64, since time.Time) // see Keeper.Era
	deadline   time.Time
	era        int64
	key        string
	revision   int64
}

// Manager takes and renews leases. It is safe for concurrent use.
type Manager struct {
	// Commit applies a transaction; a seam.
	Commit func(ctx context.Context, t *table.Transaction) (*table.Result, error)
	// Era returns the era of the store as this box knows it, and when it learned that the
	// store came back from a copy, zero where it never did; a seam.
	Era func() (era int64, since time.Time)
	// Get reads a row; a seam.
	Get func(ctx context.Context, key string) (*table.Row, error)
	// NewWriteID names a write; a seam.
	NewWriteID func() string

	holder string
}

const (
	// TTL is how long a lease lasts.
	TTL = 15 * time.Second
	// SafetyMargin is how long before its end a holder stops to act on it, which covers
	// the drift of clocks and the way of an order.
	SafetyMargin = 5 * time.Second

	keyPrefix = "lease/"
)

// NewManager returns a keeper for the holder of that name.
func NewManager(holder string) *Manager {
	return &Manager{Era: func() (int64, time.Time) { return 0, time.Time{} }, holder: holder}
}

// Acquire takes the lease on a thing, or returns nil where it is held, or may be: by another
// box, or by this one, which then waits for its end, too.
func (k *Manager) Acquire(ctx context.Context, name string) (*Lease, error) {
	era, eraSince := k.Era()
	if !eraSince.IsZero() && time.Since(eraSince) < TTL {
		return nil, nil
	}
	key := keyPrefix + name
	row, err := k.Get(ctx, key)
	if err != nil {
		return nil, err
	}
	r := Record{Epoch: revision.Of(era, 1)}
	condition := int64(0)
	if row != nil {
		var old Record
		if err := json.Unmarshal(row.Value, &old); err != nil {
			return nil, fail.Wrap(fail.Unknown, place("take lease"), "platform_garbled", err)
		}
		if time.Now().Before(old.Deadline) {
			return nil, nil
		}
		r.Epoch, condition = max(old.Epoch+1, r.Epoch), row.Revision
	}
	return k.write(ctx, key, condition, era, r)
}

// Renew makes a lease last longer, where l is one that has not ended, and takes
// it otherwise. It returns nil where another box has it.
func (k *Manager) Renew(ctx context.Context, name string, l *Lease) (*Lease, error) {
	if l == nil || !l.held(time.Now()) {
		return k.Acquire(ctx, name)
	}
	return k.write(ctx, l.key, l.revision, l.era, Record{Epoch: l.Epoch})
}

// Valid reports whether an order may still be given under the lease. The clock
// is read anew, so that a holder that was paused finds its lease at an end.
func (l *Lease) Valid(now time.Time) bool {
	return l.held(now.Add(SafetyMargin))
}

// held reports whether the lease has not ended, by the store as this box knows it.
func (l *Lease) held(now time.Time) bool {
	era, _ := l.currentEra()
	return now.Before(l.deadline) && era == l.era
}

// write writes the row in an era of the store. The deadline counts from before the
// write, so that the holder never believes longer than the row says. Where the answer
// is lost, the row is read back, and the write's name tells. Where the store's era proves to be another,
// the lease is not held: the store forgot who may hold it.
func (k *Manager) write(ctx context.Context, key string, condition, era int64, r Record) (*Lease, error) {
	r.Deadline = time.Now().Add(TTL)
	r.Holder, r.WriteID = k.holder, k.NewWriteID()
	b, err := json.Marshal(r)
	if err != nil {
		return nil, err
	}
	l := &Lease{Epoch: r.Epoch, currentEra: k.Era, deadline: r.Deadline, era: era, key: key}
	result, err := k.Commit(ctx, &table.Transaction{
		Conditions: []table.Condition{{Key: key, Revision: condition}},
		Writes:     []table.Write{{Key: key, Value: b}},
	})
	if err != nil {
		return k.confirmWrite(ctx, l, r.WriteID, err)
	}
	if !result.Committed || revision.Era(result.Revision) != era {
		return nil, nil
	}
	l.revision = result.Revision
	return l, nil
}

// confirmWrite finds out whether a write whose answer was lost took effect. A write
// that may still arrive later cannot be acted upon, so it counts as not made;
// its holder takes the lease again, with a higher epoch.
func (k *Manager) confirmWrite(ctx context.Context, l *Lease, writeID string, cause error) (*Lease, error) {
	row, err := k.Get(ctx, l.key)
	if err != nil || row == nil {
		return nil, cause
	}
	var r Record
	if json.Unmarshal(row.Value, &r) != nil || r.WriteID != writeID || revision.Era(row.Revision) != l.era {
		return nil, cause
	}
	l.revision = row.Revision
	return l, nil
}

func place(step string) fail.Place {
	return fail.Place{Peer: "platform", Step: step}
}
