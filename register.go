package linetiller

import (
	"bytes"
	"context"
	"encoding/json"
	"math/rand/v2"
	"time"

	"github.com/linetiller/linetiller/internal/box"
	"github.com/linetiller/linetiller/internal/configuration"
	"github.com/linetiller/linetiller/internal/event"
	"github.com/linetiller/linetiller/internal/fail"
	"github.com/linetiller/linetiller/internal/policy"
	"github.com/linetiller/linetiller/internal/resource"
	"github.com/linetiller/linetiller/internal/table"
)

// registerInterval is the mean time between checks of the box's own row. A check costs no call to
// the store if the row is up to date.
const registerInterval = 10 * time.Second

// registerRetryDelay is how soon a box checks its row again after writing it because the store had
// lost it. The box reads its own write back within about 100 ms.
const registerRetryDelay = 500 * time.Millisecond

// lostBoxTTL is how long a box that is marked as lost keeps its share of the extra retries. Halls
// may be cut off for hours and serve meanwhile.
const lostBoxTTL = 24 * time.Hour

// awaitRegisterDue waits until the box's own row is to be checked again: at a regular time or,
// after registerRetryDelay, as soon as the store has lost the row.
func (b *Box) awaitRegisterDue(ctx context.Context) {
	retry := time.After(registerRetryDelay)
	regular := time.After(registerInterval/2 + time.Duration(rand.Int64N(int64(registerInterval))))
	select {
	case <-ctx.Done():
		return
	case <-retry:
	}
	for c := b.view.Changed(); !b.rowLost(); c = b.view.Changed() {
		select {
		case <-ctx.Done():
			return
		case <-regular:
			return
		case <-c:
		}
	}
}

// register writes the address and hall of this box to its row, unless the row is up to date.
func (b *Box) register(ctx context.Context) error {
	want := resource.BoxSpec{Address: b.links.Address(), Hall: b.settings.Hall}
	v, err := json.Marshal(&want)
	if err != nil {
		return err
	}
	revision := int64(0)
	if r := b.view.Get(resource.KindBox, b.settings.Box); r != nil {
		if s, err := resource.Decode[resource.BoxSpec](r); err == nil && *s == want && !b.rowLost() {
			return nil
		}
		row, err := b.store.Get(ctx, configuration.BoxKey(b.settings.Box))
		if err != nil {
			return err
		}
		if row != nil && bytes.Equal(row.Value, v) {
			return nil // already written, but not yet in the view
		}
		if row != nil {
			revision = row.Revision
		}
	}
	_, err = b.store.Commit(ctx, &table.Transaction{
		Conditions: []table.Condition{{Key: configuration.BoxKey(b.settings.Box), Revision: revision}},
		Writes:     []table.Write{{Key: configuration.BoxKey(b.settings.Box), Value: v}},
	})
	return err // the written row reaches this view through the boxes that read the store
}

// markLost marks a box as lost in its row. The box writes its row again when it is no longer cut off.
func (b *Box) markLost(ctx context.Context, m *box.Member) {
	v, err := json.Marshal(&resource.BoxSpec{Address: m.Address, Hall: m.Hall, LostUntil: time.Now().Add(lostBoxTTL)})
	if err != nil {
		return
	}
	if b.rewriteRow(ctx, m.Name, table.Write{Value: v}) {
		event.PeerLost.Log(b.log, "box", m.Name)
	}
}

// removeRow removes the row of another box.
func (b *Box) removeRow(ctx context.Context, name string) {
	if b.rewriteRow(ctx, name, table.Write{Delete: true}) {
		event.PeerRemoved.Log(b.log, "box", name)
	}
}

// reviewRows marks boxes that have been unreachable for a long time as lost, and removes the rows of
// boxes that left or have been lost for lostBoxTTL. One box of the hall does so.
func (b *Box) reviewRows(ctx context.Context) {
	s := b.members.Self()
	if policy.HighestRanked("registrar", b.members.Active(s.Hall)) != s.Name {
		return
	}
	now := time.Now()
	for _, m := range b.members.LongUnreachable(now) {
		if m.State == box.StateLeaving {
			b.removeRow(ctx, m.Name)
		} else {
			b.markLost(ctx, &m)
		}
	}
	for _, x := range b.view.Boxes() {
		if x.Spec.Lost() && now.After(x.Spec.LostUntil) {
			b.removeRow(ctx, x.Name)
		}
	}
}

// rewriteRow writes the row of another box, unless the row has changed since this box last read it,
// and reports whether it did. On failure, the next review retries.
func (b *Box) rewriteRow(ctx context.Context, name string, w table.Write) bool {
	r := b.view.Get(resource.KindBox, name)
	if r == nil {
		return false
	}
	w.Key = configuration.BoxKey(name)
	x, err := b.store.Commit(ctx, &table.Transaction{
		Conditions: []table.Condition{{Key: w.Key, Revision: r.Revision()}},
		Writes:     []table.Write{w},
	})
	return err == nil && x.Committed
}

// rowLost reports whether the store was restored from a backup and has lost this box's row.
func (b *Box) rowLost() bool {
	return b.view.IsHeld(resource.KindBox, b.settings.Box)
}

// runRegister keeps the box's own row up to date and reviews the rows of other boxes.
func (b *Box) runRegister(ctx context.Context) {
	for ctx.Err() == nil {
		if !b.stopping.Load() {
			if err := b.register(ctx); err != nil && ctx.Err() == nil {
				event.PlatformUnreachable.Log(b.log, "source", "boxes", "step", fail.Step(err), "error", err.Error())
			}
		}
		b.reviewRows(ctx)
		b.awaitRegisterDue(ctx)
	}
}

// unregister removes the box's own row, so that other boxes drop this one at once.
func (b *Box) unregister(ctx context.Context) {
	r := b.view.Get(resource.KindBox, b.settings.Box)
	if r == nil {
		return
	}
	_, _ = b.store.Commit(ctx, deleteTransaction(b.settings.Box, r.Revision())) // on failure, another box removes it later
}

// deleteTransaction returns a transaction that deletes a box's row if it is still at the given
// revision.
func deleteTransaction(name string, revision int64) *table.Transaction {
	k := configuration.BoxKey(name)
	return &table.Transaction{Conditions: []table.Condition{{Key: k, Revision: revision}}, Writes: []table.Write{{Delete: true, Key: k}}}
}
