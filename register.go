package linetiller

import (
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

// registerEvery is the mean time between looks at the box's own row: a look costs
// no call where all is as it should be.
const registerEvery = 10 * time.Second

// register writes where this box is, unless the store has it so.
func (b *Box) register(ctx context.Context) error {
	want := resource.BoxSpec{Address: b.links.Address(), Hall: b.settings.Hall}
	revision := int64(0)
	if r := b.view.Get(resource.KindBox, b.settings.Box); r != nil {
		if s, err := resource.Decode[resource.BoxSpec](r); err == nil && *s == want {
			return nil
		}
		row, err := b.store.Get(ctx, configuration.BoxKey(b.settings.Box))
		if err != nil {
			return err
		}
		if row != nil {
			revision = row.Revision
		}
	}
	v, err := json.Marshal(&want)
	if err != nil {
		return err
	}
	_, err = b.store.Commit(ctx, &table.Transaction{
		Conditions: []table.Condition{{Key: configuration.BoxKey(b.settings.Box), Revision: revision}},
		Writes:     []table.Write{{Key: configuration.BoxKey(b.settings.Box), Value: v}},
	})
	return err // the readers hear of the row, and tell this box
}

// removeGone removes the rows of boxes that have not been reached for long. A box
// that lives writes its row again.
func (b *Box) removeGone(ctx context.Context) {
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
		if r, err := b.store.Commit(ctx, removal(n, row.Revision)); err == nil && r.Committed { // or it is tried again at the next turn
			event.PeerRemoved.Log(b.log, "box", n)
		}
	}
}

// runRegister keeps the box's own row as it should be, and removes those of boxes
// that are long gone.
func (b *Box) runRegister(ctx context.Context) {
	for {
		if !b.stopping.Load() {
			if err := b.register(ctx); err != nil && ctx.Err() == nil {
				event.PlatformDown.Log(b.log, "source", "boxes", "step", fail.Step(err), "error", err.Error())
			}
		}
		b.removeGone(ctx)
		select {
		case <-ctx.Done():
			return
		case <-time.After(registerEvery/2 + time.Duration(rand.Int64N(int64(registerEvery)))):
		}
	}
}

// unregister removes the box's own row, so that the others forget it at once.
func (b *Box) unregister(ctx context.Context) {
	r := b.view.Get(resource.KindBox, b.settings.Box)
	if r == nil {
		return
	}
	_, _ = b.store.Commit(ctx, removal(b.settings.Box, r.Revision())) // others remove it in the end
}

// removal returns a transaction that removes a box's row as of a revision.
func removal(name string, revision int64) *table.Transaction {
	k := configuration.BoxKey(name)
	return &table.Transaction{Conditions: []table.Condition{{Key: k, Revision: revision}}, Writes: []table.Write{{Delete: true, Key: k}}}
}
