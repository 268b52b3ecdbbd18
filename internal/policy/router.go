package policy

import (
	"time"
)

// Router chooses the upstream at which a box asks for a place, from the loads
// that owners told with their answers.
type Router struct {
	lengths     *Lengths
	loads       map[string]*upstreamLoad
	lastMovedAt map[string]time.Time // by upstream: when work last moved away from it
	seed        uint64
}

// upstreamLoad is the last load heard of an upstream, with what was sent there since.
type upstreamLoad struct {
	placedTokens        int // tokens of memory placed there by this box since
	load                Load
	placedPrefillTokens int     // tokens of prompts placed there by this box since
	placedBacklog       float64 // seconds of the engine's time placed there by this box since
}

// Candidate is an upstream that may be chosen.
type Candidate struct {
	Capacity Capacity
	Penalty  float64 // seconds of backlog that the way to it counts for
	Name     string
}

const (
	loadTTL      = 5 * time.Second // of a load, from the moment of which it tells
	moveInterval = time.Second     // between two moves away from one upstream
	minMoveGain  = 2.0             // seconds of backlog by which another upstream must be better
	maxMoveRatio = 0.5             // and the share of the present backlog that it may have
	// movedRunHallPenalty is how many more seconds of backlog another hall counts for where a
	// run is moved: the copy takes twice as long, and its engine's link meanwhile serves no
	// other run that has to leave.
	movedRunHallPenalty = 10.0
	peakCost            = 1.0 // seconds of backlog that a full memory counts for
	// prefillCost is how many seconds of backlog each second counts for that prompts take
	// to be read which are being read already: a new one waits for them, and all of them
	// hold up those who have their tokens.
	prefillCost = 2.0
	// copyBudgetSeconds is how much copying an engine should hold: half of the shortest
	// notice that engines give, 1.5 s, since several that leave together share the links
	// of those that stay. copyOverrunCost is how many seconds of backlog each second beyond
	// it counts for: what does not fit is lost where the engine is reclaimed.
	copyBudgetSeconds = 0.7
	copyOverrunCost   = 3.0
	unknownBacklog    = 0.5 // seconds, assumed where nothing is known
	tieBreakSeconds   = 1e-3
)

// NewRouter returns a router that knows no load. The seed parts the boxes, so
// that they do not all choose alike.
func NewRouter(l *Lengths, seed uint64) *Router {
	return &Router{lengths: l, loads: make(map[string]*upstreamLoad), lastMovedAt: make(map[string]time.Time), seed: seed | 1}
}

// BetterUpstream returns an upstream at which w would wait much less than where it
// waits now, or "".
func (r *Router) BetterUpstream(w *Work, at string, c []Candidate, now time.Time) string {
	here := r.loads[at]
	if here == nil || now.Sub(r.lastMovedAt[at]) < moveInterval {
		return ""
	}
	class, _ := r.classify(w, c)
	ahead := here.load.Backlog[class]
	if ahead < minMoveGain {
		return ""
	}
	best := r.Choose(w, c, now, func(n string) bool { return n != at && r.loads[n] != nil })
	if best == "" {
		return ""
	}
	if b := r.backlog(best, class, now); b > maxMoveRatio*ahead || b > ahead-minMoveGain {
		return ""
	}
	r.lastMovedAt[at] = now
	return best
}

// Choose returns the upstream at which to ask for a place for w, among the
// candidates that allow lets through, or "" where there is none.
func (r *Router) Choose(w *Work, c []Candidate, now time.Time, allow func(name string) bool) string {
	warm := warmNames(w, c)
	c = r.sample(c, warm, allow)
	class, cost := r.classify(w, c)
	best, bestScore := "", 0.0
	for _, x := range c {
		score := r.score(w, x, class, now) + r.copyPenalty(w, x, now)
		if warm[x.Name] {
			score -= prefillSecondsPerToken * float64(w.PrefixTokens)
		}
		score += tieBreakSeconds * r.random()
		if best == "" || score < bestScore {
			best, bestScore = x.Name, score
		}
	}
	if k := r.loads[best]; k != nil {
		k.placedBacklog += cost
		k.placedTokens += w.Prompt
		k.placedPrefillTokens += prefillTokens(w)
	}
	return best
}

// Forget drops what is known of an upstream.
func (r *Router) Forget(name string) {
	delete(r.loads, name)
}

// Load returns the load last heard of an upstream, and whether there is one.
func (r *Router) Load(name string) (Load, bool) {
	k := r.loads[name]
	if k == nil {
		return Load{}, false
	}
	return k.load, true
}

// UpdateLoad takes in a load that an owner told.
func (r *Router) UpdateLoad(l Load) {
	k := r.loads[l.Upstream]
	if k == nil {
		k = new(upstreamLoad)
		r.loads[l.Upstream] = k
	}
	if l.AsOf.Before(k.load.AsOf) {
		return
	}
	k.load = l
	k.placedBacklog, k.placedTokens, k.placedPrefillTokens = 0, 0, 0
}

// backlog returns the seconds that work of a class would wait at an upstream, as far as
// is known.
func (r *Router) backlog(name string, class int, now time.Time) float64 {
	k := r.freshLoad(name, now)
	if k == nil {
		return unknownBacklog
	}
	return k.load.Backlog[class] + k.placedBacklog
}

// classify returns the class of w and its cost, in seconds of an engine's time.
// The cost is added to what was sent to an upstream since its load was told, so
// that one box does not send everything to the same place until then.
func (r *Router) classify(w *Work, c []Candidate) (class int, cost float64) {
	if len(c) == 0 {
		return 0, 0
	}
	e := r.lengths.estimate(KeyOf(w), w.Prompt, w.MaxTokens)
	cost = e.tokenSteps / (usableShare * float64(c[0].Capacity.KVTokens)) * DefaultStepSeconds
	return costClass(cost), cost
}

// copyPenalty returns what the copying counts for that would not fit into a notice of
// the upstream, if w ran there, too.
func (r *Router) copyPenalty(w *Work, c Candidate, now time.Time) float64 {
	k := r.freshLoad(c.Name, now)
	if k == nil || c.Capacity.CopyTimePerToken == 0 {
		return 0
	}
	s := float64(k.load.UsedTokens+k.placedTokens+w.Prompt) * c.Capacity.CopyTimePerToken.Seconds()
	return copyOverrunCost * max(0, s-copyBudgetSeconds)
}

// freshLoad returns the load last heard of an upstream, or nil where it is too old.
func (r *Router) freshLoad(name string, now time.Time) *upstreamLoad {
	k := r.loads[name]
	if k == nil || now.Sub(k.load.AsOf) > loadTTL {
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

// prefillSecondsLeft returns the seconds that the prompts which were being read, and those placed
// since, will take to be read from now on.
func (k *upstreamLoad) prefillSecondsLeft(now time.Time) float64 {
	return max(0, prefillSecondsPerToken*float64(k.load.PrefillTokens+k.placedPrefillTokens)-now.Sub(k.load.AsOf).Seconds())
}

// score returns the seconds of backlog that a candidate counts for: what waits there, the
// way to it, the prompts being read and the memory that its running generations will need.
func (r *Router) score(w *Work, c Candidate, class int, now time.Time) float64 {
	s := r.backlog(c.Name, class, now) + c.Penalty
	if w.Moved && c.Penalty > 0 {
		s += movedRunHallPenalty
	}
	if k := r.freshLoad(c.Name, now); k != nil {
		s += peakCost*k.load.PeakShare + prefillCost*k.prefillSecondsLeft(now)
	}
	return s
}
