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

// entry is the newest known change of a resource.
type entry struct {
	Change
	source Source
	// tentativeUntil is the time until which the change is reported to other boxes as tentative,
	// since the store may have read it from a backup; zero if the change was not tentative.
	tentativeUntil time.Time
}

// View is one box's copy of all resources.
//
// The revision of each source only increases. A View is safe for concurrent use, and the values
// that it returns are never modified afterwards. Its mutex is the innermost lock of a box: no
// other lock may be taken while it is held.
type View struct {
	mutex       sync.RWMutex          // guards the fields below
	changed     chan struct{}         // closed on the next change
	floors      Revisions             // by source: changes up to this revision were part of a complete batch that was merged
	heldChanges map[string]heldChange // by kind and name: changes delayed because they may come from a backup of the store
	index       index
	logs        map[Source]*changeLog
	gaps        map[Source][]RevisionGap
	tombstones  []string // keys of removed resources, oldest first
	// tombstoneFloors is, by source, the newest revision of a tombstone that was dropped.
	tombstoneFloors map[Source]int64
	now             func() time.Time
	resources       map[string]entry // by kind and name; a removed resource stays as a tombstone
	revisions       Revisions
	// tentativeUntil is, by source, the time until which the absence of resources is reported to
	// other boxes as tentative.
	tentativeUntil  map[Source]time.Time
	upstreamChanges upstreamChanges
	version         uint64
}

// maxTombstones bounds the removals that are remembered. A late change of a resource whose
// tombstone was dropped could bring the resource back, but only if it is older than the last
// maxTombstones removals. A box that is behind a dropped one gets the whole source.
const maxTombstones = 4096

// NewView returns an empty view.
func NewView() *View {
	return &View{
		changed: make(chan struct{}), floors: make(Revisions), heldChanges: make(map[string]heldChange), index: newIndex(),
		gaps: make(map[Source][]RevisionGap), logs: make(map[Source]*changeLog), now: time.Now, resources: make(map[string]entry), revisions: make(Revisions),
		tentativeUntil: make(map[Source]time.Time), tombstoneFloors: make(map[Source]int64),
	}
}

// Apply merges changes that operators declared, up to revision r; see Merge.
func (v *View) Apply(changes []Change, r int64) bool {
	return v.Merge(&Batch{Changes: changes, Revision: r, Source: SourceResources})
}

// Changed returns a channel that is closed on the next change.
func (v *View) Changed() <-chan struct{} {
	v.mutex.RLock()
	defer v.mutex.RUnlock()
	return v.changed
}

// Get returns the resource of the given kind and name, or nil.
func (v *View) Get(k Kind, name string) *Resource {
	v.mutex.RLock()
	defer v.mutex.RUnlock()
	c, ok := v.resources[key(k, name)]
	if !ok || c.Deleted {
		return nil
	}
	return c.Resource
}

// List returns the resources of a kind, or of all kinds if it is empty, sorted by kind and name.
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

// Merge merges the changes of one source and advances the source to the batch's revision. It
// reports whether anything changed.
//
// Changes that are not newer than the known revision of their resource are ignored, and an older
// batch does not move the source's revision back. A resource that a snapshot repeats unchanged
// keeps the revision of its last change. A tentative change that may restore stale data from a
// backup of the store is delayed; see holdPeriod.
func (v *View) Merge(b *Batch) bool {
	v.mutex.Lock()
	defer v.mutex.Unlock()
	complete := b.Snapshot || b.FromView
	if complete && b.Revision < max(v.revisions[b.Source], v.floors[b.Source]) {
		v.recordGaps(b)
		v.revisions[b.Source] = max(v.revisions[b.Source], b.Revision)
		return false // the view already holds a newer change or snapshot
	}
	if b.Tentative {
		v.tentativeUntil[b.Source] = v.now().Add(tentativePeriod)
	}
	changed, named := v.setAll(b, complete)
	r := b.Revision
	if b.Snapshot && !v.removeOthers(b, named) && !b.FromView && !b.Tentative {
		// Nothing was removed, so other boxes need not fetch this revision. The newest change may be beyond it, up to
		// which alone the snapshot is complete.
		r = min(r, b.NewestRevision())
	} else {
		changed = changed || b.Snapshot
	}
	changed = changed || r > v.revisions[b.Source]
	if complete {
		v.recordGaps(b)
	}
	v.revisions[b.Source] = max(v.revisions[b.Source], r)
	if changed {
		v.notifyChanged()
	}
	return changed
}

