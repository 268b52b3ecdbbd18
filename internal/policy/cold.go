package policy

import "slices"

// coldUsableShare is the share of a cold upstream's capacity that is divided among the boxes. The rest
// allows for boxes that are not in the list yet.
const coldUsableShare = 0.7

// ColdShare returns how many requests a second one box may send to a cold upstream that has no
// owner. The upstream can handle maxPerSecond requests a second from all boxes together. If there
// are more boxes than requests, the first boxes of the upstream's rendezvous ranking get one each,
// so that different boxes serve different upstreams.
func ColdShare(upstream, box string, boxes []string, maxPerSecond float64) int {
	limit := int(coldUsableShare * maxPerSecond)
	if perBox := limit / max(1, len(boxes)); perBox > 0 {
		return perBox
	}
	if i := slices.Index(Rank(upstream, boxes), box); i >= 0 && i < limit {
		return 1
	}
	return 0
}
