package resource

// Change is a write or removal of a resource at a revision of its source.
type Change struct {
	Deleted bool `json:"deleted,omitempty"`
	// HasSnapshotRevision is set if the revision is that of a snapshot that contained the resource,
	// and not that of the resource's own row.
	HasSnapshotRevision bool      `json:"redated,omitempty"`
	Resource            *Resource `json:"resource"`
	Revision            int64     `json:"revision"`
	// Tentative is set if the store may have returned a row from the backup that it was restored
	// from. A box that has newer data keeps using that for a while; see View.Merge.
	Tentative bool `json:"tentative,omitempty"`
}
