// Package lease keeps rows in the platform's table by which one box at a time
// holds something, with an epoch that rises with each holder and serves as the
// fence of its orders.
package lease

import (
	"context"
	"encoding/json"
	"time"

	"github.com/linetiller/linetiller/internal/fail"
	"github.com/linetiller/linetiller/internal/table"
)

// Record is the value of a lease's row.
type Record struct {
	Deadline time.Time `json:"deadline"` // after which another box may take it
	Epoch    int64     `json:"epoch"`    // rises with each holder
	Holder   string    `json:"holder"`   // the box's name and a name of its run
	Write    string    `json:"write"`    // names the write, so that a lost answer can be settled
}

// Lease is a lease that this box holds, or held.
type Lease struct {
	Epoch int64 // the fence of orders given under it

	deadline time.Time
	key      string
	revision int64
}

// Keeper takes and renews leases. It is safe for concurrent use.
type Keeper struct {
	// Commit applies a transaction; a seam.
	Commit func(ctx context.Context, t *table.Transaction) (*table.Result, error)
	// Era returns the era of the store, and when this box learned of it; a seam.
	Era func() (era int64, since time.Time)
	// Get reads a row; a seam.
	Get func(ctx context.Context, key string) (*table.Row, error)
	// Name names a write; a seam.
	Name func() string

	holder string
}

const (
	// Period is how long a lease lasts.
	Period = 15 * time.Second
	// Margin is how long before its end a holder stops to act on it, which covers
	// the drift of clocks and the way of an order.
	Margin = 5 * time.Second

	prefix = "lease/"
)

// NewKeeper returns a keeper for the holder of that name.
func NewKeeper(holder string) *Keeper {
	return &Keeper{holder: holder}
}

// Take takes the lease on a thing, or returns nil where it is held: by another
// box, or by this one, which then waits for its end, too.
func (k *Keeper) Take(ctx context.Context, thing string) (*Lease, error) {
	key := prefix + thing
	row, err := k.Get(ctx, key)
	if err != nil {
		return nil, err
	}
	r := Record{Epoch: 1}
	revision := int64(0)
	if row != nil {
		var old Record
		if err := json.Unmarshal(row.Value, &old); err != nil {
			return nil, fail.Wrap(fail.Unknown, place("take lease"), "platform_garbled", err)
		}
		if time.Now().Before(old.Deadline) {
			return nil, nil
		}
		r.Epoch, revision = old.Epoch+1, row.Revision
	}
	return k.write(ctx, key, revision, r)
}

// Extend makes a lease last longer, where l is one that has not ended, and takes
// it otherwise. It returns nil where another box has it.
func (k *Keeper) Extend(ctx context.Context, thing string, l *Lease) (*Lease, error) {
	if l == nil || !time.Now().Before(l.deadline) {
		return k.Take(ctx, thing)
	}
	return k.write(ctx, l.key, l.revision, Record{Epoch: l.Epoch})
}

// Valid reports whether an order may still be given under the lease. The clock
// is read anew, so that a holder that was paused finds its lease at an end.
func (l *Lease) Valid(now time.Time) bool {
	return now.Before(l.deadline.Add(-Margin))
}

// write writes the row. The deadline counts from before the write, so that the
// holder never believes longer than the row says. Where the answer is lost, the
// row is read back, and the write's name tells.
func (k *Keeper) write(ctx context.Context, key string, revision int64, r Record) (*Lease, error) {
	r.Deadline = time.Now().Add(Period)
	r.Holder, r.Write = k.holder, k.Name()
	b, err := json.Marshal(r)
	if err != nil {
		return nil, err
	}
	l := &Lease{Epoch: r.Epoch, deadline: r.Deadline, key: key}
	v, err := k.Commit(ctx, &table.Transaction{
		Conditions: []table.Condition{{Key: key, Revision: revision}},
		Writes:     []table.Write{{Key: key, Value: b}},
	})
	if err != nil {
		return k.settle(ctx, l, r.Write, err)
	}
	if !v.Committed {
		return nil, nil
	}
	l.revision = v.Revision
	return l, nil
}

// settle finds out whether a write whose answer was lost took effect. A write
// that may still arrive later cannot be acted upon, so it counts as not made;
// its holder takes the lease again, with a higher epoch.
func (k *Keeper) settle(ctx context.Context, l *Lease, write string, cause error) (*Lease, error) {
	row, err := k.Get(ctx, l.key)
	if err != nil || row == nil {
		return nil, cause
	}
	var r Record
	if json.Unmarshal(row.Value, &r) != nil || r.Write != write {
		return nil, cause
	}
	l.revision = row.Revision
	return l, nil
}

func place(step string) fail.Place {
	return fail.Place{Peer: "platform", Step: step}
}
