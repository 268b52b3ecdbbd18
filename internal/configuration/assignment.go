package configuration

import (
	"slices"
	"time"

	"github.com/linetiller/linetiller/internal/policy"
)

const (
	// readersPerHall is the number of boxes per hall that keep the hall's views up to date. The
	// second one takes over when the first stops responding.
	readersPerHall = 2
	// unresponsivePeerRetryInterval is the time between two calls to a reader that does not
	// respond.
	unresponsivePeerRetryInterval = 2 * time.Second
	// laggingPeerBackoff is how long a reader that reported that it cannot follow the store is
	// skipped.
	laggingPeerBackoff = 500 * time.Millisecond
)

// readerRole says whether and how a box reads the store.
type readerRole string

// The roles.
const (
	rolePrimary    readerRole = "first"      // reads on behalf of all halls that can reach it
	roleNone       readerRole = "none"       // learns of changes from other boxes
	roleStandby    readerRole = "standby"    // reads less often; its results matter only if the primary's reads stall
	roleSubstitute readerRole = "substitute" // reads for itself and its hall, since no reader that it watches responds and follows the store
)

// assignment is what a box does to keep its own view and those of its hall up to date.
type assignment struct {
	peers []string   // the readers that it may watch for changes, the closest to the store first
	role  readerRole // its role as long as one of the peers follows the store
}

// assignment returns the current assignment of this box.
//
// Every hall has a first and a second reader, chosen by rendezvous hashing. The halls have an order
// that all boxes agree on. The first reader of the first hall reads the store on behalf of all; the
// one of the second hall is the standby. The first readers of all halls but the first watch those
// of the halls before theirs. The second reader of a hall watches the first one, and after it the
// readers that the first one watches. Every reader passes changes on to the boxes of its hall. A
// box only watches readers before it in the order, so that no two boxes wait for each other.
func (f *Follower) assignment() assignment {
	s := f.members.Self()
	own := f.hallReaders(s.Hall)
	if len(own) == 0 {
		return assignment{role: rolePrimary} // this box is leaving and knows no other box
	}
	position := slices.Index(own, s.Name)
	if position < 0 {
		return assignment{role: roleNone}
	}
	a := f.firstReaderAssignment(s.Hall)
	if position == 0 || f.unresponsive(own[0]) {
		return a
	}
	a.peers = slices.Insert(a.peers, 0, own[0])
	a.role = roleNone
	if len(f.members.Halls()) == 1 {
		a.role = roleStandby
	}
	return a
}

// firstReaderAssignment returns the assignment of the box that acts as first reader of a hall.
func (f *Follower) firstReaderAssignment(hall string) assignment {
	var l []string
	for _, h := range policy.Rank("hall", f.members.Halls()) {
		if h == hall {
			break
		}
		if p := f.responsiveReader(h); p != "" {
			l = append(l, p)
		}
	}
	switch len(l) {
	case 0:
		return assignment{role: rolePrimary}
	case 1:
		return assignment{peers: l, role: roleStandby}
	default:
		return assignment{peers: l, role: roleNone}
	}
}

// hallReaders returns the names of a hall's readers, in order of preference.
func (f *Follower) hallReaders(hall string) []string {
	l := policy.Rank("reader", f.members.Active(hall))
	return l[:min(readersPerHall, len(l))]
}

// responsiveReader returns the first reader of a hall that is not known to be unresponsive, or ""
// if there is none.
func (f *Follower) responsiveReader(hall string) string {
	for _, n := range f.hallReaders(hall) {
		if !f.unresponsive(n) {
			return n
		}
	}
	return ""
}

// role returns the current role of this box.
func (f *Follower) role() readerRole {
	a := f.assignment()
	if len(a.peers) > 0 && !f.followsPeer(time.Now()) {
		return roleSubstitute
	}
	return a.role
}
