package configuration

import (
	"strconv"

	"github.com/linetiller/linetiller/internal/resource"
)

// Value is what a resource's row holds. A deleted resource keeps its row, with
// Deleted set, so that a reader that was away sees the removal.
type Value struct {
	Deleted  bool               `json:"deleted,omitempty"`
	Resource *resource.Resource `json:"resource"`
	Write    string             `json:"write"` // names the write, so that a lost answer can be settled
}

// Versioned returns a copy of r that carries the revision of its row.
func Versioned(r *resource.Resource, revision int64) *resource.Resource {
	c := *r
	c.Metadata.ResourceVersion = strconv.FormatInt(revision, 10)
	c.Status = nil
	return &c
}
