package linetiller

import (
	"math/rand/v2"
	"slices"
)

// maxRelayPeers is how many boxes are tried for one connection to an upstream: as many attempts as may begin
// one after another before the time for a connection has passed.
const maxRelayPeers = 6

// relayPeers returns boxes by way of which to connect to an upstream, of those for which usable returns
// true: one of this box's hall, and one of each of some other halls, since a hall may have lost its links
// as a whole. They are drawn at random, so that the connections are spread over all boxes. Boxes in other
// regions are left out: requests may be restricted to a region.
func (b *Box) relayPeers(usable func(peer string) bool) []string {
	var peers []string
	halls := b.relayHalls()
	for added := true; added && len(peers) < maxRelayPeers; {
		added = false
		for _, h := range halls {
			n := b.drawPeer(h, func(n string) bool { return usable(n) && !slices.Contains(peers, n) })
			if n != "" && len(peers) < maxRelayPeers {
				peers = append(peers, n)
				added = true
			}
		}
	}
	return peers
}

// relayHalls returns this box's hall and then the others of its region, in random order.
func (b *Box) relayHalls() []string {
	own, regions := b.settings.Hall, b.settings.Regions
	halls := slices.DeleteFunc(slices.Clone(b.members.Halls()), func(h string) bool { return h == own || regions[h] != regions[own] })
	rand.Shuffle(len(halls), func(i, j int) { halls[i], halls[j] = halls[j], halls[i] })
	return append([]string{own}, halls...)
}

// drawPeer returns a random box of a hall for which keep returns true, or "" if there is none.
func (b *Box) drawPeer(hall string, keep func(peer string) bool) string {
	l := b.members.Alive(hall)
	if len(l) == 0 {
		return ""
	}
	first := rand.IntN(len(l))
	for i := range l {
		n := l[(first+i)%len(l)]
		if n != b.settings.Box && keep(n) {
			return n
		}
	}
	return ""
}
