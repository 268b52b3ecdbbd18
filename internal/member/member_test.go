package member

import (
	"fmt"
	"maps"
	"slices"
	"testing"
	"time"

	"github.com/linetiller/linetiller/internal/box"
)

var now = time.Unix(1000, 0)

func member(name, hall string, s box.State) box.Member {
	return box.Member{Address: name + ":1", Hall: hall, Name: name, State: s}
}

func newTable() *Table {
	t := NewTable(member("self", "a", box.StateServing))
	t.ApplyList([]box.Member{member("b1", "a", box.StateServing), member("b2", "a", box.StateServing), member("c1", "c", box.StateServing)}, now)
	return t
}

func checkAlive(t *testing.T, b *Table, hall string, want ...string) {
	t.Helper()
	if got := b.Alive(hall); !slices.Equal(got, want) {
		t.Errorf("alive in %q: got %v, want %v", hall, got, want)
	}
}

func TestAliveByHall(t *testing.T) {
	b := newTable()
	checkAlive(t, b, "a", "b1", "b2", "self")
	checkAlive(t, b, "c", "c1")
	checkAlive(t, b, "", "b1", "b2", "c1", "self")
}

// TestEvidenceGoesBeforeTheList checks that a lagging list from the platform overrides neither a
// failure nor a recent contact.
func TestEvidenceGoesBeforeTheList(t *testing.T) {
	b := newTable()
	b.RecordFailure("b1", now, now)
	b.ApplyList([]box.Member{member("b1", "a", box.StateServing), member("b2", "a", box.StateServing)}, now.Add(time.Second))
	checkAlive(t, b, "a", "b2", "self")
	b.RecordContact(member("b3", "a", box.StateServing), now)
	b.ApplyList(nil, now.Add(time.Second))
	b.Expire(now.Add(2 * time.Second))
	checkAlive(t, b, "a", "b3", "self")
	b.Expire(now.Add(time.Minute))
	checkAlive(t, b, "a", "self")
}

func TestFailedBoxIsTriedAgain(t *testing.T) {
	b := newTable()
	if !b.RecordFailure("b1", now, now) || b.RecordFailure("b1", now, now) {
		t.Error("two failures in a row: want the first one alone reported as new")
	}
	for _, m := range b.Neighbours(now.Add(time.Second)) {
		if m.Name == "b1" {
			t.Error("1 s after a failure: got the box as a neighbour, want it left out")
		}
	}
	found := false
	for _, m := range b.Neighbours(now.Add(retryFailedAfter)) {
		found = found || m.Name == "b1"
	}
	if !found {
		t.Error("retryFailedAfter after a failure: got no heartbeat to the box, want one")
	}
	if !b.RecordContact(member("b1", "a", box.StateServing), now.Add(6*time.Second)) {
		t.Error("contact after a failure: got false, want the recovery reported")
	}
	checkAlive(t, b, "a", "b1", "b2", "self")
}

// TestFailedBoxThatIsNoNeighbourIsTriedAgain checks that a failure expires even if this box sends the
// failed box no heartbeats by which it could notice the recovery.
func TestFailedBoxThatIsNoNeighbourIsTriedAgain(t *testing.T) {
	b := newTable()
	b.RecordFailure("b1", now, now)
	b.Expire(now.Add(failureTTL + time.Second))
	checkAlive(t, b, "a", "b1", "b2", "self")
}

func TestLeavingIsBelievedFromAnySource(t *testing.T) {
	for _, x := range []struct {
		name     string
		announce func(b *Table)
	}{
		{"list", func(b *Table) { b.ApplyList([]box.Member{member("b1", "a", box.StateLeaving)}, now) }},
		{"itself", func(b *Table) { b.RecordContact(member("b1", "a", box.StateLeaving), now) }},
		{"reply", func(b *Table) { b.MarkLeaving("b1", now) }},
	} {
		b := newTable()
		x.announce(b)
		if slices.Contains(b.Alive("a"), "b1") {
			t.Errorf("%s: got a leaving box as alive, want it left out", x.name)
		}
	}
	b := newTable()
	b.SetLeaving(now)
	checkAlive(t, b, "a", "b1", "b2")
}

