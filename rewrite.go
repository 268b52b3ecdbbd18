package linetiller

import (
	"context"
	"crypto/rand"
	"encoding/json"
	"time"

	"github.com/linetiller/linetiller/internal/configuration"
	"github.com/linetiller/linetiller/internal/event"
	"github.com/linetiller/linetiller/internal/fail"
	"github.com/linetiller/linetiller/internal/resource"
	"github.com/linetiller/linetiller/internal/revision"
	"github.com/linetiller/linetiller/internal/table"
)

// rewriteDelay is how long a box that reads the store waits before it writes declared resources
// again that the store has lost. Meanwhile it receives changes that only other boxes know.
const rewriteDelay = time.Second

// rewrite writes the current version of a declared resource again, unless its row changes while it
// does so or has been written in the meantime.
func (b *Box) rewrite(ctx context.Context, c *resource.Change) error {
	x := *c.Resource
	x.Metadata.ResourceVersion = ""
	v, err := json.Marshal(&configuration.ResourceRow{Deleted: c.Deleted, Resource: &x, WriteID: rand.Text()})
	if err != nil {
		return err
	}
	key := configuration.ResourceKey(x.Kind, x.Metadata.Name)
	row, err := b.store.Get(ctx, key)
	if err != nil {
		return err
	}
	condition := int64(0)
	if row != nil {
		condition = row.Revision
	}
	if !b.view.IsHeld(x.Kind, x.Metadata.Name) {
		return nil // written in the meantime
	}
	r, err := b.store.Commit(ctx, &table.Transaction{
		Conditions: []table.Condition{{Key: key, Revision: condition}}, Writes: []table.Write{{Key: key, Value: v}},
	})
	if err != nil || !r.Committed {
		return err
	}
	event.ResourceRewritten.Log(b.log, "kind", x.Kind, "name", x.Metadata.Name, "era", revision.Era(r.Revision), "revision", revision.Version(r.Revision), "deleted", c.Deleted)
	return nil
}

// rewriteAll writes again all declared resources that the store has lost.
func (b *Box) rewriteAll(ctx context.Context) {
	l := b.view.PossiblyLost(resource.SourceResources)
	for i := range l {
		if err := b.rewrite(ctx, &l[i]); err != nil && ctx.Err() == nil {
			event.PlatformUnreachable.Log(b.log, "source", "resources", "step", fail.Step(err), "error", err.Error())
		}
	}
}

// runRewrite writes declared resources again that a store has lost because it was restored from a
// backup. Only boxes that read the store do so.
func (b *Box) runRewrite(ctx context.Context) {
	for {
		c := b.view.Changed()
		if len(b.view.PossiblyLost(resource.SourceResources)) == 0 || !b.follower.ReadsStore() {
			select {
			case <-ctx.Done():
				return
			case <-c:
			}
			continue
		}
		select {
		case <-ctx.Done():
			return
		case <-time.After(rewriteDelay):
		}
		b.rewriteAll(ctx)
	}
}
