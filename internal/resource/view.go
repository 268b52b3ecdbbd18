package resource

import (
	"bytes"
	"cmp"
	"maps"
	"slices"
	"strings"
	"sync"
	"time"
)

// entry is the newest change of a resource.
type entry struct {
	Change
	source Source
	// tentativeUntil is until when the change is passed on as one that the store may have told
	// from a copy; zero for others.
	tentativeUntil time.Time
}

// View is what one box knows of the resources.
//
// The revision of each source only rises. It is safe for concurrent use; readers
// get values that are never changed afterwards. View's lock is the innermost of
// a box: no other lock is taken while it is held.
type View struct {
	mutex      sync.RWMutex          // guards the fields below
	changed    chan struct{}         // closed at the next change
	floors     Revisions             // of each source: older changes are accounted for
	held       map[string]heldChange // by kind and name: changes that wait, since the store may have told them from a copy
	index      index
	gaps       map[Source][]revisionGap
	tombstones []string // keys of removed resources, oldest first
	now        func() time.Time
	resources  map[string]entry // by kind and name; removals stay as marks
	revisions  Revisions
	// tentativeUntil is, of each source, until when what is gone from it is passed on as
	// tentative.
	tentativeUntil map[Source]time.Time
	version        uint64
}

// maxTombstones bounds the removals that are remembered. An older change of a
// resource whose mark was dropped could bring it back; such a change would have
// to be older than the last maxTombstones removals.
const maxTombstones = 4096

// NewView returns an empty view.
func NewView() *View {
	return &View{
		changed: make(chan struct{}), floors: make(Revisions), held: make(map[string]heldChange), index: newIndex(),
		gaps: make(map[Source][]revisionGap), now: time.Now, resources: make(map[string]entry), revisions: make(Revisions),
		tentativeUntil: make(map[Source]time.Time),
	}
}

// Apply takes in changes that operators declared; see Take.
func (v *View) Apply(changes []Change, r int64) bool {
	return v.Merge(&Batch{Changes: changes, Revision: r, Source: SourceResources})
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
		b := Batch{Revision: v.revisions[s], FromView: true, Source: s, Tentative: v.now().Before(v.tentativeUntil[s]), Snapshot: v.inGap(s, have[s])}
		if b.Snapshot {
			b.Changes = v.live(s)
		} else {
			b.Changes = v.since(s, have[s], v.outgoing)
		}
		l = append(l, b)
	}
	return l
}

// NoteLeaving takes in that an upstream that was born at a time told itself that it is
// leaving. It reports whether that is news of an upstream which is listed.
//
// An upstream that leaves does not stay: nothing that its entry says afterwards changes that,
// since an entry may have been written before and come later, until one tells of a later
// start under its name, or an operator who had declared it leaving takes that back.
func (v *View) NoteLeaving(name string, born int64) bool {
	v.mutex.Lock()
	defer v.mutex.Unlock()
	u := v.index.upstreams[name]
	changed := v.index.leaving.record(name, born, u)
	if u == nil {
		v.index.leaving.markUnlisted(name, v.index.upstreams)
	}
	if !changed {
		return false
	}
	c := *u
	c.ReportedLeaving = true
	v.index.upstreams[name] = &c
	v.index.changedUpstreams = append(v.index.changedUpstreams, name)
	v.notifyChanged()
	return true
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
	inForce := func(_ string, e *entry) Change { return e.Change }
	return v.since(SourceResources, r, inForce), v.revisions[SourceResources]
}

// SourceOf returns the source of a resource that the view holds.
func (v *View) SourceOf(r *Resource) Source {
	v.mutex.RLock()
	defer v.mutex.RUnlock()
	return v.resources[key(r.Kind, r.Metadata.Name)].source
}

// Merge takes in changes of one source and then stands at their revision.
//
// A change at or below the revision in force of its own resource is passed
// over, and a revision below the current one leaves that as it is, so that
// neither ever falls. A resource that a whole batch tells again as it stands keeps the
// revision of its last change. A tentative change that would go back to what may be of a copy
// of the store waits; see holdPeriod. Take reports whether anything was taken in.
func (v *View) Merge(b *Batch) bool {
	v.mutex.Lock()
	defer v.mutex.Unlock()
	complete := b.Snapshot || b.FromView
	if complete && b.Revision < max(v.revisions[b.Source], v.floors[b.Source]) {
		v.recordGap(b.Source, b.Revision)
		v.revisions[b.Source] = max(v.revisions[b.Source], b.Revision)
		return false // the view is ahead of it, by a whole read if not by a change
	}
	if b.Tentative {
		v.tentativeUntil[b.Source] = v.now().Add(tentativePeriod)
	}
	changed, named := v.setAll(b, complete)
	r := b.Revision
	if b.Snapshot && !v.removeOthers(b, named) && !b.FromView && !b.Tentative {
		r = b.NewestRevision() // others lack nothing, and need not ask for it
	} else {
		changed = changed || b.Snapshot
	}
	changed = changed || r > v.revisions[b.Source]
	if complete {
		v.recordGap(b.Source, b.Revision)
	}
	v.revisions[b.Source] = max(v.revisions[b.Source], r)
	if changed {
		v.notifyChanged()
	}
	return changed
}

