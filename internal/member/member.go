// Package member tracks the membership and liveness of boxes as seen by one box. It combines the
// platform's list of boxes, which lags, with direct contacts and failures, which take precedence.
package member

import (
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/linetiller/linetiller/internal/box"
)

// Table holds the known boxes. It is safe for concurrent use and takes no other lock while it holds
// its own.
type Table struct {
	mutex             sync.Mutex
	active            map[string][]string // cached results of Active, by hall; cleared by notifyChange
	alive             map[string][]string // cached results of Alive, by hall; cleared by notifyChange
	boxes             map[string]*entry   // the other boxes, by name
	halls             []string            // cached result of Halls; nil after notifyChange
	failuresClearedAt time.Time           // last call of ClearFailures
	leavingSince      time.Time           // when SetLeaving was called; zero before
	lost              []string            // boxes that the platform lists as lost
	lostCount         int                 // number of lost boxes that are not among boxes
	ranks             *ranks              // cached order of all boxes for Neighbours; nil if it is outdated
	self              box.Member
	version           uint64        // see Version
	changed           chan struct{} // see Changed
}

// entry is what is known of another box.
type entry struct {
	failedAt         time.Time // last failed call; zero after a contact, and once it expired or was cleared
	lastContactAt    time.Time // last contact; zero if there was none
	leavingSince     time.Time // when the box was first known to be leaving; zero if it has served since
	unreachableSince time.Time // first failed call since the last contact; zero if there is none
	listed           bool      // whether the platform lists the box
	member           box.Member
}

const (
	// unlistedTTL is how long a box that the platform does not list is kept after the last contact.
	// For the same time, what the box reported about itself takes precedence over the list.
	unlistedTTL = 15 * time.Second
	// failureTTL is how long a failed call counts against a box. Each further failure restarts
	// the period.
	failureTTL = 30 * time.Second
	// longUnreachableAfter is how long a listed box must be unreachable before
	// LongUnreachable returns it.
	longUnreachableAfter = 2 * time.Minute
	// crossHallSenders is how many boxes of each hall send heartbeats to the other halls.
	crossHallSenders = 2
	// heartbeatNeighbours is how many boxes of its hall each box sends heartbeats to.
	heartbeatNeighbours = 4
	// retryFailedAfter is how long after a failure heartbeats to a box resume. It is short because
	// a box that restarts while the store is down gets the configuration from the first box that
	// calls it.
	retryFailedAfter = 1500 * time.Millisecond
)

// NewTable returns a table that contains only the given box, to which it belongs.
func NewTable(self box.Member) *Table {
	return &Table{active: make(map[string][]string), alive: make(map[string][]string), boxes: make(map[string]*entry), self: self, changed: make(chan struct{})}
}

// Active returns the sorted names of the boxes of a hall that work for the others, such as the owners
// of upstreams: those that Alive returns or, if there are none, those that are leaving and were not
// found unreachable. Callers must not modify the result.
func (t *Table) Active(hall string) []string {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	l, ok := t.active[hall]
	if !ok {
		if l = t.namesIn(hall, false); len(l) == 0 {
			l = t.namesIn(hall, true)
		}
		t.active[hall] = l
	}
	return l
}

// Address returns the address of a box, or "" if the box is unknown.
func (t *Table) Address(name string) string {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	if name == t.self.Name {
		return t.self.Address
	}
	if e := t.boxes[name]; e != nil {
		return e.member.Address
	}
	return ""
}

// Alive returns the sorted names of the boxes of a hall that are believed to be serving; "" stands
// for all halls. The box itself is included unless it is leaving. Callers must not modify the
// result.
func (t *Table) Alive(hall string) []string {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	l, ok := t.alive[hall]
	if !ok {
		l = t.namesIn(hall, false)
		t.alive[hall] = l
	}
	return l
}

// ApplyList updates the table from the platform's list of boxes. The list lags, so it overrides
// neither recent contacts nor failures. Boxes listed as lost are not added to the known boxes.
func (t *Table) ApplyList(l []box.Member, now time.Time) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	seen := make(map[string]bool, len(l))
	t.lost = nil
	for _, m := range l {
		switch {
		case m.Name == t.self.Name:
		case m.State == box.StateLost:
			t.lost = append(t.lost, m.Name)
		default:
			seen[m.Name] = true
			t.applyListed(m, now)
		}
	}
	for n, e := range t.boxes {
		e.listed = seen[n]
	}
	t.countLost()
}

