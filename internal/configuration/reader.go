package configuration

import (
	"context"
	"encoding/json"
	"time"

	"github.com/linetiller/linetiller/internal/resource"
	"github.com/linetiller/linetiller/internal/table"
)

// The tables of linetiller's own rows.
const (
	TableBoxes     = "box"
	TableResources = "resource"
)

// changesFunc reads the changes of one table of the store after a revision.
type changesFunc func(ctx context.Context, name string, after int64, wait time.Duration) (*table.Changes, error)

// BoxKey returns the key of the row in which a box publishes its address.
func BoxKey(name string) string {
	return TableBoxes + "/" + name
}

// BoxReader returns a reader of the rows in which boxes publish their addresses.
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

// SetBatchRevision sets the revision of a batch that was made from c, and whether it is a snapshot.
//
// The store's revision also increases with rows of other tables. A batch therefore has the newest
// revision of its own rows, except for a snapshot: removals that were not seen may be as new as the
// store's revision.
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

// ResourceReader returns a reader of the resources that operators declare through the operator
// interface. A removed resource keeps its row, so a row that is absent was lost.
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

// changesFromRows decodes the rows of declared resources into changes. Rows that cannot be decoded
// are skipped.
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
