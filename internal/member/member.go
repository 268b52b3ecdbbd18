// Package member keeps what a box believes of the other boxes, from the
// platform's list, which lags, and from direct evidence, which goes before it.
package member

import (
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/linetiller/linetiller/internal/box"
	"github.com/linetiller/linetiller/internal/policy"
)

// Table holds the boxes. It is safe for concurrent use; its lock is a leaf.
type Table struct {
	mutex             sync.Mutex
	alive             map[string][]string // what Alive answers, by hall; emptied when it may change
	boxes             map[string]*entry
	failuresClearedAt time.Time // when failures were last forgotten
	self              box.Member
	version           uint64 // rises whenever what Alive answers may have changed
	changed           chan struct{}
}

type entry struct {
	failedAt         time.Time // of the last call that failed, zero after one that went well
	heardAt          time.Time
	unreachableSince time.Time // since when no call has gone well, zero after one that did
	listed           bool
	member           box.Member
}

const (
	// unlistedTTL is how long a box that the list does not name is kept after
	// it was last heard.
	unlistedTTL = 15 * time.Second
	// failureTTL is how long a failed call counts against a box that is still
	// listed; the next call that fails renews it.
	failureTTL = 30 * time.Second
	// goneAfter is how long a box that nobody reaches stays listed.
	goneAfter = 2 * time.Minute
	// crossHallSenders is how many boxes of a hall send heartbeats to the other halls.
	crossHallSenders = 2
	// heartbeatNeighbours is how many boxes of its hall each box sends heartbeats to.
	heartbeatNeighbours = 4
	// retryFailedAfter is when a box that failed is tried again. One that starts anew
	// without the store has the configuration from whoever calls it first.
	retryFailedAfter = 1500 * time.Millisecond
)

// NewTable returns a table that knows only the box itself.
func NewTable(self box.Member) *Table {
	return &Table{alive: make(map[string][]string), boxes: make(map[string]*entry), self: self, changed: make(chan struct{})}
}

// Address returns the address of a box, or "".
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

// Alive returns the names of the boxes of a hall that are believed to serve, in
// order; "" means all halls. The box itself is among them unless it leaves.
// Callers must not change the list.
func (t *Table) Alive(hall string) []string {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	l, ok := t.alive[hall]
	if !ok {
		l = t.computeAlive(hall)
		t.alive[hall] = l
	}
	return l
}

// Changed returns a channel that is closed at the next change of Alive.
func (t *Table) Changed() <-chan struct{} {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	return t.changed
}

// Count returns how many boxes are known, this one included.
func (t *Table) Count() int {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	return 1 + len(t.boxes)
}

// Expire drops what is neither listed nor heard of lately, and gives boxes that
// failed long ago another try.
func (t *Table) Expire(now time.Time) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	for n, e := range t.boxes {
		if !e.listed && now.Sub(e.heardAt) > unlistedTTL {
			delete(t.boxes, n)
			t.notifyChange()
			continue
		}
		if !e.failedAt.IsZero() && now.Sub(e.failedAt) > failureTTL {
			e.failedAt = time.Time{}
			t.notifyChange()
		}
	}
}

// RecordFailure says that a call to a box failed that began at a time. It reports whether
// the box was believed to serve until now. What was heard or reconsidered since the
// call began goes before it.
func (t *Table) RecordFailure(name string, startedAt, now time.Time) bool {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	e := t.boxes[name]
	if e == nil || e.heardAt.After(startedAt) || t.failuresClearedAt.After(startedAt) {
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

// Gone returns the names of boxes that are listed and have not been reached for
// long.
func (t *Table) Gone(now time.Time) []string {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	var l []string
	for n, e := range t.boxes {
		if e.listed && !e.unreachableSince.IsZero() && now.Sub(e.unreachableSince) > goneAfter {
			l = append(l, n)
		}
	}
	return l
}

// Halls returns the names of the halls that boxes are known in, in order.
func (t *Table) Halls() []string {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	m := map[string]bool{t.self.Hall: true}
	for _, e := range t.boxes {
		m[e.member.Hall] = true
	}
	return slices.Sorted(maps.Keys(m))
}

// RecordContact says that a box was heard. It reports whether it was believed gone.
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
		t.notifyChange()
	}
	recovered := !e.failedAt.IsZero()
	if recovered || e.member != m {
		t.notifyChange()
	}
	e.failedAt, e.unreachableSince = time.Time{}, time.Time{}
	e.heardAt = now
	e.member = m
	return recovered
}

