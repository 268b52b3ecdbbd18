package configuration

import (
	"strconv"

	"github.com/linetiller/linetiller/internal/resource"
)

// ResourceRow is what a resource's row holds. A deleted resource keeps its row, with
// Deleted set, so that a reader that was away sees the removal.
type ResourceRow struct {
	Deleted  bool               `json:"deleted,omitempty"`
	Resource *resource.Resource `json:"resource"`
	WriteID  string             `json:"write"` // names the write, so that a lost answer can be settled
}

// WithRevision returns a copy of r that carries the revision of its row.
func WithRevision(r *resource.Resource, revision int64) *resource.Resource {
	c := *r
	c.Metadata.ResourceVersion = strconv.FormatInt(revision, 10)
	c.Status = nil
	return &c
}
