// Package evacuation measures, in virtual time, how many running generations outlive
// engines that are reclaimed after a notice: by the order that owners give, and where
// each box moves its own at once.
//
// It models engines, their links and the lengths of outputs; the order of moves is
// the policy's own. It is no network simulator: calls between boxes take no time.
package evacuation

import (
	"math"
	"math/rand/v2"
	"slices"
	"strconv"
	"time"

	"github.com/linetiller/linetiller/internal/policy"
)

// Scenario describes one run of the model.
type Scenario struct {
	Uncoordinated  bool          // each box moves its own generations at once
	Notice         time.Duration // between an engine's notice and its end
	Period         time.Duration // virtual time of the run
	Seed           uint64
	ReclaimedShare float64 // of the engines that are reclaimed each time
}

// Result is what became of the generations.
type Result struct {
	Completed int // that ended by themselves
	Late      int // of these, that stood still for longer than is allowed
	Lost      int // that ended with their engine
	Moves     int // that were completed
}

// The figures of the users' site kmqa-quote, from its page and from runs there.
const (
	arrivalsPerSecond = 3.43
	copyTimePerToken  = 54 * time.Microsecond // 3,500 tokens in 0.19 s within a hall
	engineCapacity    = 34545
	enginesPerHall    = 3
	halls             = 3
	crossHallFactor   = 2 // by which a copy to another hall takes longer
	outputMean        = 944
	outputSigma       = 0.5 // standard deviation of the logarithm of an output's length
	maxPause          = 180 * time.Millisecond
	promptTokens      = 3079
	reclaimInterval   = 3300 * time.Millisecond
	replacementDelay  = 4 * time.Second
	stepDuration      = 10 * time.Millisecond // between tokens
	tick              = time.Millisecond
)

// simulation is one run of the model.
type simulation struct {
	nextArrivalAt time.Duration // of the next generation
	transfers     []*transfer   // queued or under way, in the order in which they were asked for
	engines       []*engine
	now           time.Duration // since the start
	lastID        int
	random        *rand.Rand
	nextReclaimAt time.Duration // of the next engines
	result        Result
	generations   []*generation
	scenario      *Scenario
}

// engine is a model engine with its link.
type engine struct {
	endsAt         time.Duration // 0 while it is not leaving
	hall           int
	reservedTokens int  // tokens of generations that are being copied here
	sending        bool // a transfer takes its link's way out
	receiving      bool // or in
	usedTokens     int  // tokens
}

// generation is a running generation.
type generation struct {
	engine       *engine
	sinceToken   time.Duration // time since its last token
	move         *transfer
	longestPause time.Duration // its longest
	paused       bool
	currentPause time.Duration // for how long it has stood still
	run          policy.Run
}

// transfer is a copy of a generation's memory: first of what there is while it runs,
// then, once it was stopped, of the rest.
type transfer struct {
	copiedTokens   int // tokens that the other engine has
	from           *engine
	remaining      time.Duration // until the part under way is there; 0 while it waits
	partTokens     int           // tokens of the part under way
	reservedTokens int           // tokens kept free at the other engine
	generation     *generation
	to             *engine
}

// Run runs the model and returns what became of the generations.
func Run(c *Scenario) *Result {
	s := newSimulation(c)
	for s.now < c.Period {
		s.step()
	}
	return &s.result
}

func newSimulation(c *Scenario) *simulation {
	s := &simulation{random: rand.New(rand.NewPCG(c.Seed, 1)), nextReclaimAt: reclaimInterval, scenario: c}
	for i := range halls * enginesPerHall {
		s.engines = append(s.engines, &engine{hall: i % halls})
	}
	s.nextArrivalAt = s.interarrivalTime()
	return s
}

// interarrivalTime returns the time until the next generation arrives.
func (s *simulation) interarrivalTime() time.Duration {
	return time.Duration(s.random.ExpFloat64() / arrivalsPerSecond * float64(time.Second))
}

// arrive starts a generation at the engine with most room that is not leaving.
func (s *simulation) arrive() {
	s.lastID++
	e := s.mostFree(0, anyEngine)
	if e == nil {
		return
	}
	length := outputMean * math.Exp(outputSigma*s.random.NormFloat64()-outputSigma*outputSigma/2)
	g := &generation{engine: e, run: policy.Run{ID: strconv.Itoa(s.lastID), Left: max(1, int(length)), Tokens: promptTokens}}
	e.usedTokens += g.run.Tokens
	s.generations = append(s.generations, g)
}

// complete counts a generation that has ended by itself.
func (s *simulation) complete(g *generation) {
	s.result.Completed++
	if g.longestPause > maxPause {
		s.result.Late++
	}
	g.engine.usedTokens -= g.run.Tokens
	s.releaseMove(g)
}

// decode lets every generation that is not stopped produce its tokens.
func (s *simulation) decode() {
	for _, g := range s.generations {
		if g.paused {
			g.currentPause += tick
			g.longestPause = max(g.longestPause, g.currentPause)
			continue
		}
		if g.sinceToken += tick; g.sinceToken < stepDuration {
			continue
		}
		g.sinceToken = 0
		g.run.Left--
		g.run.Tokens++
		g.engine.usedTokens++
	}
	s.generations = slices.DeleteFunc(s.generations, func(g *generation) bool {
		if g.run.Left > 0 || g.paused {
			return false
		}
		s.complete(g)
		return true
	})
}

// reclaim gives notice to a share of the engines.
func (s *simulation) reclaim() {
	mean := s.scenario.ReclaimedShare * float64(len(s.engines))
	n := int(mean)
	if s.random.Float64() < mean-float64(n) {
		n++
	}
	for _, i := range s.random.Perm(len(s.engines))[:n] {
		if e := s.engines[i]; e.endsAt == 0 {
			e.endsAt = s.now + s.scenario.Notice
			s.evacuate(e)
		}
	}
}

// removeEngines ends engines whose notice is over, with all that still runs there, and
// replaces them some time later.
func (s *simulation) removeEngines() {
	for i, e := range s.engines {
		if e.endsAt == 0 || s.now < e.endsAt {
			continue
		}
		if s.now >= e.endsAt+replacementDelay {
			s.engines[i] = &engine{hall: e.hall}
			continue
		}
		s.generations = slices.DeleteFunc(s.generations, func(g *generation) bool {
			if g.engine != e {
				return false
			}
			s.result.Lost++
			s.releaseMove(g)
			return true
		})
	}
}

// mostFree returns the engine with most room among those that are not leaving and that
// allow lets through, with room for more tokens, or nil.
func (s *simulation) mostFree(tokens int, allow func(*engine) bool) *engine {
	var best *engine
	for _, e := range s.engines {
		if e.endsAt == 0 && allow(e) && e.free() >= tokens && (best == nil || e.free() > best.free()) {
			best = e
		}
	}
	return best
}

// step lets one tick pass.
func (s *simulation) step() {
	for s.now >= s.nextArrivalAt {
		s.arrive()
		s.nextArrivalAt += s.interarrivalTime()
	}
	if s.now >= s.nextReclaimAt {
		s.reclaim()
		s.nextReclaimAt += reclaimInterval
	}
	s.advanceTransfers()
	s.decode()
	s.removeEngines()
	s.now += tick
}

// free returns how many tokens an engine can still take.
func (e *engine) free() int {
	return engineCapacity - e.usedTokens - e.reservedTokens
}