// Missing returns, for every source, the changes after the given revisions of another box. It
// returns the whole source as a snapshot if the other box may hold resources that this view never
// saw, since the changes then lack their removals.
func (v *View) Missing(have Revisions) []Batch {
	v.mutex.RLock()
	defer v.mutex.RUnlock()
	var l []Batch
	for _, s := range slices.Sorted(maps.Keys(v.revisions)) {
		if v.revisions[s] <= have[s] {
			continue
		}
		b := Batch{Revision: v.revisions[s], FromView: true, Source: s, Tentative: v.now().Before(v.tentativeUntil[s]), Snapshot: v.lacksRemovals(s, have[s])}
		if b.Snapshot {
			b.Changes = v.liveChanges(s)
		} else {
			b.Changes, b.Gaps, b.GapsListed = v.since(s, have[s], v.outgoing), v.gapsAfter(s, have[s]), true
		}
		l = append(l, b)
	}
	return l
}

// RecordLeaving records that an upstream, whose process started at startedAtMS (Unix milliseconds),
// announced that it is leaving. It reports whether this is new information on a listed upstream.
//
// An announcement is final for that process. A later write of its list entry does not revoke it,
// because entries can arrive out of order. It is revoked only by an entry with a later start time
// under the same name, or by an operator who had declared the upstream leaving and withdraws that.
func (v *View) RecordLeaving(name string, startedAtMS int64) bool {
	v.mutex.Lock()
	defer v.mutex.Unlock()
	u := v.index.upstreams[name]
	changed := v.index.leaving.record(name, startedAtMS, u)
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

// Revision returns the current revision of the resources that operators declared.
func (v *View) Revision() int64 {
	v.mutex.RLock()
	defer v.mutex.RUnlock()
	return v.revisions[SourceResources]
}

// Revisions returns the current revisions of all sources.
func (v *View) Revisions() Revisions {
	v.mutex.RLock()
	defer v.mutex.RUnlock()
	return maps.Clone(v.revisions)
}

// Since returns the newest change, including removals, of every declared resource changed after
// revision r, ordered by revision, and the current revision.
func (v *View) Since(r int64) ([]Change, int64) {
	v.mutex.RLock()
	defer v.mutex.RUnlock()
	inForce := func(_ string, e *entry) Change { return e.Change }
	return v.since(SourceResources, r, inForce), v.revisions[SourceResources]
}

// SourceOf returns the source of a resource of the view.
func (v *View) SourceOf(r *Resource) Source {
	v.mutex.RLock()
	defer v.mutex.RUnlock()
	return v.resources[key(r.Kind, r.Metadata.Name)].source
}

// Version returns a number that increases with every change of the view.
func (v *View) Version() uint64 {
	v.mutex.RLock()
	defer v.mutex.RUnlock()
	return v.version
}

// dropTombstones removes the oldest tombstones beyond maxTombstones.
func (v *View) dropTombstones() {
	for len(v.tombstones) > maxTombstones {
		if e, ok := v.resources[v.tombstones[0]]; ok && e.Deleted {
			v.tombstoneFloors[e.source] = max(v.tombstoneFloors[e.source], e.Revision)
			delete(v.resources, v.tombstones[0])
		}
		v.tombstones = v.tombstones[1:]
	}
}

// liveChanges returns the resources of a source that are not deleted, as they are reported to other
// boxes.
func (v *View) liveChanges(s Source) []Change {
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

// logChange adds a stored change to the log of its source.
func (v *View) logChange(k string, e *entry) {
	l := v.logs[e.source]
	if l == nil {
		l = new(changeLog)
		v.logs[e.source] = l
	}
	l.add(k, e.Revision)
}

// matches reports whether the view holds the resource with the source and spec of e, not deleted.
func (v *View) matches(k string, e *entry) bool {
	old, ok := v.resources[k]
	return ok && !old.Deleted && !e.Deleted && old.source == e.source && bytes.Equal(old.Resource.Spec, e.Resource.Spec)
}

// notifyChanged rebuilds the derived indices and wakes the waiters of Changed. The caller holds
// the lock.
func (v *View) notifyChanged() {
	names, all := v.index.rebuild()
	v.version++
	if all {
		v.upstreamChanges.addAll(v.version)
	} else {
		v.upstreamChanges.add(names, v.version)
	}
	close(v.changed)
	v.changed = make(chan struct{})
}

// reconcile reports whether a change of a snapshot differs from what the view holds and has to be
// stored. If it differs although its revision is already known, or a held change has to be
// replaced by the unchanged resource, the change gets the revision of the snapshot.
func (v *View) reconcile(k string, e *entry, b *Batch) bool {
	h, held := v.heldChanges[k]
	unchanged := v.matches(k, e)
	if unchanged && (!held || h.Revision >= b.Revision) {
		return false
	}
	if unchanged || e.Revision <= v.revisions[b.Source] {
		e.Revision, e.HasSnapshotRevision = b.Revision, true // the content changed without a revision newer than the known one
		e.Tentative = e.Tentative || b.Tentative
	}
	return true
}

// removeOthers marks the resources of the source that a snapshot does not contain as deleted. It
// reports whether anything changed.
func (v *View) removeOthers(b *Batch, present map[string]bool) bool {
	changed := false
	for k, e := range v.resources {
		if e.source != b.Source || present[k] || e.Revision >= b.Revision {
			continue
		}
		if h, held := v.heldChanges[k]; e.Deleted && (!held || h.Revision >= b.Revision) {
			continue // a held change older than the snapshot must be replaced, so that other boxes learn of its absence, too
		}
		e.Deleted, e.Revision, e.Tentative = true, b.Revision, b.Tentative
		changed = v.set(k, e) || changed
	}
	return changed
}

// replaces reports whether a change replaces the current one now. A change that has to wait is
// held.
func (v *View) replaces(k string, old, e *entry) bool {
	if old.Revision >= e.Revision {
		return false
	}
	e.Deleted = e.Deleted || (old.Deleted && isLapsed(e.Resource)) // a lapsed entry of another box must not bring back an upstream that was removed here
	if d := holdPeriod(old, e); d > 0 {
		v.hold(k, e, d)
		return false
	}
	return true
}

// set stores a change unless the view has a newer one, and reports whether it did.
func (v *View) set(k string, e entry) bool {
	old, ok := v.resources[k]
	if ok && !v.replaces(k, &old, &e) {
		return false
	}
	delete(v.heldChanges, k)
	e.tentativeUntil = time.Time{}
	if e.Tentative {
		e.tentativeUntil = v.now().Add(tentativePeriod)
	}
	v.resources[k] = e
	v.logChange(k, &e)
	v.index.put(e.Change, e.source, v.now())
	if e.Deleted && !old.Deleted {
		v.tombstones = append(v.tombstones, k)
		v.dropTombstones()
	}
	return true
}

// setAll stores the changes of a batch. It returns whether any was new, and the keys of the
// resources that the batch contains.
func (v *View) setAll(b *Batch, complete bool) (changed bool, present map[string]bool) {
	present = make(map[string]bool, len(b.Changes))
	for _, c := range b.Changes {
		k := key(c.Resource.Kind, c.Resource.Metadata.Name)
		present[k] = true
		if c.Revision <= v.floors[b.Source] && !complete {
			continue // covered by an earlier complete batch
		}
		e := entry{Change: c, source: b.Source}
		if b.Snapshot && !v.reconcile(k, &e, b) {
			continue
		}
		changed = v.set(k, e) || changed
	}
	return changed, present
}

// since returns the newest change of each resource of a source changed after revision r, ordered
// by revision. The function change returns the change to report for an entry.
func (v *View) since(s Source, r int64, change func(k string, e *entry) Change) []Change {
	var l []Change
	for k, e := range v.candidatesSince(s, r) {
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

// candidatesSince returns all resources of a source that were changed after revision r, and maybe
// others.
func (v *View) candidatesSince(s Source, r int64) map[string]entry {
	g := v.logs[s]
	if g == nil {
		return nil // the source has had no change
	}
	keys, ok := g.after(r)
	if !ok {
		return v.resources
	}
	m := make(map[string]entry, len(keys))
	for _, k := range keys {
		if e, ok := v.resources[k]; ok {
			m[k] = e
		}
	}
	for k, h := range v.heldChanges {
		if h.source == s {
			m[k] = v.resources[k]
		}
	}
	return m
}

func key(k Kind, name string) string {
	return string(k) + "/" + name
}
