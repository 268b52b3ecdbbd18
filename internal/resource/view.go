package resource

import (
	"bytes"
	"cmp"
	"crypto/sha256"
	"crypto/subtle"
	"encoding/hex"
	"maps"
	"slices"
	"strings"
	"sync"
	"time"
)

// Change is one write or removal of a resource at a revision of its source.
type Change struct {
	Deleted  bool      `json:"deleted,omitempty"`
	Resource *Resource `json:"resource"`
	Revision int64     `json:"revision"`
}

// entry is the newest change of a resource.
type entry struct {
	Change
	source Source
}

// View is what one box knows of the resources.
//
// The revision of each source only rises. It is safe for concurrent use; readers
// get values that are never changed afterwards. View's lock is the innermost of
// a box: no other lock is taken while it is held.
type View struct {
	mutex     sync.RWMutex
	changed   chan struct{}
	marks     []string // keys of removed resources, oldest first
	now       func() time.Time
	resources map[string]entry // by kind and name; removals stay as marks
	revisions Revisions
	version   uint64
	floors    Revisions // of each source: older changes are accounted for
	leaps     map[Source][]leap

	index index
}

// leap is a step from one revision of a source to another between which something
// may have come and gone that the view never knew.
type leap struct{ from, to int64 }

// maxLeaps bounds the leaps that are remembered; the oldest are taken together.
const maxLeaps = 32

// maxMarks bounds the removals that are remembered. An older change of a
// resource whose mark was dropped could bring it back; such a change would have
// to be older than the last maxMarks removals.
const maxMarks = 4096

// NewView returns an empty view.
func NewView() *View {
	return &View{
		changed: make(chan struct{}), index: newIndex(), now: time.Now,
		resources: make(map[string]entry), revisions: make(Revisions),
		floors: make(Revisions), leaps: make(map[Source][]leap),
	}
}

// Apply takes in changes that operators declared; see Take.
func (v *View) Apply(changes []Change, r int64) bool {
	return v.Take(&Batch{Changes: changes, Revision: r, Source: SourceResources})
}

// Changed returns a channel that is closed at the next change.
func (v *View) Changed() <-chan struct{} {
	v.mutex.RLock()
	defer v.mutex.RUnlock()
	return v.changed
}

// Get returns the resource of that kind and name, or nil.
func (v *View) Get(k Kind, name string) *Resource {
	v.mutex.RLock()
	defer v.mutex.RUnlock()
	c, ok := v.resources[key(k, name)]
	if !ok || c.Deleted {
		return nil
	}
	return c.Resource
}

// List returns the resources of a kind in order of name; an empty kind means all.
func (v *View) List(k Kind) []*Resource {
	v.mutex.RLock()
	defer v.mutex.RUnlock()
	var l []*Resource
	for _, c := range v.resources {
		if !c.Deleted && (k == "" || c.Resource.Kind == k) {
			l = append(l, c.Resource)
		}
	}
	slices.SortFunc(l, func(a, b *Resource) int {
		return cmp.Or(strings.Compare(string(a.Kind), string(b.Kind)), strings.Compare(a.Metadata.Name, b.Metadata.Name))
	})
	return l
}

// Missing returns what a box with these revisions lacks of every source: what has
// changed since, or the whole source where the box knows things that this view may
// never have known, and so cannot name as removed.
func (v *View) Missing(have Revisions) []Batch {
	v.mutex.RLock()
	defer v.mutex.RUnlock()
	var l []Batch
	for _, s := range slices.Sorted(maps.Keys(v.revisions)) {
		if v.revisions[s] <= have[s] {
			continue
		}
		b := Batch{Revision: v.revisions[s], Settled: true, Source: s, Whole: v.leapt(s, have[s])}
		if b.Whole {
			b.Changes = v.live(s)
		} else {
			b.Changes = v.since(s, have[s])
		}
		l = append(l, b)
	}
	return l
}

// Revision returns the revision in force of what operators declared.
func (v *View) Revision() int64 {
	v.mutex.RLock()
	defer v.mutex.RUnlock()
	return v.revisions[SourceResources]
}

// Revisions returns the revisions of all sources.
func (v *View) Revisions() Revisions {
	v.mutex.RLock()
	defer v.mutex.RUnlock()
	return maps.Clone(v.revisions)
}

// Since returns the newest change of every declared resource changed after r, in
// order of revision, removals included, with the revision in force.
func (v *View) Since(r int64) ([]Change, int64) {
	v.mutex.RLock()
	defer v.mutex.RUnlock()
	return v.since(SourceResources, r), v.revisions[SourceResources]
}

// SourceOf returns the source of a resource that the view holds.
func (v *View) SourceOf(r *Resource) Source {
	v.mutex.RLock()
	defer v.mutex.RUnlock()
	return v.resources[key(r.Kind, r.Metadata.Name)].source
}

