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

// registerInterval is the mean time between looks at the box's own row: a look costs
// no call where all is as it should be.
const registerInterval = 10 * time.Second

// registerRetryDelay is how soon a box looks at its row again which the store has lost: what
// it wrote comes back to it within some 100 ms.
const registerRetryDelay = 500 * time.Millisecond

// register writes where this box is, unless the store has it so.
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
			return nil // the readers have yet to hear of it
		}
		if row != nil {
			revision = row.Revision
		}
	}
	_, err = b.store.Commit(ctx, &table.Transaction{
		Conditions: []table.Condition{{Key: configuration.BoxKey(b.settings.Box), Revision: revision}},
		Writes:     []table.Write{{Key: configuration.BoxKey(b.settings.Box), Value: v}},
	})
	return err // the readers hear of the row, and tell this box
}

// removeUnreachable removes the rows of boxes that have not been reached for long. A box
// that lives writes its row again.
func (b *Box) removeUnreachable(ctx context.Context) {
	s := b.members.Self()
	if policy.First("registrar", b.members.Alive(s.Hall)) != s.Name {
		return
	}
	for _, n := range b.members.Gone(time.Now()) {
		r := b.view.Get(resource.KindBox, n)
		if r == nil {
			continue
		}
		row, err := b.store.Get(ctx, configuration.BoxKey(n))
		if err != nil || row == nil {
			continue
		}
		if r, err := b.store.Commit(ctx, deleteTransaction(n, row.Revision)); err == nil && r.Committed { // or it is tried again at the next turn
			event.PeerRemoved.Log(b.log, "box", n)
		}
	}
}

// rowLost reports whether the store, which came back from a copy, has lost this box's row.
func (b *Box) rowLost() bool {
	return b.view.IsHeld(resource.KindBox, b.settings.Box)
}

// runRegister keeps the box's own row as it should be, and removes those of boxes
// that are long gone.
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

// awaitRegisterDue waits until the box's own row is to be looked at again.
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

// unregister removes the box's own row, so that the others forget it at once.
func (b *Box) unregister(ctx context.Context) {
	r := b.view.Get(resource.KindBox, b.settings.Box)
	if r == nil {
		return
	}
	_, _ = b.store.Commit(ctx, deleteTransaction(b.settings.Box, r.Revision())) // others remove it in the end
}

// deleteTransaction returns a transaction that removes a box's row as of a revision.
func deleteTransaction(name string, revision int64) *table.Transaction {
	k := configuration.BoxKey(name)
	return &table.Transaction{Conditions: []table.Condition{{Key: k, Revision: revision}}, Writes: []table.Write{{Delete: true, Key: k}}}
}