// Version rises with every change of the view.
func (v *View) Version() uint64 {
	v.mutex.RLock()
	defer v.mutex.RUnlock()
	return v.version
}

// dropTombstones forgets the oldest removals beyond maxTombstones.
func (v *View) dropTombstones() {
	for len(v.tombstones) > maxTombstones {
		if e, ok := v.resources[v.tombstones[0]]; ok && e.Deleted {
			delete(v.resources, v.tombstones[0])
		}
		v.tombstones = v.tombstones[1:]
	}
}

// live returns all resources of a source that stand.
func (v *View) live(s Source) []Change {
	var l []Change
	for k, e := range v.resources {
		if e.source != s {
			continue
		}
		if c := v.outgoing(k, &e); !c.Deleted {
			l = append(l, c)
		}
	}
	return l
}

// removeOthers removes what a whole batch does not name.
func (v *View) removeOthers(b *Batch, named map[string]bool) bool {
	changed := false
	for k, e := range v.resources {
		if e.source != b.Source || named[k] || e.Revision >= b.Revision {
			continue
		}
		if h, held := v.held[k]; e.Deleted && (!held || h.Revision >= b.Revision) {
			continue // else others hear that what waits is not there, either
		}
		e.Deleted, e.Revision, e.Tentative = true, b.Revision, b.Tentative
		changed = v.set(k, e) || changed
	}
	return changed
}

// replaces reports whether a change takes the place of the one before now, or has it wait.
func (v *View) replaces(k string, old, e *entry) bool {
	if old.Revision >= e.Revision {
		return false
	}
	e.Deleted = e.Deleted || (old.Deleted && isLapsed(e.Resource)) // what has lapsed at another box does not come back here
	if d := holdPeriod(old, e); d > 0 {
		v.hold(k, e, d)
		return false
	}
	return true
}

// set takes in one change, unless the view has a newer one.
func (v *View) set(k string, e entry) bool {
	old, ok := v.resources[k]
	if ok && !v.replaces(k, &old, &e) {
		return false
	}
	delete(v.held, k)
	e.tentativeUntil = time.Time{}
	if e.Tentative {
		e.tentativeUntil = v.now().Add(tentativePeriod)
	}
	v.resources[k] = e
	v.index.put(e.Change, e.source, v.now())
	if e.Deleted && !old.Deleted {
		v.tombstones = append(v.tombstones, k)
		v.dropTombstones()
	}
	return true
}

// setAll takes in the changes of a batch. It returns whether any was news, and the
// keys of the resources that the batch names.
func (v *View) setAll(b *Batch, complete bool) (changed bool, named map[string]bool) {
	named = make(map[string]bool, len(b.Changes))
	for _, c := range b.Changes {
		k := key(c.Resource.Kind, c.Resource.Metadata.Name)
		named[k] = true
		if c.Revision <= v.floors[b.Source] && !complete {
			continue // it is accounted for
		}
		e := entry{Change: c, source: b.Source}
		if b.Snapshot && !v.reconcile(k, &e, b) {
			continue
		}
		changed = v.set(k, e) || changed
	}
	return changed, named
}

// reconcile reports whether a whole batch tells something anew with one of its changes, which is
// then dated by the batch where its own revision is one that the view knows.
func (v *View) reconcile(k string, e *entry, b *Batch) bool {
	h, held := v.held[k]
	unchanged := v.matches(k, e)
	if unchanged && (!held || h.Revision >= b.Revision) {
		return false
	}
	if unchanged || e.Revision <= v.revisions[b.Source] {
		e.Revision, e.Redated = b.Revision, true // it was otherwise at the revision known here, and has changed since
		e.Tentative = e.Tentative || b.Tentative
	}
	return true
}

// notifyChanged makes the indices those of the resources as they stand and tells of the
// change; the lock is held.
func (v *View) notifyChanged() {
	v.index.rebuild()
	v.version++
	close(v.changed)
	v.changed = make(chan struct{})
}

// since returns the newest change of each resource of a source changed after r, as change
// returns it, in order of revision.
func (v *View) since(s Source, r int64, change func(k string, e *entry) Change) []Change {
	var l []Change
	for k, e := range v.resources {
		if e.source != s {
			continue
		}
		if c := change(k, &e); c.Revision > r {
			l = append(l, c)
		}
	}
	slices.SortFunc(l, func(a, b Change) int {
		return cmp.Or(cmp.Compare(a.Revision, b.Revision), strings.Compare(a.Resource.Metadata.Name, b.Resource.Metadata.Name))
	})
	return l
}

// matches reports whether a resource stands as e says.
func (v *View) matches(k string, e *entry) bool {
	old, ok := v.resources[k]
	return ok && !old.Deleted && !e.Deleted && old.source == e.source && bytes.Equal(old.Resource.Spec, e.Resource.Spec)
}

func key(k Kind, name string) string {
	return string(k) + "/" + name
}