// Changed returns a channel that is closed the next time that the results of Alive may have changed.
func (t *Table) Changed() <-chan struct{} {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	return t.changed
}

// ClearFailures discards all failures. It is called after this box itself was paused, which made
// calls to other boxes fail.
func (t *Table) ClearFailures(now time.Time) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	t.failuresClearedAt = now
	for _, e := range t.boxes {
		if !e.failedAt.IsZero() {
			e.failedAt = time.Time{}
			t.notifyChange()
		}
	}
}

// Count returns the number of known boxes, including this one.
func (t *Table) Count() int {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	return 1 + len(t.boxes)
}

// Expire removes boxes that are not listed and had no recent contact. Boxes whose last failure is
// older than failureTTL count as serving again.
func (t *Table) Expire(now time.Time) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	for n, e := range t.boxes {
		if !e.listed && now.Sub(e.lastContactAt) > unlistedTTL {
			delete(t.boxes, n)
			t.ranks = nil
			t.notifyChange()
			continue
		}
		if !e.failedAt.IsZero() && now.Sub(e.failedAt) > failureTTL {
			e.failedAt = time.Time{}
			t.notifyChange()
		}
	}
	t.countLost()
}

// FirstLeavingSince returns the earliest time after the given one at which a box, including this one,
// became known to be leaving, or the zero time if there is none.
func (t *Table) FirstLeavingSince(after time.Time) time.Time {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	var first time.Time
	add := func(s time.Time) {
		if s.After(after) && (first.IsZero() || s.Before(first)) {
			first = s
		}
	}
	add(t.leavingSince)
	for _, e := range t.boxes {
		add(e.leavingSince)
	}
	return first
}

// Halls returns the sorted names of the halls of all known boxes. Callers must not modify the result.
func (t *Table) Halls() []string {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	if t.halls != nil {
		return t.halls
	}
	m := map[string]bool{t.self.Hall: true}
	for _, e := range t.boxes {
		m[e.member.Hall] = true
	}
	t.halls = slices.Sorted(maps.Keys(m))
	return t.halls
}

// LongUnreachable returns the listed boxes that have been unreachable for more than
// longUnreachableAfter. Those that announced that they were leaving are in StateLeaving, whatever the
// list says.
func (t *Table) LongUnreachable(now time.Time) []box.Member {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	var l []box.Member
	for _, e := range t.boxes {
		if e.listed && !e.unreachableSince.IsZero() && now.Sub(e.unreachableSince) > longUnreachableAfter {
			m := e.member
			if !e.leavingSince.IsZero() {
				m.State = box.StateLeaving
			}
			l = append(l, m)
		}
	}
	return l
}

// MarkLeaving records that another box announced that it is leaving.
func (t *Table) MarkLeaving(name string, now time.Time) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	if e := t.boxes[name]; e != nil && e.member.State != box.StateLeaving {
		e.member.State = box.StateLeaving
		e.recordState(box.StateLeaving, now)
		t.notifyChange()
	}
}

// Members returns all known boxes: this box first, then the others sorted by name.
func (t *Table) Members() []box.Member {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	l := []box.Member{t.self}
	for _, n := range slices.Sorted(maps.Keys(t.boxes)) {
		l = append(l, t.boxes[n].member)
	}
	return l
}

// Neighbours returns the boxes to which this box sends heartbeats. They are the boxes of its hall
// that rank first by rendezvous hashing with its own name and, for crossHallSenders boxes of each
// hall, one box in each other hall. Boxes that failed less than retryFailedAfter ago are left out.
func (t *Table) Neighbours(now time.Time) []box.Member {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	if t.ranks == nil {
		t.ranks = newRanks(t.self, t.boxes)
	}
	usable := func(n string) bool { return n == t.self.Name || now.Sub(t.boxes[n].failedAt) >= retryFailedAfter }
	perOtherHall := 0
	if slices.Contains(firstUsable(t.ranks.links, crossHallSenders, usable), t.self.Name) {
		perOtherHall = 1
	}
	var l []box.Member
	for _, h := range t.ranks.halls {
		n := heartbeatNeighbours
		if h != t.self.Hall {
			n = perOtherHall
		}
		for _, x := range firstUsable(t.ranks.byHall[h], n, usable) {
			l = append(l, t.boxes[x].member)
		}
	}
	return l
}

// PossiblyServing returns the number of boxes that may be serving, including this one: the known ones
// and lost ones, which may be cut off.
func (t *Table) PossiblyServing() int {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	return 1 + len(t.boxes) + t.lostCount
}

