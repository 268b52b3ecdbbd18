package linetiller

import (
	"bytes"
	"context"
	"encoding/json"
	"math/rand/v2"
	"time"

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

// removeUnreachable removes the rows of boxes that have been unreachable for a long time. One box
// of the hall does so. A box that is still running writes its row again.
func (b *Box) removeUnreachable(ctx context.Context) {
	s := b.members.Self()
	if policy.HighestRanked("registrar", b.members.Alive(s.Hall)) != s.Name {
		return
	}
	for _, n := range b.members.LongUnreachable(time.Now()) {
		r := b.view.Get(resource.KindBox, n)
		if r == nil {
			continue
		}
		row, err := b.store.Get(ctx, configuration.BoxKey(n))
		if err != nil || row == nil {
			continue
		}
		if r, err := b.store.Commit(ctx, deleteTransaction(n, row.Revision)); err == nil && r.Committed { // on failure, the next round retries
			event.PeerRemoved.Log(b.log, "box", n)
		}
	}
}

// rowLost reports whether the store was restored from a backup and has lost this box's row.
func (b *Box) rowLost() bool {
	return b.view.IsHeld(resource.KindBox, b.settings.Box)
}

// runRegister keeps the box's own row up to date and removes the rows of boxes that have been
// unreachable for a long time.
func (b *Box) runRegister(ctx context.Context) {
	for ctx.Err() == nil {
		if !b.stopping.Load() {
			if err := b.register(ctx); err != nil && ctx.Err() == nil {
				event.PlatformUnreachable.Log(b.log, "source", "boxes", "step", fail.Step(err), "error", err.Error())
			}
		}
		b.removeUnreachable(ctx)
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
