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
	// watchersPerBox is how many of the other boxes of its hall watch each box. In a hall of 300 boxes, changes then pass
	// over five boxes at most.
	watchersPerBox = 4
	// maxWatchable is the number of boxes of its hall that a box may watch, if those before them do not respond.
	maxWatchable = 5
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
// The boxes of a hall have an order, given by rendezvous hashing, and so do the halls. The first two
// boxes of a hall are its readers. The first reader of the first hall reads the store on behalf of
// all; the one of the second hall is the standby. The first readers of all halls but the first watch
// those of the halls before theirs. The second reader of a hall watches the first one, and after it
// the readers that the first one watches. The other boxes of a hall watch boxes before them in a tree
// with the first reader at its root. Every box passes changes on to others of its hall.
//
// A box only watches boxes before it in the order, so that no two boxes wait for each other. Those
// that do not respond to it are left out, so that whichever boxes are lost, the first of the others
// finds itself to be the reader.
func (f *Follower) assignment() assignment {
	s := f.members.Self()
	own := f.responsiveRank(s.Hall)
	if len(own) == 0 {
		return assignment{role: rolePrimary} // this box is leaving and knows no other box
	}
	position := slices.Index(own, s.Name)
	if position < 0 {
		position = len(own) // this box is leaving
	}
	if position >= readersPerHall {
		return assignment{peers: watchable(own, position), role: roleNone}
	}
	a := f.firstReaderAssignment(s.Hall)
	if position == 0 {
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

// closerReaders returns the number of boxes that read the store before this one if its readers cannot: the
// readers of all halls and, if this box is not among those of its own, the others before it.
func (f *Follower) closerReaders() int {
	s := f.members.Self()
	position := slices.Index(f.responsiveRank(s.Hall), s.Name)
	if position < readersPerHall {
		return 0
	}
	return readersPerHall*len(f.members.Halls()) + position - readersPerHall
}

// isHallReader reports whether this box is one of the readers of its hall.
func (f *Follower) isHallReader() bool {
	s := f.members.Self()
	own := f.responsiveRank(s.Hall)
	return slices.Contains(own[:min(readersPerHall, len(own))], s.Name) || len(own) == 0
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

// ReadersOf returns the names of the boxes that read, or watch other readers, on behalf of a hall, in order of preference.
func (f *Follower) ReadersOf(hall string) []string { return f.hallReaders(hall) }

// responsiveRank returns the names of the boxes of a hall in their order, without those that did not
// respond to the last call of this box.
func (f *Follower) responsiveRank(hall string) []string {
	l := policy.Rank("reader", f.members.Active(hall))
	f.mutex.Lock()
	defer f.mutex.Unlock()
	return slices.DeleteFunc(l, func(n string) bool { return f.unresponsivePeers[n] })
}

// role returns the current role of this box.
func (f *Follower) role() readerRole {
	a := f.assignment()
	if len(a.peers) > 0 && !f.followsPeer(time.Now()) {
		return roleSubstitute
	}
	return a.role
}

// watchable returns the boxes that the one at a position in the order of its hall may watch: its parent
// in the tree, and the first ones of the order.
func watchable(order []string, position int) []string {
	parent := (position - 1) / watchersPerBox
	l := []string{order[parent]}
	for i := 0; i < position && len(l) < maxWatchable; i++ {
		if i != parent {
			l = append(l, order[i])
		}
	}
	return l
}
