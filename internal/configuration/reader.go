package configuration

import (
	"context"
	"encoding/json"
	"time"

	"github.com/linetiller/linetiller/internal/resource"
	"github.com/linetiller/linetiller/internal/table"
)

// The tables of the product's own rows.
const (
	TableBoxes     = "box"
	TableResources = "resource"
)

// changesFunc reads changes of one table of the store.
type changesFunc func(ctx context.Context, name string, after int64, wait time.Duration) (*table.Changes, error)

// BoxKey returns the key of a box's row.
func BoxKey(name string) string {
	return TableBoxes + "/" + name
}

// BoxReader reads where boxes wrote that they are.
func BoxReader(changes changesFunc) Reader {
	return func(ctx context.Context, after int64, wait time.Duration) ([]resource.Batch, int64, error) {
		c, err := changes(ctx, TableBoxes, after, wait)
		if err != nil {
			return nil, 0, err
		}
		b := resource.Batch{Source: resource.SourceBoxes}
		for _, r := range c.Rows {
			b.Changes = append(b.Changes, resource.Change{Deleted: r.Deleted, Revision: r.Revision, Resource: WithRevision(&resource.Resource{
				Kind: resource.KindBox, Metadata: resource.Metadata{Name: r.Key}, Spec: r.Value,
			}, r.Revision)})
		}
		SetBatchRevision(&b, c)
		return []resource.Batch{b}, c.Revision, nil
	}
}

// SetBatchRevision sets the revision of a batch made from c.
//
// The store's revision rises with rows of other tables, too; a batch is dated by
// its own rows, unless rows may have gone unseen.
func SetBatchRevision(b *resource.Batch, c *table.Changes) {
	b.Snapshot = c.Snapshot
	b.Revision = b.NewestRevision()
	if c.Snapshot {
		b.Revision = c.Revision
	}
}

// ResourceKey returns the key of a resource's row.
func ResourceKey(k resource.Kind, name string) string {
	return TableResources + "/" + string(k) + "/" + name
}

// ResourceReader reads what operators declared by the operator interface.
// A removed resource keeps its row, so that what is absent is lost.
func ResourceReader(changes changesFunc) Reader {
	return func(ctx context.Context, after int64, wait time.Duration) ([]resource.Batch, int64, error) {
		c, err := changes(ctx, TableResources, after, wait)
		if err != nil {
			return nil, 0, err
		}
		b := resource.Batch{Changes: changesFromRows(c.Rows), Source: resource.SourceResources}
		SetBatchRevision(&b, c)
		return []resource.Batch{b}, c.Revision, nil
	}
}

// changesFromRows returns the changes that rows of declared resources hold.
func changesFromRows(rows []table.Row) []resource.Change {
	var l []resource.Change
	for _, x := range rows {
		v := new(ResourceRow)
		if json.Unmarshal(x.Value, v) != nil || v.Resource == nil {
			continue
		}
		l = append(l, resource.Change{Deleted: v.Deleted, Resource: WithRevision(v.Resource, x.Revision), Revision: x.Revision})
	}
	return l
}