// TestHeartbeatsStayFew checks the number of heartbeats per box at the design size, 11 halls of 300
// boxes, and that information still spreads to all boxes of a hall in a few rounds.
func TestHeartbeatsStayFew(t *testing.T) {
	const boxes = 300
	crossHall := 0
	neighbours := make(map[string][]string)
	var l []box.Member
	for h := range 11 {
		for i := range boxes {
			l = append(l, member(fmt.Sprintf("%d-%d", h, i), fmt.Sprint(h), box.StateServing))
		}
	}
	for _, self := range l[:boxes] {
		b := NewTable(self)
		b.ApplyList(l, now)
		n := b.Neighbours(now)
		if len(n) == heartbeatNeighbours+10 {
			crossHall++
		} else if got, want := len(n), heartbeatNeighbours; got != want {
			t.Fatalf("neighbours: got %d, want %d", got, want)
		}
		for _, m := range n {
			neighbours[self.Name] = append(neighbours[self.Name], m.Name)
		}
	}
	if got, want := crossHall, crossHallSenders; got != want {
		t.Errorf("boxes that send to other halls: got %d, want %d", got, want)
	}
	reached := map[string]bool{"0-0": true}
	steps := 0
	for count := 0; len(reached) > count && steps < 10; steps++ {
		count = len(reached)
		next := maps.Clone(reached)
		for n, l := range neighbours {
			for _, m := range l {
				// Information travels in heartbeats and in their answers.
				if m[:2] == "0-" && (reached[n] || reached[m]) {
					next[n], next[m] = true, true
				}
			}
		}
		reached = next
	}
	if got, want := len(reached), boxes; got != want {
		t.Errorf("boxes reached: got %d, want %d", got, want)
	}
	if got, want := steps, 6; got > want {
		t.Errorf("steps: got %d, want at most %d", got, want)
	}
}

func TestChangedTellsOfEveryChange(t *testing.T) {
	b := newTable()
	for _, f := range []func(){
		func() { b.RecordFailure("b1", now, now) },
		func() { b.RecordContact(member("b1", "a", box.StateServing), now) },
		func() { b.RecordContact(member("new", "a", box.StateServing), now) },
		func() { b.MarkLeaving("b2", now) },
		func() { b.SetLeaving(now) },
	} {
		c, v := b.Changed(), b.Version()
		f()
		select {
		case <-c:
		default:
			t.Error("Changed: got an open channel after a change, want it closed")
		}
		if b.Version() <= v {
			t.Errorf("version: got %d, want above %d", b.Version(), v)
		}
	}
}

// TestLateFailuresCountForNothing checks that a failed call is ignored if it started before a later
// contact with the box, or before this box noticed that it had been paused itself.
func TestLateFailuresCountForNothing(t *testing.T) {
	b, startedAt := newTable(), time.Unix(1000, 0)
	m := box.Member{Hall: "a", Name: "b1", State: box.StateServing}
	b.RecordContact(m, startedAt.Add(time.Second))
	if b.RecordFailure("b1", startedAt, startedAt.Add(2*time.Second)) {
		t.Error("call that started before the last contact: got a failure, want none")
	}
	b.ClearFailures(startedAt.Add(4 * time.Second))
	if b.RecordFailure("b1", startedAt.Add(3*time.Second), startedAt.Add(5*time.Second)) {
		t.Error("call that started before the pause was noticed: got a failure, want none")
	}
	if !b.RecordFailure("b1", startedAt.Add(5*time.Second), startedAt.Add(6*time.Second)) {
		t.Error("call that started afterwards: got no failure, want one")
	}
}

// TestLostBoxesArePossiblyServing checks that a lost box counts as possibly serving, once, whether or
// not it is in contact, and is not alive unless it is.
func TestLostBoxesArePossiblyServing(t *testing.T) {
	b := newTable()
	b.RecordContact(member("b1", "a", box.StateServing), now)
	b.ApplyList([]box.Member{member("b1", "a", box.StateLost), member("b2", "a", box.StateServing), member("c1", "c", box.StateLost)}, now)
	b.Expire(now.Add(time.Second))
	checkAlive(t, b, "", "b1", "b2", "self")
	if got, want := b.PossiblyServing(), 4; got != want {
		t.Errorf("with contact to one of two lost boxes: got %d possibly serving, want %d", got, want)
	}
	b.Expire(now.Add(unlistedTTL + time.Second))
	checkAlive(t, b, "", "b2", "self")
	if got, want := b.PossiblyServing(), 4; got != want {
		t.Errorf("long after the contact: got %d possibly serving, want %d", got, want)
	}
}
