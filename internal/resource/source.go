package resource

// Source names where resources come from. Each source has revisions of its own,
// which only rise.
type Source string

// The sources.
const (
	SourceBoxes         Source = "boxes"         // what boxes write of themselves
	SourceConfiguration Source = "configuration" // the platform's configuration, whole each time; its revisions are the operators' versions
	SourceEvacuations   Source = "evacuations"   // the data halls that the platform's operators evacuate
	SourceResources     Source = "resources"     // what operators declare by the operator interface
	SourceUpstreams     Source = "upstreams"     // the platform's list of upstreams
)

// Revisions holds, for each source, the revision up to which it is known.
type Revisions map[Source]int64

// Batch is some changes of one source.
type Batch struct {
	Changes []Change `json:"changes"`
	// Revision is that of the newest change; of a whole batch it is what removals
	// that the batch implies are dated by.
	Revision int64 `json:"revision"`
	// FromView is set where Revision is that of a box's view, and not only the
	// moment at which the store was read.
	FromView bool   `json:"settled,omitempty"`
	Source   Source `json:"source"`
	// Tentative is set where what a whole batch does not name may be lacking only in the copy
	// from which the store came back; see Change.
	Tentative bool `json:"tentative,omitempty"`
	Snapshot  bool `json:"whole,omitempty"` // Changes is all of the source; what it does not name is gone
}

// NewestRevision returns the highest revision of the changes.
func (b *Batch) NewestRevision() int64 {
	r := int64(0)
	for i := range b.Changes {
		r = max(r, b.Changes[i].Revision)
	}
	return r
}

// UsesStoreRevisions reports whether the revisions of a source are those of the store, so that what has
// changed since one of them can be read there.
func (s Source) UsesStoreRevisions() bool {
	return s != SourceConfiguration
}

// Behind reports whether o knows of more than r.
func (r Revisions) Behind(o Revisions) bool {
	for s, v := range o {
		if v > r[s] {
			return true
		}
	}
	return false
}
