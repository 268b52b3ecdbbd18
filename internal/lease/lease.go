// Package lease implements leases as rows of the platform's table. A lease gives one box at a time
// the exclusive right to something. Its epoch increases with each holder and is the fencing token
// of the orders that the holder gives.
//
// A store that was restored from a backup may have lost the row of a lease that is still held.
// Therefore a lease is only valid in the era of the store in which it was acquired, and after the
// start of a new era no lease is acquired until all those that the store may have lost have
// expired. The upper bits of an epoch hold the era, so that epochs keep increasing even if the
// count in the lower bits starts over.
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
	Deadline time.Time `json:"deadline"` // when the lease expires
	Epoch    int64     `json:"epoch"`    // increases with each holder
	Holder   string    `json:"holder"`   // name of the box and ID of its process
	WriteID  string    `json:"write"`    // identifies the write, so that its outcome can be determined if its answer was lost
}

// Lease is a lease that this box holds or has held.
type Lease struct {
	Epoch int64 // fencing token of orders given under the lease

	currentEra func() (era int64, since time.Time) // see Manager.Era
	deadline   time.Time
	era        int64  // of the store, in which the lease was acquired
	key        string // of the lease's row
	revision   int64  // of the lease's row
}

// Manager acquires and renews leases. It is safe for concurrent use. Commit, Get and NewWriteID must
// be set before first use.
type Manager struct {
	// Commit applies a transaction to the table.
	Commit func(ctx context.Context, t *table.Transaction) (*table.Result, error)
	// Era returns the era of the store that this box knows, and when the box learned that the
	// store had been restored, or zero if it never did. By default the era is always 0.
	Era func() (era int64, since time.Time)
	// Get reads a row of the table. It returns nil if the row does not exist.
	Get func(ctx context.Context, key string) (*table.Row, error)
	// NewWriteID returns a unique ID for a write.
	NewWriteID func() string

	holder string
}

const (
	// TTL is how long a lease lasts unless it is renewed.
	TTL = 15 * time.Second
	// SafetyMargin is how long before the lease expires its holder stops using it. It covers clock
	// drift and the time that an order takes to arrive.
	SafetyMargin = 5 * time.Second

	keyPrefix = "lease/"
)

// NewManager returns a manager that acquires leases for the given holder.
func NewManager(holder string) *Manager {
	return &Manager{Era: func() (int64, time.Time) { return 0, time.Time{} }, holder: holder}
}

// Acquire acquires the lease with the given name. It returns nil if the lease is held, or may be held
// because the store was restored less than TTL ago. A lease that this box holds counts, too: it has
// to expire first.
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
			return nil, fail.Wrap(fail.Unknown, origin("take lease"), "platform_garbled", err)
		}
		if time.Now().Before(old.Deadline) {
			return nil, nil
		}
		r.Epoch, condition = max(old.Epoch+1, r.Epoch), row.Revision
	}
	return k.write(ctx, key, condition, era, r)
}

// Renew extends the lease l. If l is nil, has expired or was acquired in an earlier era of the store,
// Renew acquires the lease with the given name instead. It returns nil if another box holds it.
func (k *Manager) Renew(ctx context.Context, name string, l *Lease) (*Lease, error) {
	if l == nil || !l.heldAt(time.Now()) {
		return k.Acquire(ctx, name)
	}
	return k.write(ctx, l.key, l.revision, l.era, Record{Epoch: l.Epoch})
}

// Valid reports whether an order may still be given under the lease. Pass a freshly read time, so
// that a holder whose process was paused notices that the lease has expired.
func (l *Lease) Valid(now time.Time) bool {
	return l.heldAt(now.Add(SafetyMargin))
}

// heldAt reports whether at a given time the lease has not expired, and the store's era, as known to
// this box, is still the one in which the lease was acquired.
func (l *Lease) heldAt(now time.Time) bool {
	era, _ := l.currentEra()
	return now.Before(l.deadline) && era == l.era
}

// write writes the row of a lease, on condition of its revision, and returns the lease, or nil if
// the condition did not hold. The deadline is computed before the write, so that the holder never
// relies on the lease for longer than the row says. If the answer is lost, the row is read back and
// its write ID shows whether the write took effect. If the revision shows that the store is in
// another era than expected, the lease is not held: the store may have lost the row of its holder.
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

// confirmWrite determines whether a write whose answer was lost took effect, and returns cause if
// not. A write that is still on its way may take effect later, but counts as failed: the box has to
// acquire the lease again, with a higher epoch.
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

func origin(step string) fail.Origin {
	return fail.Origin{Peer: "platform", Step: step}
}
