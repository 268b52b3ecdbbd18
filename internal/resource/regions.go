package resource

import (
	"maps"
	"slices"
)

// HallRegions holds the region of each data hall. A hall that is not listed is in no region.
type HallRegions map[string]string

// Allowed returns the halls in which requests may be processed that are restricted to regions, or
// nil if they are not restricted.
func (m HallRegions) Allowed(r Regions) []string {
	if r == nil {
		return nil
	}
	halls := []string{}
	for _, h := range slices.Sorted(maps.Keys(m)) {
		if slices.Contains(r, m[h]) {
			halls = append(halls, h)
		}
	}
	return halls
}

// Regions are the regions in which requests may be processed and their content stored; nil stands
// for all.
type Regions []string

// And returns the regions that both allow.
func (r Regions) And(o Regions) Regions {
	if r == nil {
		return o
	}
	if o == nil {
		return r
	}
	both := Regions{}
	for _, x := range r {
		if slices.Contains(o, x) {
			both = append(both, x)
		}
	}
	return both
}
