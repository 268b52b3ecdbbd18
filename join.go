package linetiller

import (
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

// join learns of the other boxes and takes in the highest configuration that
// they or the table hold, before the first request.
func (b *Box) join(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, 2*heartbeatPeriod)
	defer cancel()
	for _, a := range b.settings.Peers {
		r, err := b.links.Once(ctx, a, b.request(box.Request{Kind: box.KindMembers}))
		if err != nil {
			continue
		}
		for _, m := range r.Members {
			b.members.Heard(m, time.Now())
		}
		_ = b.follower.CatchUp(ctx, a, r.Revisions)
	}
	_ = b.follower.Refresh(ctx) // the follower logs a failure, and tries again
	b.listMembers()
	b.workers.Go(func() { b.heartbeats(b.running) }) // boxes that are gone must not hold up the start
	b.beat.Store(int64(time.Since(b.started)))
}

// listMembers takes in the boxes that wrote where they are.
func (b *Box) listMembers() {
	var l []box.Member
	for _, x := range b.view.Boxes() {
		l = append(l, box.Member{Address: x.Spec.Address, Hall: x.Spec.Hall, Name: x.Name, State: box.StateServing})
	}
	b.members.List(l, time.Now())
}

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
	if err == nil {
		err = b.follower.Refresh(ctx)
	}
	return err
}

// runMembers takes in every change of the boxes that are known.
func (b *Box) runMembers(ctx context.Context) {
	for {
		c := b.view.Changed()
		b.listMembers()
		select {
		case <-ctx.Done():
			return
		case <-c:
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
		_, _ = b.store.Commit(ctx, removal(n, row.Revision)) // tried again at the next turn
		event.PeerRemoved.Log(b.log, "box", n)
	}
}

// unregister removes the box's own row, so that the others forget it at once.
func (b *Box) unregister(ctx context.Context) {
	row, err := b.store.Get(ctx, configuration.BoxKey(b.settings.Box))
	if err != nil || row == nil {
		return
	}
	_, _ = b.store.Commit(ctx, removal(b.settings.Box, row.Revision)) // others remove it in the end
}

func removal(name string, revision int64) *table.Transaction {
	k := configuration.BoxKey(name)
	return &table.Transaction{Conditions: []table.Condition{{Key: k, Revision: revision}}, Writes: []table.Write{{Delete: true, Key: k}}}
}

// registerEvery is the mean time between looks at the box's own row: a look costs
// no call where all is as it should be.
const registerEvery = 10 * time.Second
