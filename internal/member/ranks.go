package member

import (
	"maps"
	"slices"

	"github.com/linetiller/linetiller/internal/box"
	"github.com/linetiller/linetiller/internal/policy"
)

// ranks is the order in which a box prefers the others as neighbours, whether or not they are
// reachable. It changes only with the set of known boxes, since ranking all of them for each
// heartbeat takes as long as there are boxes.
type ranks struct {
	byHall map[string][]string // the other boxes of each hall
	halls  []string            // of the other boxes, sorted
	links  []string            // the boxes of its own hall, itself included, by their preference as senders to other halls
}

// newRanks returns the order for a box among the other boxes that it knows.
func newRanks(self box.Member, boxes map[string]*entry) *ranks {
	r := &ranks{byHall: make(map[string][]string)}
	for n, e := range boxes {
		r.byHall[e.member.Hall] = append(r.byHall[e.member.Hall], n)
	}
	r.links = policy.Rank("link", append(slices.Clone(r.byHall[self.Hall]), self.Name))
	r.halls = slices.Sorted(maps.Keys(r.byHall))
	for h, l := range r.byHall {
		r.byHall[h] = policy.Rank(self.Name, l)
	}
	return r
}

// firstUsable returns the first n names that can be used.
func firstUsable(names []string, n int, usable func(name string) bool) []string {
	var l []string
	for _, x := range names {
		if len(l) == n {
			break
		}
		if usable(x) {
			l = append(l, x)
		}
	}
	return l
}