// RecordContact records that a box is alive: it called this box, answered a call, or was named by a
// box that this one contacted on joining. It reports whether the box counted as failed until now.
func (t *Table) RecordContact(m box.Member, now time.Time) bool {
	if m.Name == t.self.Name || m.Name == "" {
		return false
	}
	t.mutex.Lock()
	defer t.mutex.Unlock()
	e := t.boxes[m.Name]
	if e == nil {
		e = new(entry)
		t.boxes[m.Name] = e
		t.ranks = nil
		t.notifyChange()
	}
	recovered := !e.failedAt.IsZero()
	if recovered || e.member != m {
		t.notifyChange()
	}
	e.failedAt, e.unreachableSince = time.Time{}, time.Time{}
	e.lastContactAt = now
	e.recordState(m.State, now)
	t.setMember(e, m)
	return recovered
}

// RecordFailure records that a call to a box, which started at startedAt, failed. It reports whether
// the box did not count as failed until now. The failure is ignored if since the start of the call
// the box was in contact or failures were cleared.
func (t *Table) RecordFailure(name string, startedAt, now time.Time) bool {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	e := t.boxes[name]
	if e == nil || e.lastContactAt.After(startedAt) || t.failuresClearedAt.After(startedAt) {
		return false
	}
	wasServing := e.failedAt.IsZero()
	e.failedAt = now
	if e.unreachableSince.IsZero() {
		e.unreachableSince = now
	}
	if wasServing {
		t.notifyChange()
	}
	return wasServing
}

// Self returns the box that the table belongs to.
func (t *Table) Self() box.Member {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	return t.self
}

// SetAddress sets the address on which this box listens.
func (t *Table) SetAddress(a string) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	t.self.Address = a
}

// SetLeaving marks this box as leaving.
func (t *Table) SetLeaving(now time.Time) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	t.leavingSince, t.self.State = now, box.StateLeaving
	t.notifyChange()
}

// Version returns a number that increases whenever the results of Alive may have changed.
func (t *Table) Version() uint64 {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	return t.version
}

// applyListed applies the platform's entry of another box. The caller holds the lock.
func (t *Table) applyListed(m box.Member, now time.Time) {
	e := t.boxes[m.Name]
	if e == nil {
		t.boxes[m.Name] = &entry{listed: true, member: m}
		t.ranks = nil
		t.notifyChange()
		return
	}
	recent := now.Sub(e.lastContactAt) < unlistedTTL
	if m.State == box.StateLeaving && e.member.State != box.StateLeaving {
		e.member.State = m.State
		t.notifyChange()
	}
	if !recent && e.member != m {
		t.setMember(e, m)
		t.notifyChange()
	}
}

// countLost counts the lost boxes that are not known otherwise. The caller holds the lock.
func (t *Table) countLost() {
	t.lostCount = 0
	for _, n := range t.lost {
		if t.boxes[n] == nil {
			t.lostCount++
		}
	}
}

// namesIn returns the sorted names of the boxes of a hall, or of all halls if it is empty, that were not
// found unreachable and are leaving, or are not. The caller holds the lock.
func (t *Table) namesIn(hall string, leaving bool) []string {
	matches := func(m *box.Member) bool {
		return (hall == "" || m.Hall == hall) && (m.State == box.StateLeaving) == leaving
	}
	var l []string
	if matches(&t.self) {
		l = append(l, t.self.Name)
	}
	for n, e := range t.boxes {
		if e.failedAt.IsZero() && matches(&e.member) {
			l = append(l, n)
		}
	}
	slices.Sort(l)
	return l
}

// notifyChange invalidates the cached results of Active and Alive, increases the version and closes
// the channel that Changed returned. The caller holds the lock.
func (t *Table) notifyChange() {
	t.version++
	clear(t.active)
	clear(t.alive)
	t.halls = nil
	close(t.changed)
	t.changed = make(chan struct{})
}

// setMember sets what is known of a box. The caller holds the lock.
func (t *Table) setMember(e *entry, m box.Member) {
	if e.member.Hall != m.Hall {
		t.ranks = nil
	}
	e.member = m
}

// recordState records the state that the box announced.
func (e *entry) recordState(s box.State, now time.Time) {
	switch {
	case s != box.StateLeaving:
		e.leavingSince = time.Time{}
	case e.leavingSince.IsZero():
		e.leavingSince = now
	}
}
