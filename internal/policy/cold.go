package policy

import "slices"

// coldMargin is the share of what a cold upstream bears that is handed out to boxes: there
// may be more of them than one knows.
const coldMargin = 0.7

// ColdShare returns how many requests a second a box may send to an upstream that has no
// owner while that is cold and bears so many from all boxes. Where there are more boxes than
// requests, some may send one, others at other upstreams.
func ColdShare(upstream, box string, boxes []string, maxPerSecond float64) int {
	limit := int(coldMargin * maxPerSecond)
	if perBox := limit / max(1, len(boxes)); perBox > 0 {
		return perBox
	}
	if i := slices.Index(Rank(upstream, boxes), box); i >= 0 && i < limit {
		return 1
	}
	return 0
}
