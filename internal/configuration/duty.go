package configuration

import (
	"slices"
	"time"

	"github.com/linetiller/linetiller/internal/policy"
)

const (
	// readersPerHall is how many boxes of a hall keep its view up to date: the second one
	// takes over when the first falls silent.
	readersPerHall = 2
	// unresponsivePeerRetryInterval is between two calls of a reader that does not answer.
	unresponsivePeerRetryInterval = 2 * time.Second
	// laggingPeerBackoff is how long a reader that said that it cannot read the store is passed
	// over.
	laggingPeerBackoff = 500 * time.Millisecond
)

// readerRole tells whether and how a box reads the store.
type readerRole string

// The ranks.
const (
	rolePrimary    readerRole = "first"      // reads for all halls that reach it
	roleNone       readerRole = "none"       // hears of changes from other boxes
	roleStandby    readerRole = "standby"    // reads less often: its word counts where the first one's reads stand still
	roleSubstitute readerRole = "substitute" // reads for itself and its hall: the reader that it asks cannot, or does not answer
)

// assignment is what a box does to keep its own and its hall's view up to date.
type assignment struct {
	peers []string   // the readers that may be asked for news, the nearest to the store first
	role  readerRole // while one of the peers can read the store
}

// assignment returns what this box is to do. Every hall has a first and a second reader, by
// rendezvous. The first reader of the first hall, in an order that all boxes agree on,
// reads the store for all; that of the next hall reads it less often and, as the first
// readers of the other halls do, asks those before it for news. The second reader of a
// hall asks its first one before them. Each passes on to the boxes of its hall what it
// hears. Asking goes up the order only, so that no two boxes wait for each other.
func (f *Follower) assignment() assignment {
	s := f.members.Self()
	own := f.hallReaders(s.Hall)
	if len(own) == 0 {
		return assignment{role: rolePrimary} // the box itself is leaving, and knows of no other
	}
	position := slices.Index(own, s.Name)
	if position < 0 {
		return assignment{role: roleNone}
	}
	a := f.hallPrimaryAssignment(s.Hall)
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

// hallPrimaryAssignment returns the duty of a box that stands for its hall.
func (f *Follower) hallPrimaryAssignment(hall string) assignment {
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

// responsiveReader returns the reader of a hall to ask, or "" where none answers.
func (f *Follower) responsiveReader(hall string) string {
	for _, n := range f.hallReaders(hall) {
		if !f.unresponsive(n) {
			return n
		}
	}
	return ""
}

// hallReaders returns the readers of a hall, the first one first.
func (f *Follower) hallReaders(hall string) []string {
	l := policy.Rank("reader", f.members.Alive(hall))
	return l[:min(readersPerHall, len(l))]
}

// role returns whether and how this box reads the store now.
func (f *Follower) role() readerRole {
	a := f.assignment()
	if len(a.peers) > 0 && !f.followsPeer(time.Now()) {
		return roleSubstitute
	}
	return a.role
}
