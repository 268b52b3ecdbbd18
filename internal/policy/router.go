package policy

import (
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Router chooses the upstream at which a box asks for a place, from the loads
// that owners told with their answers.
type Router struct {
	lengths *Lengths
	loads   map[string]*known
	moves   map[string]time.Time // by upstream: when work last moved away from it
	seed    uint64
}

// known is the last load heard of an upstream, with what was sent there since.
type known struct {
	held  int // tokens of memory placed there by this box since
	load  Load
	since float64 // seconds of the engine's time placed there by this box since
}

// Candidate is an upstream that may be chosen.
type Candidate struct {
	Capacity Capacity
	Alone    bool    // no other engine of its hall could take its generations over
	Delay    float64 // seconds of backlog that the way to it counts for
	Name     string
}

const (
	affinityPlaces = 2   // the upstreams that a prefix keeps to while they are not crowded
	affinityBonus  = 0.5 // seconds of backlog that a warm prefix is worth
	loadLife       = 5 * time.Second
	moveEvery      = time.Second // between two moves away from one upstream
	moveGain       = 2.0         // seconds of backlog by which another upstream must be better
	moveShare      = 0.5         // and the share of the present backlog that it may have
	peakSeconds    = 1.0         // seconds of backlog that a full memory counts for
	sampleFar      = 4           // upstreams of other halls looked at where there are many
	sampleNear     = 12          // and of the work's own hall
	// noticeSeconds is how much copying fits into the shortest notice that engines
	// give, 1.5 s, and noticeCost how many seconds of backlog each second beyond
	// it counts for: what does not fit is lost where the engine is reclaimed.
	noticeSeconds = 1.3
	noticeCost    = 3.0
	// aloneFactor is by how much a copy to another hall takes longer.
	aloneFactor     = 2
	unknownBacklog  = 0.5 // seconds, assumed where nothing is known
	tieBreakSeconds = 1e-3
)

// NewRouter returns a router that knows no load. The seed parts the boxes, so
// that they do not all choose alike.
func NewRouter(l *Lengths, seed uint64) *Router {
	return &Router{lengths: l, loads: make(map[string]*known), moves: make(map[string]time.Time), seed: seed | 1}
}

// Better returns an upstream at which w would wait much less than where it
// waits now, or "".
func (r *Router) Better(w *Work, at string, c []Candidate, now time.Time) string {
	here := r.loads[at]
	if here == nil || now.Sub(r.moves[at]) < moveEvery {
		return ""
	}
	class, _ := r.classify(w, c)
	ahead := here.load.Ahead[class]
	if ahead < moveGain {
		return ""
	}
	best := r.Choose(w, c, now, func(n string) bool { return n != at && r.loads[n] != nil })
	if best == "" {
		return ""
	}
	if b := r.backlog(best, class, now); b > moveShare*ahead || b > ahead-moveGain {
		return ""
	}
	r.moves[at] = now
	return best
}

// Choose returns the upstream at which to ask for a place for w, among the
// candidates that allow lets through, or "" where there is none.
func (r *Router) Choose(w *Work, c []Candidate, now time.Time, allow func(name string) bool) string {
	warm := warmNames(w, c)
	c = r.sample(c, warm, allow)
	class, cost := r.classify(w, c)
	best, least := "", 0.0
	for _, x := range c {
		s := r.score(x, class, now) + r.excess(w, x, now)
		if warm[x.Name] {
			s -= affinityBonus
		}
		s += tieBreakSeconds * r.random()
		if best == "" || s < least {
			best, least = x.Name, s
		}
	}
	if k := r.loads[best]; k != nil {
		k.since += cost
		k.held += w.Prompt
	}
	return best
}

// Forget drops what is known of an upstream.
func (r *Router) Forget(name string) {
	delete(r.loads, name)
}

// Known returns the load last heard of an upstream, and whether there is one.
func (r *Router) Known(name string) (Load, bool) {
	k := r.loads[name]
	if k == nil {
		return Load{}, false
	}
	return k.load, true
}

// Learn takes in a load that an owner told.
func (r *Router) Learn(l Load) {
	k := r.loads[l.Upstream]
	if k == nil {
		k = new(known)
		r.loads[l.Upstream] = k
	}
	if l.AsOf.Before(k.load.AsOf) {
		return
	}
	k.load = l
	k.since, k.held = 0, 0
}

func (r *Router) backlog(name string, class int, now time.Time) float64 {
	k := r.loads[name]
	if k == nil || now.Sub(k.load.AsOf) > loadLife {
		return unknownBacklog
	}
	return k.load.Ahead[class] + k.since
}

// classify returns the class of w and its cost, in seconds of an engine's time.
// The cost is added to what was sent to an upstream since its load was told, so
// that one box does not send everything to the same place until then.
func (r *Router) classify(w *Work, c []Candidate) (class int, cost float64) {
	if len(c) == 0 {
		return 0, 0
	}
	e := r.lengths.expect(KeyOf(w), w.Prompt, w.MaxTokens)
	cost = e.area / (usableShare * float64(c[0].Capacity.KVTokens)) * DefaultStepSeconds
	return classOf(cost), cost
}

// excess returns what the copying counts for that would not fit into a notice of
// the upstream, if w ran there, too.
func (r *Router) excess(w *Work, c Candidate, now time.Time) float64 {
	k := r.loads[c.Name]
	if k == nil || c.Capacity.CopyToken == 0 || now.Sub(k.load.AsOf) > loadLife {
		return 0
	}
	s := float64(k.load.Held+k.held+w.Prompt) * c.Capacity.CopyToken.Seconds()
	if c.Alone {
		s *= aloneFactor
	}
	return noticeCost * max(0, s-noticeSeconds)
}

// random returns a number in [0, 1) from the router's own sequence.
func (r *Router) random() float64 {
	r.seed ^= r.seed << 13
	r.seed ^= r.seed >> 7
	r.seed ^= r.seed << 17
	return float64(r.seed>>11) / (1 << 53)
}

// sample returns the allowed candidates, or, where they are many, those that
// the prefix keeps to and some at random, most of them near.
func (r *Router) sample(c []Candidate, warm map[string]bool, allow func(name string) bool) []Candidate {
	l := make([]Candidate, 0, min(len(c), sampleNear+sampleFar+affinityPlaces))
	if len(c) <= sampleNear+sampleFar {
		for _, x := range c {
			if allow(x.Name) {
				l = append(l, x)
			}
		}
		return l
	}
	near := draw{wanted: sampleNear}
	far := draw{wanted: sampleFar}
	for i := range c {
		if c[i].Delay == 0 {
			near.left++
		} else {
			far.left++
		}
	}
	for i := range c {
		d := &far
		if c[i].Delay == 0 {
			d = &near
		}
		if d.take(r.random()) || warm[c[i].Name] {
			if allow(c[i].Name) {
				l = append(l, c[i])
			}
		}
	}
	return l
}

func (r *Router) score(c Candidate, class int, now time.Time) float64 {
	s := r.backlog(c.Name, class, now) + c.Delay
	if k := r.loads[c.Name]; k != nil && now.Sub(k.load.AsOf) <= loadLife {
		s += peakSeconds * k.load.Peak
	}
	return s
}

// draw takes a number of things at random from a sequence, each with the same chance.
type draw struct {
	left   int // things still to come
	wanted int // things still to be taken
}

// take reports whether the next thing is taken, by a random number in [0, 1).
func (d *draw) take(random float64) bool {
	taken := random*float64(d.left) < float64(d.wanted)
	d.left--
	if taken {
		d.wanted--
	}
	return taken
}

// warmNames returns the upstreams that w's prefix keeps to: those that a rendezvous
// with it ranks first.
func warmNames(w *Work, c []Candidate) map[string]bool {
	if w.Prefix == 0 || len(c) <= affinityPlaces {
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
