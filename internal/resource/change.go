package resource

// Change is one write or removal of a resource at a revision of its source.
type Change struct {
	Deleted  bool      `json:"deleted,omitempty"`
	Resource *Resource `json:"resource"`
	Revision int64     `json:"revision"`
}
