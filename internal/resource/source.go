package resource

// Source identifies where resources come from. Each source has its own revisions, which only
// increase.
type Source string

// The sources.
const (
	SourceBoxes         Source = "boxes"         // what boxes write about themselves
	SourceConfiguration Source = "configuration" // the platform's configuration, always read as a whole; its revisions are the operators' versions
	SourceEvacuations   Source = "evacuations"   // the data halls under evacuation by the platform's operators
	SourceResources     Source = "resources"     // what operators declare through the operator interface
	SourceUpstreams     Source = "upstreams"     // the platform's list of upstreams
)

// Revisions holds the newest known revision of each source.
type Revisions map[Source]int64

// Batch is a set of changes of one source.
type Batch struct {
	Changes []Change `json:"changes"`
	// Revision is the revision up to which the changes are complete. A batch that was read in several
	// pages may have newer changes, but not all of them. In a snapshot, the removals that it implies get
	// this revision.
	Revision int64 `json:"revision"`
	// FromView is set if Revision is the revision of a view, rather than the revision at which the
	// store was read.
	FromView bool `json:"settled,omitempty"`
	// Gaps are the ranges of revisions in which the sender's view may lack removals, and so may the
	// changes. They are known only if GapsListed is set; otherwise the whole batch is such a range.
	Gaps       []RevisionGap `json:"gaps,omitempty"`
	GapsListed bool          `json:"gapsListed,omitempty"`
	Source     Source        `json:"source"`
	// Tentative is set if resources that a snapshot lacks may be missing only from the backup that
	// the store was restored from; see Change.
	Tentative bool `json:"tentative,omitempty"`
	Snapshot  bool `json:"whole,omitempty"` // Changes holds the complete source; resources that it lacks are removed
}

// NewestRevision returns the highest revision of the changes, or 0.
func (b *Batch) NewestRevision() int64 {
	r := int64(0)
	for i := range b.Changes {
		r = max(r, b.Changes[i].Revision)
	}
	return r
}

// UsesStoreRevisions reports whether the revisions of a source are those of the store, so that the
// store can be asked for the changes since one of them.
func (s Source) UsesStoreRevisions() bool {
	return s != SourceConfiguration
}

// Behind reports whether o has a newer revision of any source than r.
func (r Revisions) Behind(o Revisions) bool {
	for s, v := range o {
		if v > r[s] {
			return true
		}
	}
	return false
}
