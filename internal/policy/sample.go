package policy

import (
	"strconv"

	"github.com/cespare/xxhash/v2"
)

// sampler takes a number of things at random from a sequence, each with the same chance.
type sampler struct {
	remaining int // things still to come
	wanted    int // things still to be taken
}

const (
	affinityUpstreams = 2  // the upstreams that a prefix keeps to while they are not crowded
	sampleFar         = 4  // upstreams of other halls looked at where there are many
	sampleNear        = 12 // and of the work's own hall
)

// take reports whether the next thing is taken, by a random number in [0, 1).
func (s *sampler) take(random float64) bool {
	taken := random*float64(s.remaining) < float64(s.wanted)
	s.remaining--
	if taken {
		s.wanted--
	}
	return taken
}

// sample returns the allowed candidates, or, where they are many, those that
// the prefix keeps to and some at random, most of them near.
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
		if s.take(r.random()) || warm[c[i].Name] {
			l = append(l, c[i])
		}
	}
	return l
}

// newSamplers returns the draws from the allowed candidates of the work's own hall and from
// those of others.
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

// warmNames returns the upstreams that w's prefix keeps to: those that a rendezvous
// with it ranks first.
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