// Take takes in changes of one source and then stands at their revision.
//
// A change at or below the revision in force of its own resource is passed
// over, and a revision below the current one leaves that as it is, so that
// neither ever falls. A resource that a whole batch tells again as it stands keeps the
// revision of its last change. Take reports whether anything was taken in.
func (v *View) Take(b *Batch) bool {
	v.mutex.Lock()
	defer v.mutex.Unlock()
	complete := b.Whole || b.Settled
	if complete && b.Revision < v.revisions[b.Source] {
		return false // the view is ahead of it
	}
	moved, named := v.setAll(b, complete)
	r := b.Revision
	if b.Whole && !v.removeOthers(b, named) && !b.Settled {
		r = b.Newest()
	} else {
		moved = moved || b.Whole
	}
	moved = moved || r > v.revisions[b.Source]
	if complete {
		v.leap(b.Source, r)
	}
	v.revisions[b.Source] = max(v.revisions[b.Source], r)
	if moved {
		v.version++
		v.index.rebuild()
		close(v.changed)
		v.changed = make(chan struct{})
	}
	return moved
}

// Version rises with every change of the view.
func (v *View) Version() uint64 {
	v.mutex.RLock()
	defer v.mutex.RUnlock()
	return v.version
}

// HashKey returns the hex SHA-256 hash under which a bearer key is declared.
func HashKey(bearer string) string {
	h := sha256.Sum256([]byte(bearer))
	return hex.EncodeToString(h[:])
}

// dropMarks forgets the oldest removals beyond maxMarks.
func (v *View) dropMarks() {
	for len(v.marks) > maxMarks {
		if e, ok := v.resources[v.marks[0]]; ok && e.Deleted {
			delete(v.resources, v.marks[0])
		}
		v.marks = v.marks[1:]
	}
}

// leap takes in that the view goes to revision r of a source in one step.
func (v *View) leap(s Source, r int64) {
	v.floors[s] = max(v.floors[s], r)
	from := v.revisions[s]
	if r <= from {
		return
	}
	v.leaps[s] = append(v.leaps[s], leap{from, r})
	if l := v.leaps[s]; len(l) > maxLeaps {
		l[1].from = l[0].from
		v.leaps[s] = l[1:]
	}
}

// leapt reports whether a revision of a source lies inside a leap of the view.
func (v *View) leapt(s Source, r int64) bool {
	for _, l := range v.leaps[s] {
		if l.from < r && r < l.to {
			return true
		}
	}
	return false
}

// live returns all resources of a source that stand.
func (v *View) live(s Source) []Change {
	var l []Change
	for _, e := range v.resources {
		if e.source == s && !e.Deleted {
			l = append(l, e.Change)
		}
	}
	return l
}

// removeOthers removes what a whole batch does not name.
func (v *View) removeOthers(b *Batch, named map[string]bool) bool {
	moved := false
	for k, e := range v.resources {
		if e.source != b.Source || e.Deleted || named[k] || e.Revision >= b.Revision {
			continue
		}
		e.Deleted, e.Revision = true, b.Revision
		moved = v.set(k, e) || moved
	}
	return moved
}

// set takes in one change, unless the view has a newer one.
func (v *View) set(k string, e entry) bool {
	if old, ok := v.resources[k]; ok && old.Revision >= e.Revision {
		return false
	}
	v.resources[k] = e
	v.index.put(e.Change, v.now())
	if e.Deleted {
		v.marks = append(v.marks, k)
		v.dropMarks()
	}
	return true
}

func (v *View) since(s Source, r int64) []Change {
	var l []Change
	for _, e := range v.resources {
		if e.source == s && e.Revision > r {
			l = append(l, e.Change)
		}
	}
	slices.SortFunc(l, func(a, b Change) int {
		return cmp.Or(cmp.Compare(a.Revision, b.Revision), strings.Compare(a.Resource.Metadata.Name, b.Resource.Metadata.Name))
	})
	return l
}

// setAll takes in the changes of a batch. It returns whether any was news, and the
// keys of the resources that the batch names.
func (v *View) setAll(b *Batch, complete bool) (moved bool, named map[string]bool) {
	named = make(map[string]bool, len(b.Changes))
	for _, c := range b.Changes {
		k := key(c.Resource.Kind, c.Resource.Metadata.Name)
		named[k] = true
		if c.Revision <= v.floors[b.Source] && !complete {
			continue // it is accounted for
		}
		e := entry{c, b.Source}
		if b.Whole && v.stands(k, &e) {
			continue
		}
		if b.Whole && c.Revision <= v.revisions[b.Source] {
			e.Revision = b.Revision // it was otherwise at the revision known here, and has changed since
		}
		moved = v.set(k, e) || moved
	}
	return moved, named
}

// stands reports whether a resource stands as e says.
func (v *View) stands(k string, e *entry) bool {
	old, ok := v.resources[k]
	return ok && !old.Deleted && !e.Deleted && old.source == e.source && bytes.Equal(old.Resource.Spec, e.Resource.Spec)
}

// sameKey compares in constant time, so that the time taken tells nothing of a key.
func sameKey(a, b string) bool {
	return subtle.ConstantTimeCompare([]byte(a), []byte(b)) == 1
}

func key(k Kind, name string) string {
	return string(k) + "/" + name
}