// SetLeaving makes the box itself one that leaves.
func (t *Table) SetLeaving() {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	t.self.State = box.StateLeaving
	t.notifyChange()
}

// MarkLeaving says that a box told that it is leaving.
func (t *Table) MarkLeaving(name string) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	if e := t.boxes[name]; e != nil && e.member.State != box.StateLeaving {
		e.member.State = box.StateLeaving
		t.notifyChange()
	}
}

// ApplyList takes in the platform's list. It lags: a box that was heard or that
// failed more recently is believed by that evidence.
func (t *Table) ApplyList(l []box.Member, now time.Time) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	seen := make(map[string]bool, len(l))
	for _, m := range l {
		if m.Name == t.self.Name {
			continue
		}
		seen[m.Name] = true
		t.applyListed(m, now)
	}
	for n, e := range t.boxes {
		e.listed = seen[n]
	}
}

// Members returns every box known, the box itself first.
func (t *Table) Members() []box.Member {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	l := []box.Member{t.self}
	for _, n := range slices.Sorted(maps.Keys(t.boxes)) {
		l = append(l, t.boxes[n].member)
	}
	return l
}

// Neighbours returns the boxes to which heartbeats go: those that a rendezvous
// with the box's own name ranks first in its hall and, from a few boxes of each
// hall, one in each other hall.
// Boxes that failed a moment ago are left out until they are due another try.
func (t *Table) Neighbours(now time.Time) []box.Member {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	halls := make(map[string][]string)
	for n, e := range t.boxes {
		if now.Sub(e.failedAt) >= retryFailedAfter {
			halls[e.member.Hall] = append(halls[e.member.Hall], n)
		}
	}
	var l []box.Member
	perOtherHall := t.neighboursPerOtherHall(halls[t.self.Hall])
	for _, h := range slices.Sorted(maps.Keys(halls)) {
		n := heartbeatNeighbours
		if h != t.self.Hall {
			n = perOtherHall
		}
		r := policy.Rank(t.self.Name, halls[h])
		for _, x := range r[:min(n, len(r))] {
			l = append(l, t.boxes[x].member)
		}
	}
	return l
}

// ClearFailures forgets all failures: the box itself was paused, and it was not
// the others that did not answer.
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

// Self returns the box itself.
func (t *Table) Self() box.Member {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	return t.self
}

// SetAddress sets the address at which the box itself listens.
func (t *Table) SetAddress(a string) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	t.self.Address = a
}

// Version rises whenever what Alive answers may have changed.
func (t *Table) Version() uint64 {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	return t.version
}

func (t *Table) notifyChange() {
	t.version++
	clear(t.alive)
	close(t.changed)
	t.changed = make(chan struct{})
}

// neighboursPerOtherHall returns to how many boxes of each other hall this box sends heartbeats,
// 1 or 0, where others are the boxes of its hall beside it.
func (t *Table) neighboursPerOtherHall(hallBoxes []string) int {
	l := policy.Rank("link", append(slices.Clone(hallBoxes), t.self.Name))
	if slices.Contains(l[:min(crossHallSenders, len(l))], t.self.Name) {
		return 1
	}
	return 0
}

// computeAlive makes the list that Alive returns; the lock is held.
func (t *Table) computeAlive(hall string) []string {
	var l []string
	if (hall == "" || hall == t.self.Hall) && t.self.State != box.StateLeaving {
		l = append(l, t.self.Name)
	}
	for n, e := range t.boxes {
		if e.serving() && (hall == "" || e.member.Hall == hall) {
			l = append(l, n)
		}
	}
	slices.Sort(l)
	return l
}

func (t *Table) applyListed(m box.Member, now time.Time) {
	e := t.boxes[m.Name]
	if e == nil {
		t.boxes[m.Name] = &entry{listed: true, member: m}
		t.notifyChange()
		return
	}
	recent := now.Sub(e.heardAt) < unlistedTTL
	if m.State == box.StateLeaving && e.member.State != box.StateLeaving {
		e.member.State = m.State
		t.notifyChange()
	}
	if !recent && e.member != m {
		e.member = m
		t.notifyChange()
	}
}

func (e *entry) serving() bool {
	return e.failedAt.IsZero() && e.member.State != box.StateLeaving
}
