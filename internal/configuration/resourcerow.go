package configuration

import (
	"strconv"

	"github.com/linetiller/linetiller/internal/resource"
)

// ResourceRow is the value of a resource's row in the store. The row of a deleted resource is kept,
// with Deleted set, so that a reader that missed the removal sees it later.
type ResourceRow struct {
	Deleted  bool               `json:"deleted,omitempty"`
	Resource *resource.Resource `json:"resource"`
	WriteID  string             `json:"write"` // identifies the write, so that its outcome can be determined after a lost response
}

// WithRevision returns a copy of r without its status that carries the revision of its row.
func WithRevision(r *resource.Resource, revision int64) *resource.Resource {
	c := *r
	c.Metadata.ResourceVersion = strconv.FormatInt(revision, 10)
	c.Status = nil
	return &c
}
