package policy

import (
	"strconv"

	"github.com/cespare/xxhash/v2"
)

// sampler selects a fixed number of items at random from a sequence of known length, each with the same
// probability.
type sampler struct {
	remaining int // items still to come
	wanted    int // items still to be selected
}

const (
	affinityUpstreams = 2  // upstreams to which a prefix is routed unless their backlog is long
	sampleFar         = 4  // upstreams of other halls that are sampled from many
	sampleNear        = 12 // upstreams of the work's own hall that are sampled from many
)

// selectNext reports whether the next item is selected, given a random number in [0, 1).
func (s *sampler) selectNext(random float64) bool {
	selected := random*float64(s.remaining) < float64(s.wanted)
	s.remaining--
	if selected {
		s.wanted--
	}
	return selected
}

// sample returns the allowed candidates or, if there are many, a random sample, most of it from the
// work's own hall, and the upstreams with affinity to the prefix.
func (r *Router) sample(c []Candidate, warm map[string]bool, allow func(name string) bool) []Candidate {
	near, far := newSamplers(c, allow)
	if near.remaining+far.remaining <= sampleNear+sampleFar {
		near.wanted, far.wanted = near.remaining, far.remaining
	}
	l := make([]Candidate, 0, near.wanted+far.wanted+affinityUpstreams)
	for i := range c {
		if !allow(c[i].Name) {
			continue
		}
		s := &far
		if c[i].Penalty == 0 {
			s = &near
		}
		if s.selectNext(r.random()) || warm[c[i].Name] {
			l = append(l, c[i])
		}
	}
	return l
}

// newSamplers returns samplers of the allowed candidates in the work's own hall and in other halls.
func newSamplers(c []Candidate, allow func(name string) bool) (near, far sampler) {
	near.wanted, far.wanted = sampleNear, sampleFar
	for i := range c {
		switch {
		case !allow(c[i].Name):
		case c[i].Penalty == 0:
			near.remaining++
		default:
			far.remaining++
		}
	}
	return near, far
}

// warmNames returns the upstreams with affinity to w's prefix, whose caches are likely to hold it:
// those that rendezvous hashing ranks first for it.
func warmNames(w *Work, c []Candidate) map[string]bool {
	if w.Prefix == 0 || len(c) <= affinityUpstreams {
		return nil
	}
	k := xxhash.Sum64String(strconv.FormatUint(w.Prefix, 36))
	var best, second struct {
		name  string
		score uint64
	}
	for i := range c {
		s := mix(k, xxhash.Sum64String(c[i].Name))
		switch {
		case s > best.score || best.name == "":
			second = best
			best.name, best.score = c[i].Name, s
		case s > second.score || second.name == "":
			second.name, second.score = c[i].Name, s
		}
	}
	return map[string]bool{best.name: true, second.name: true}
}
