package resource

import (
	"time"

	"github.com/linetiller/linetiller/internal/revision"
)

// A store that was restored from a backup serves its rows as they were some seconds earlier,
// under a new era, until their writers have written them again. It does not say which rows
// come from the backup. Snapshots read in that time are therefore tentative: a change that
// would revert a resource is held until the store reports something newer, or until the
// period has passed in which the writers write their rows again.

const (
	// declaredHoldPeriod applies to resources that operators declared. Boxes write these again
	// themselves, as soon as the store accepts writes.
	declaredHoldPeriod = 10 * time.Minute
	// returnHoldPeriod applies to upstreams that return after having been removed: the entry of
	// one that ended lapses after three missed heartbeats, 3.6 s.
	returnHoldPeriod = 6 * time.Second
	// defaultHoldPeriod applies to all other changes except the removal of upstreams, for which it
	// is LapseGracePeriod.
	defaultHoldPeriod = 3 * time.Second
	// tentativePeriod is how long a tentative change is reported to other boxes as tentative: as
	// long as any change is held for which another box may have newer data.
	tentativePeriod = returnHoldPeriod
)

// heldChange is a delayed change.
type heldChange struct {
	entry
	due time.Time // when it is applied, unless a newer change arrives first
}

// CountHeld returns how many changes of a source are held because they may come from a backup of
// the store.
func (v *View) CountHeld(s Source) int {
	v.mutex.RLock()
	defer v.mutex.RUnlock()
	n := 0
	for _, h := range v.heldChanges {
		if h.source == s {
			n++
		}
	}
	return n
}

// IsHeld reports whether a change of a resource is held.
func (v *View) IsHeld(k Kind, name string) bool {
	v.mutex.RLock()
	defer v.mutex.RUnlock()
	_, ok := v.heldChanges[key(k, name)]
	return ok
}

// PossiblyLost returns the current version of the resources of a source that the store may have
// lost when it was restored from a backup.
func (v *View) PossiblyLost(s Source) []Change {
	v.mutex.RLock()
	defer v.mutex.RUnlock()
	var l []Change
	for k, h := range v.heldChanges {
		if h.source == s {
			l = append(l, v.resources[k].Change)
		}
	}
	return l
}

// hold delays a change. The caller holds the lock. The period starts with the first held change of
// a resource, and again with each later era, since each restore may bring back stale data.
func (v *View) hold(k string, e *entry, d time.Duration) {
	h, held := v.heldChanges[k]
	if held && h.Revision >= e.Revision {
		return
	}
	if !held || revision.Era(h.Revision) < revision.Era(e.Revision) {
		h.due = v.now().Add(d)
		time.AfterFunc(d, v.releaseHeld)
	}
	h.entry = *e
	v.heldChanges[k] = h
}

// outgoing returns the change of a resource as it is reported to other boxes: the held one, if
// any. The caller holds the lock.
func (v *View) outgoing(k string, e *entry) Change {
	if h, ok := v.heldChanges[k]; ok {
		return h.Change
	}
	c := e.Change
	c.Tentative = !e.tentativeUntil.IsZero() && v.now().Before(e.tentativeUntil)
	return c
}

// releaseHeld applies the held changes that are due.
func (v *View) releaseHeld() {
	v.mutex.Lock()
	defer v.mutex.Unlock()
	changed := false
	for k, h := range v.heldChanges {
		if v.now().Before(h.due) {
			continue
		}
		h.Tentative = false
		changed = v.set(k, h.entry) || changed
	}
	if changed {
		v.notifyChanged()
	}
}

// holdPeriod returns for how long a change that would replace old is held, or 0 if it is applied
// at once.
func holdPeriod(old, e *entry) time.Duration {
	if !e.Tentative || revision.Era(old.Revision) >= revision.Era(e.Revision) || !mayBeStale(old, e) {
		return 0
	}
	switch {
	case e.source == SourceResources:
		return declaredHoldPeriod
	case e.Resource.Kind != KindUpstream:
		return defaultHoldPeriod
	case e.Deleted:
		return LapseGracePeriod
	}
	return returnHoldPeriod
}

// mayBeStale reports whether a change may be older than old. A lower version under a later era
// either comes from the backup, or is a version number assigned a second time.
func mayBeStale(old, e *entry) bool {
	if e.Deleted {
		return !old.Deleted
	}
	if revision.Version(e.Revision) >= revision.Version(old.Revision) && !e.HasSnapshotRevision {
		return false
	}
	return e.source != SourceUpstreams || !provesNewer(old, e)
}

// provesNewer reports whether the content of an upstream's entry proves that it is newer than the
// old one.
func provesNewer(old, e *entry) bool {
	x, err := Decode[UpstreamSpec](e.Resource)
	if err != nil {
		return false
	}
	before, err := Decode[UpstreamSpec](old.Resource)
	return err == nil && (x.StartedAtMS > before.StartedAtMS || (x.Leaving && !old.Deleted))
}
