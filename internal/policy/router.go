package policy

import (
	"time"
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
	held    int // tokens of memory placed there by this box since
	load    Load
	reading int     // tokens of prompts placed there by this box since
	since   float64 // seconds of the engine's time placed there by this box since
}

// Candidate is an upstream that may be chosen.
type Candidate struct {
	Capacity Capacity
	Delay    float64 // seconds of backlog that the way to it counts for
	Name     string
}

const (
	loadLife  = 5 * time.Second // of a load, from the moment of which it tells
	moveEvery = time.Second     // between two moves away from one upstream
	moveGain  = 2.0             // seconds of backlog by which another upstream must be better
	moveShare = 0.5             // and the share of the present backlog that it may have
	// movedHallDelay is how many more seconds of backlog another hall counts for where a
	// run is moved: the copy takes twice as long, and its engine's link meanwhile serves no
	// other run that has to leave.
	movedHallDelay = 10.0
	peakSeconds    = 1.0 // seconds of backlog that a full memory counts for
	// readingCost is how many seconds of backlog each second counts for that prompts take
	// to be read which are being read already: a new one waits for them, and all of them
	// hold up those who have their tokens.
	readingCost = 2.0
	// noticeSeconds is how much copying an engine should hold: half of the shortest
	// notice that engines give, 1.5 s, since several that leave together share the links
	// of those that stay. noticeCost is how many seconds of backlog each second beyond
	// it counts for: what does not fit is lost where the engine is reclaimed.
	noticeSeconds   = 0.7
	noticeCost      = 3.0
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
		s := r.score(w, x, class, now) + r.excess(w, x, now)
		if warm[x.Name] {
			s -= readSeconds * float64(w.PrefixTokens)
		}
		s += tieBreakSeconds * r.random()
		if best == "" || s < least {
			best, least = x.Name, s
		}
	}
	if k := r.loads[best]; k != nil {
		k.since += cost
		k.held += w.Prompt
		k.reading += toRead(w)
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
	k.since, k.held, k.reading = 0, 0, 0
}

// backlog returns the seconds that work of a class would wait at an upstream, as far as
// is known.
func (r *Router) backlog(name string, class int, now time.Time) float64 {
	k := r.fresh(name, now)
	if k == nil {
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
	k := r.fresh(c.Name, now)
	if k == nil || c.Capacity.CopyToken == 0 {
		return 0
	}
	s := float64(k.load.Held+k.held+w.Prompt) * c.Capacity.CopyToken.Seconds()
	return noticeCost * max(0, s-noticeSeconds)
}

// fresh returns the load last heard of an upstream, or nil where it is too old.
func (r *Router) fresh(name string, now time.Time) *known {
	k := r.loads[name]
	if k == nil || now.Sub(k.load.AsOf) > loadLife {
		return nil
	}
	return k
}

// random returns a number in [0, 1) from the router's own sequence.
func (r *Router) random() float64 {
	r.seed ^= r.seed << 13
	r.seed ^= r.seed >> 7
	r.seed ^= r.seed << 17
	return float64(r.seed>>11) / (1 << 53)
}

// readingLeft returns the seconds that the prompts which were being read, and those placed
// since, will take to be read from now on.
func (k *known) readingLeft(now time.Time) float64 {
	return max(0, readSeconds*float64(k.load.Reading+k.reading)-now.Sub(k.load.AsOf).Seconds())
}

// score returns the seconds of backlog that a candidate counts for: what waits there, the
// way to it, the prompts being read and the memory that its running generations will need.
func (r *Router) score(w *Work, c Candidate, class int, now time.Time) float64 {
	s := r.backlog(c.Name, class, now) + c.Delay
	if w.Moved && c.Delay > 0 {
		s += movedHallDelay
	}
	if k := r.fresh(c.Name, now); k != nil {
		s += peakSeconds*k.load.Peak + readingCost*k.readingLeft(now)
	}
	return s
}
