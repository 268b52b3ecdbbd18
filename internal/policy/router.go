package policy

import (
	"time"
)

// Router chooses the upstream at which a box requests a place, based on the loads that owners send
// along with their answers.
type Router struct {
	lengths     *Lengths
	loads       map[string]*upstreamLoad
	lastMovedAt map[string]time.Time // by upstream: when work was last moved away from it
	seed        uint64               // state of the pseudo-random sequence
}

// upstreamLoad is the last known load of an upstream, and what this box has placed there since.
type upstreamLoad struct {
	placedTokens        int // of KV memory
	load                Load
	placedPrefillTokens int     // of prompts
	placedBacklog       float64 // seconds of engine time
}

// Candidate is an upstream that may be chosen.
type Candidate struct {
	Capacity Capacity
	Penalty  float64 // seconds of backlog added for the distance to another hall; 0 in the work's own hall
	Name     string
}

const (
	loadTTL      = 5 * time.Second // after Load.AsOf
	moveInterval = time.Second     // minimum time between two moves away from the same upstream
	// Another upstream must be better by minMoveGain seconds of backlog, and have at most
	// maxMoveRatio of the current backlog.
	minMoveGain  = 2.0
	maxMoveRatio = 0.5
	// movedRunHallPenalty is the backlog, in seconds, added to the penalty for another hall if a run
	// is moved. Copying takes twice as long, and occupies the engine's link, which other runs that
	// must be moved need.
	movedRunHallPenalty = 10.0
	peakCost            = 1.0 // seconds of backlog added for a full KV memory
	// prefillCost is the backlog, in seconds, added for each second that current prefills will take.
	// A new prompt has to wait for them, and they delay all generations that are decoding.
	prefillCost = 2.0
	// copyBudgetSeconds bounds the KV memory that an engine should hold, by the time to copy it. It
	// is about half of shortestNotice, as several engines that leave together share the links of
	// those that stay. copyOverrunCost is the backlog, in seconds, added for each second beyond it:
	// memory that can not be copied in time is lost when the engine is reclaimed.
	copyBudgetSeconds = 0.7
	copyOverrunCost   = 3.0
	unknownBacklog    = 0.5  // seconds, assumed if no load is known
	tieBreakSeconds   = 1e-3 // upper bound of the random part of a score
)

// NewRouter returns a router without loads. Each box needs its own seed, so that boxes do not all
// make the same choices.
func NewRouter(l *Lengths, seed uint64) *Router {
	return &Router{lengths: l, loads: make(map[string]*upstreamLoad), lastMovedAt: make(map[string]time.Time), seed: seed | 1}
}

// BetterUpstream returns an upstream at which w would wait much less than at the current one, where it
// is queued, or "" if there is none.
func (r *Router) BetterUpstream(w *Work, current string, c []Candidate, now time.Time) string {
	here := r.loads[current]
	if here == nil || now.Sub(r.lastMovedAt[current]) < moveInterval {
		return ""
	}
	class, _ := r.classify(w, c)
	ahead := here.load.Backlog[class]
	if ahead < minMoveGain {
		return ""
	}
	best := r.Choose(w, c, now, func(n string) bool { return n != current && r.loads[n] != nil })
	if best == "" {
		return ""
	}
	if b := r.backlog(best, class, now); b > maxMoveRatio*ahead || b > ahead-minMoveGain {
		return ""
	}
	r.lastMovedAt[current] = now
	return best
}

// Choose returns the upstream at which to request a place for w, among the candidates for which allow
// returns true, or "" if there is none.
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

// DropLoad drops the load of an upstream.
func (r *Router) DropLoad(name string) {
	delete(r.loads, name)
}

// Load returns the last known load of an upstream, and whether there is one.
func (r *Router) Load(name string) (Load, bool) {
	k := r.loads[name]
	if k == nil {
		return Load{}, false
	}
	return k.load, true
}

// UpdateLoad stores a load received from an owner, unless a newer one is known.
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

// backlog returns how long, in seconds, work of a class is expected to wait at an upstream.
func (r *Router) backlog(name string, class int, now time.Time) float64 {
	k := r.freshLoad(name, now)
	if k == nil {
		return unknownBacklog
	}
	return k.load.Backlog[class] + k.placedBacklog
}

// classify returns the class of w and its cost, in seconds of engine time. Choose adds that cost to
// the backlog of the chosen upstream until its next load arrives, so that one box does not send
// everything to the same upstream meanwhile.
func (r *Router) classify(w *Work, c []Candidate) (class int, cost float64) {
	if len(c) == 0 {
		return 0, 0
	}
	e := r.lengths.estimate(KeyOf(w), w.Prompt, w.MaxTokens)
	cost = e.tokenSteps / (usableShare * float64(c[0].Capacity.KVTokens)) * DefaultStepSeconds
	return costClass(cost), cost
}

// copyPenalty returns the backlog, in seconds, added for the KV memory that, with w running there, too,
// could not be copied to other engines between the upstream's notice that it is leaving and its end.
func (r *Router) copyPenalty(w *Work, c Candidate, now time.Time) float64 {
	k := r.freshLoad(c.Name, now)
	if k == nil || c.Capacity.CopyTimePerToken == 0 {
		return 0
	}
	s := float64(k.load.UsedTokens+k.placedTokens+w.Prompt) * c.Capacity.CopyTimePerToken.Seconds()
	return copyOverrunCost * max(0, s-copyBudgetSeconds)
}

// freshLoad returns the last known load of an upstream, or nil if it is older than loadTTL.
func (r *Router) freshLoad(name string, now time.Time) *upstreamLoad {
	k := r.loads[name]
	if k == nil || now.Sub(k.load.AsOf) > loadTTL {
		return nil
	}
	return k
}

// prefillSecondsLeft returns the time from now, in seconds, to prefill the prompts that the load
// reported and those placed since.
func (k *upstreamLoad) prefillSecondsLeft(now time.Time) float64 {
	return max(0, prefillSecondsPerToken*float64(k.load.PrefillTokens+k.placedPrefillTokens)-now.Sub(k.load.AsOf).Seconds())
}

// random returns a number in [0, 1) from the router's pseudo-random sequence.
func (r *Router) random() float64 {
	r.seed ^= r.seed << 13
	r.seed ^= r.seed >> 7
	r.seed ^= r.seed << 17
	return float64(r.seed>>11) / (1 << 53)
}

// score returns the cost of a candidate in seconds of backlog: its queue, its distance, the prompts
// being prefilled there and the KV memory that its running generations will need.
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
