package resource

import (
	"cmp"
	"slices"
	"strings"
)

// MissingPage is Missing with at most limit changes of upstreams, which are those after a name. next
// is the name after which they go on, or "" if they are complete. The changes of other sources are
// contained only if after is "".
//
// A list of 10,000 upstreams takes over a second on the link of a small box, which would hold up the
// changes of other sources and each call in the meantime.
func (v *View) MissingPage(have Revisions, after string, limit int) (l []Batch, next string) {
	l = v.Missing(have)
	if after != "" {
		l = slices.DeleteFunc(l, func(b Batch) bool { return b.Source != SourceUpstreams })
	}
	for i := range l {
		if b := &l[i]; b.Source == SourceUpstreams && (after != "" || len(b.Changes) > limit) {
			b.Changes, next = page(b.Changes, after, limit)
		}
	}
	return l, next
}

// Append adds the next page of a batch to the pages before, which keep their revision: the batch is
// complete up to the revision at which its first page was made. It reports false if the pages do not
// belong together.
func (b *Batch) Append(page *Batch) bool {
	if page.Source != b.Source || page.Snapshot != b.Snapshot || page.Revision < b.Revision {
		return false
	}
	b.Changes = append(b.Changes, page.Changes...)
	b.Tentative = b.Tentative || page.Tentative
	return true
}

// page returns the first changes after a name, in the order of the names, and the last of their names
// if there are more.
func page(l []Change, after string, limit int) (changes []Change, next string) {
	l = slices.DeleteFunc(l, func(c Change) bool { return c.Resource.Metadata.Name <= after })
	slices.SortFunc(l, func(a, b Change) int {
		return cmp.Or(strings.Compare(a.Resource.Metadata.Name, b.Resource.Metadata.Name), cmp.Compare(a.Revision, b.Revision))
	})
	if len(l) <= limit {
		return l, ""
	}
	return l[:limit], l[limit-1].Resource.Metadata.Name
}
