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
	// peerSilentPeriod is between two calls of a reader that does not answer.
	peerSilentPeriod = 2 * time.Second
	// peerUnfedPeriod is how long a reader that said that it cannot read the store is passed
	// over.
	peerUnfedPeriod = 500 * time.Millisecond
)

// rank tells whether and how a box reads the store.
type rank string

// The ranks.
const (
	rankFirst      rank = "first"      // reads for all halls that reach it
	rankNone       rank = "none"       // hears of changes from other boxes
	rankStandby    rank = "standby"    // reads less often: its word counts where the first one's reads stand still
	rankSubstitute rank = "substitute" // reads for itself and its hall: the reader that it asks cannot, or does not answer
)

// duty is what a box does to keep its own and its hall's view up to date.
type duty struct {
	peers []string // the readers that may be asked for news, the nearest to the store first
	rank  rank     // while one of the peers can read the store
}

// duty returns what this box is to do. Every hall has a first and a second reader, by
// rendezvous. The first reader of the first hall, in an order that all boxes agree on,
// reads the store for all; that of the next hall reads it less often and, as the first
// readers of the other halls do, asks those before it for news. The second reader of a
// hall asks its first one before them. Each passes on to the boxes of its hall what it
// hears. Asking goes up the order only, so that no two boxes wait for each other.
func (f *Follower) duty() duty {
	s := f.members.Self()
	own := f.hallReaders(s.Hall)
	if len(own) == 0 {
		return duty{rank: rankFirst} // the box itself is leaving, and knows of no other
	}
	place := slices.Index(own, s.Name)
	if place < 0 {
		return duty{rank: rankNone}
	}
	d := f.dutyOfFirst(s.Hall)
	if place == 0 || f.silent(own[0]) {
		return d
	}
	d.peers = slices.Insert(d.peers, 0, own[0])
	d.rank = rankNone
	if len(f.members.Halls()) == 1 {
		d.rank = rankStandby
	}
	return d
}

// dutyOfFirst returns the duty of a box that stands for its hall.
func (f *Follower) dutyOfFirst(hall string) duty {
	var l []string
	for _, h := range policy.Rank("hall", f.members.Halls()) {
		if h == hall {
			break
		}
		if p := f.answering(h); p != "" {
			l = append(l, p)
		}
	}
	switch len(l) {
	case 0:
		return duty{rank: rankFirst}
	case 1:
		return duty{peers: l, rank: rankStandby}
	default:
		return duty{peers: l, rank: rankNone}
	}
}

// answering returns the reader of a hall to ask, or "" where none answers.
func (f *Follower) answering(hall string) string {
	for _, n := range f.hallReaders(hall) {
		if !f.silent(n) {
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

// rank returns whether and how this box reads the store now.
func (f *Follower) rank() rank {
	d := f.duty()
	if len(d.peers) > 0 && !f.fed(time.Now()) {
		return rankSubstitute
	}
	return d.rank
}
