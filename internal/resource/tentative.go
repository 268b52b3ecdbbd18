package resource

import (
	"time"

	"github.com/linetiller/linetiller/internal/revision"
)

// A store that comes back from a copy tells its rows as they were some seconds before, under
// a later era, until those that wrote them have written again. Which rows are of the copy it
// does not tell. So what is read from it as a whole in that time is tentative: a change that
// would take a resource back waits, until the store tells otherwise or the time is over in
// which it is written again.

const (
	// declaredHoldPeriod is how long what operators declared waits: boxes write it again themselves,
	// and need no longer than the store takes to take writes.
	declaredHoldPeriod = 10 * time.Minute
	// returnHoldPeriod is how long the return of an upstream waits that had gone: the entry of one
	// which does not live lapses after three heartbeats, 3.6 s.
	returnHoldPeriod = 6 * time.Second
	// defaultHoldPeriod is how long all else waits, but for upstreams that are gone; see LapseGracePeriod.
	defaultHoldPeriod = 3 * time.Second
	// tentativePeriod is how long what was tentative as it came is passed on so: as long as
	// anything waits that others may know better.
	tentativePeriod = returnHoldPeriod
)

// heldChange is a change that waits.
type heldChange struct {
	entry
	due time.Time // when it is taken in, unless something newer has come
}

// CountHeld returns how many changes of a source wait, since the store may have told them from a
// copy.
func (v *View) CountHeld(s Source) int {
	v.mutex.RLock()
	defer v.mutex.RUnlock()
	n := 0
	for _, h := range v.held {
		if h.source == s {
			n++
		}
	}
	return n
}

// IsHeld reports whether a change of a resource waits.
func (v *View) IsHeld(k Kind, name string) bool {
	v.mutex.RLock()
	defer v.mutex.RUnlock()
	_, ok := v.held[key(k, name)]
	return ok
}

// PossiblyLost returns the resources of a source that the store may have lost since it came back from
// a copy, as they are in force.
func (v *View) PossiblyLost(s Source) []Change {
	v.mutex.RLock()
	defer v.mutex.RUnlock()
	var l []Change
	for k, h := range v.held {
		if h.source == s {
			l = append(l, v.resources[k].Change)
		}
	}
	return l
}

// hold has a change wait; the lock is held. Of one era it waits from when the first one came;
// each further copy from which the store comes back is one that may be old.
func (v *View) hold(k string, e *entry, d time.Duration) {
	h, held := v.held[k]
	if held && h.Revision >= e.Revision {
		return
	}
	if !held || revision.Era(h.Revision) < revision.Era(e.Revision) {
		h.due = v.now().Add(d)
		time.AfterFunc(d, v.releaseHeld)
	}
	h.entry = *e
	v.held[k] = h
}

// releaseHeld takes in the changes that have waited long enough.
func (v *View) releaseHeld() {
	v.mutex.Lock()
	defer v.mutex.Unlock()
	changed := false
	for k, h := range v.held {
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

// outgoing returns the change of a resource as it is passed on: the one that waits, where there
// is one; the lock is held.
func (v *View) outgoing(k string, e *entry) Change {
	if h, ok := v.held[k]; ok {
		return h.Change
	}
	c := e.Change
	c.Tentative = !e.tentativeUntil.IsZero() && v.now().Before(e.tentativeUntil)
	return c
}

// holdPeriod returns for how long a change waits that is to replace old: 0 where it does not.
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

// mayBeStale reports whether a change may be of before old. A lower version under a later era is
// either of the copy, or was given out again.
func mayBeStale(old, e *entry) bool {
	if e.Deleted {
		return !old.Deleted
	}
	if revision.Version(e.Revision) >= revision.Version(old.Revision) && !e.Redated {
		return false
	}
	return e.source != SourceUpstreams || !provesNewer(old, e)
}

// provesNewer reports whether an upstream's entry tells what cannot be of before another one.
func provesNewer(old, e *entry) bool {
	x, err := Decode[UpstreamSpec](e.Resource)
	if err != nil {
		return false
	}
	before, err := Decode[UpstreamSpec](old.Resource)
	return err == nil && (x.Born > before.Born || (x.Leaving && !old.Deleted))
}
