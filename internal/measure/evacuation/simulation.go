// Package evacuation simulates, in virtual time, how many running generations survive the
// reclamation of their engines after a notice. It compares coordinated moves, for which the owner of
// an engine grants one move slot at a time, with boxes that each move their own generations
// immediately.
//
// It models engines, their network links and output lengths. The order of coordinated moves
// comes from the production policy code. The network is not simulated otherwise: calls between
// boxes take no time.
package evacuation

import (
	"math"
	"math/rand/v2"
	"slices"
	"strconv"
	"time"

	"github.com/linetiller/linetiller/internal/policy"
)

// Scenario holds the parameters of one simulation run.
type Scenario struct {
	Uncoordinated  bool          // each box moves its own generations immediately
	Notice         time.Duration // time between an engine's notice and its termination
	Period         time.Duration // virtual duration of the run
	Seed           uint64
	ReclaimedShare float64 // share of the engines that is reclaimed at each reclamation
}

// Result counts the outcomes of the generations.
type Result struct {
	Completed int // generations that ran to completion
	Late      int // completed generations that were paused for longer than maxPause
	Lost      int // generations that were terminated with their engine
	Moves     int // completed moves
}

// Parameters of the simulated site, with its arrivals, engines and links.
const (
	arrivalsPerSecond = 3.43                  // generations
	copyTimePerToken  = 54 * time.Microsecond // 3,500 tokens in 0.19 s within a hall
	engineCapacity    = 34545                 // tokens
	enginesPerHall    = 3
	halls             = 3
	crossHallFactor   = 2                      // factor by which a copy to another hall takes longer
	outputMean        = 944                    // tokens
	outputSigma       = 0.5                    // standard deviation of the logarithm of the output length
	maxPause          = 180 * time.Millisecond // a generation that pauses for longer counts as late
	promptTokens      = 3079
	reclaimInterval   = 3300 * time.Millisecond
	replacementDelay  = 4 * time.Second       // from the termination of an engine until its replacement is up
	stepDuration      = 10 * time.Millisecond // time between two tokens of a generation
	tick              = time.Millisecond
)

// simulation is the state of one run.
type simulation struct {
	nextArrivalAt time.Duration // arrival time of the next generation
	transfers     []*transfer   // queued or in progress, in the order of their requests
	engines       []*engine
	now           time.Duration // virtual time since the start
	lastID        int           // ID of the latest generation
	random        *rand.Rand
	nextReclaimAt time.Duration // time of the next reclamation
	result        Result
	generations   []*generation
	scenario      *Scenario
}

// engine is a model engine with its full-duplex network link.
type engine struct {
	endsAt         time.Duration // time of its termination; 0 without a notice
	hall           int
	reservedTokens int  // capacity reserved for generations that are being copied to it
	sending        bool // a transfer occupies the outbound direction of its link
	receiving      bool // a transfer occupies the inbound direction of its link
	usedTokens     int
}

// generation is a running generation.
type generation struct {
	engine         *engine
	sinceLastToken time.Duration // decoding time since its last token
	move           *transfer     // nil while it is not being moved
	longestPause   time.Duration
	paused         bool
	currentPause   time.Duration // duration of the latest pause so far
	run            policy.Run
}

// transfer is a copy of the KV cache of a generation to another engine, in two parts: a first copy
// while the generation runs, and the remainder after it has been paused.
type transfer struct {
	copiedTokens   int // tokens that the target already holds
	from           *engine
	remaining      time.Duration // time until the current part has arrived; 0 while the part is queued
	partTokens     int           // tokens of the current part
	reservedTokens int           // tokens reserved at the target
	generation     *generation
	to             *engine
}

// Run runs a scenario and returns the outcomes of its generations.
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

// arrive starts a generation at the engine with the most free capacity among those without a notice.
// It drops the generation if every engine has a notice.
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

// complete counts a generation that has produced its whole output, and releases its memory.
func (s *simulation) complete(g *generation) {
	s.result.Completed++
	if g.longestPause > maxPause {
		s.result.Late++
	}
	g.engine.usedTokens -= g.run.Tokens
	s.releaseMove(g)
}

// decode advances every generation by one tick: paused ones accumulate pause time, the others
// produce tokens.
func (s *simulation) decode() {
	for _, g := range s.generations {
		if g.paused {
			g.currentPause += tick
			g.longestPause = max(g.longestPause, g.currentPause)
			continue
		}
		if g.sinceLastToken += tick; g.sinceLastToken < stepDuration {
			continue
		}
		g.sinceLastToken = 0
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

// interarrivalTime draws the exponentially distributed time until the next arrival.
func (s *simulation) interarrivalTime() time.Duration {
	return time.Duration(s.random.ExpFloat64() / arrivalsPerSecond * float64(time.Second))
}

// mostFree returns the engine with the most free capacity among those that have no notice, that
// allow accepts, and that have room for the given number of tokens. It returns nil if there is none.
func (s *simulation) mostFree(tokens int, allow func(*engine) bool) *engine {
	var best *engine
	for _, e := range s.engines {
		if e.endsAt == 0 && allow(e) && e.free() >= tokens && (best == nil || e.free() > best.free()) {
			best = e
		}
	}
	return best
}

// reclaim gives notice to the reclaimed share of the engines. Fractions of an engine are rounded at
// random, so that the mean is exact.
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

// removeEngines terminates the engines whose notice has expired, together with the generations that
// still run on them, and replaces the engines after the replacement delay.
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

// step advances the simulation by one tick.
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

// free returns the capacity that is neither used nor reserved, in tokens.
func (e *engine) free() int {
	return engineCapacity - e.usedTokens - e.reservedTokens
}
