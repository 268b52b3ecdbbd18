// Package measure compares the scheduling policy with a naive baseline. It runs the production policy
// code of several boxes against the scheduler of the fake engine, in virtual time and with fixed
// seeds. The network is modelled only by a constant message delay and by delayed load reports.
package measure

import (
	"container/heap"
	"fmt"
	"math"
	"math/rand/v2"
	"time"

	"github.com/linetiller/linetiller/internal/fake/engine"
	"github.com/linetiller/linetiller/internal/policy"
)

// Scenario holds the parameters of one simulation run.
type Scenario struct {
	Bursty         bool    // the request rate alternates between 0.5 and 1.5 times the mean
	DoubleOutputs  bool    // outputs are twice as long in the second half of the run
	HideKind       bool    // requests do not state their kind
	Load           float64 // request rate as a multiple of SaturationRate
	CrashEngine    bool    // one engine is down from faultStart to faultEnd
	DropReports    bool    // load reports are lost from faultStart to reportsResume
	Mix            *Mix
	Naive          bool          // use the naive baseline instead of the policy
	Period         time.Duration // virtual duration of the run
	SaturationRate float64       // requests per second at which the engines are saturated
	Seed           uint64
	Tuning         policy.Tuning
}

// simulation is the state of one run.
type simulation struct {
	boxes             []*entryBox
	engines           []*modelEngine
	events            eventHeap
	now               time.Time
	sequence          int // number of the latest event
	random            *rand.Rand
	requests          []*request
	scenario          *Scenario
	start             time.Time
	tokenGaps         gapHistogram
	tokens            int64 // tokens delivered to clients
	placementRequests int64 // placement requests to owners
	retries           int64 // attempts made again because an engine was down
}

// request is a simulated request with its state.
type request struct {
	box          *entryBox
	deadline     time.Time
	firstTokenAt time.Time // zero before the first token
	generation   *engine.Generation
	kindIndex    int // index into Mix.Kinds
	lastTokenAt  time.Time
	outputTokens int          // tokens after which it ends by itself
	engine       *modelEngine // engine at which it runs or is queued
	state        state
	stallTime    time.Duration   // sum of the excess of token gaps over stallThreshold
	refusedBy    map[string]bool // names of the engines that refused it
	work         policy.Work
}

type state string

const (
	stateFinished    state = "finished"
	stateInterrupted state = "interrupted"
	stateQueued      state = "queued"
	stateRefused     state = "refused"
	stateRunning     state = "running"
)

const (
	maxRefusals      = 3 // number of engines after whose refusals a request is refused
	boxCount         = 8
	burstPeriod      = 60 * time.Second // one cycle of a high and a low request rate
	engineCount      = 9
	faultStart       = 300 * time.Second // since the start of the run, as are faultEnd and reportsResume
	faultEnd         = 420 * time.Second
	messageDelay     = 1500 * time.Microsecond // one-way delay of a message
	modelName        = "tiller-llm"
	progressInterval = 500 * time.Millisecond // between progress reports of an engine to its owner
	reportInterval   = time.Second            // between load reports of an engine
	reportDelay      = time.Second            // age of a load report on arrival
	reportsResume    = 330 * time.Second
	rerouteInterval  = time.Second           // between checks whether queued requests would wait less elsewhere
	stallThreshold   = 40 * time.Millisecond // the time between tokens beyond this is stall time
	dispatchInterval = 20 * time.Millisecond // between an owner's checks for queued requests to start
)

// capacity is the capacity of every engine, with at most 128 generations at a time.
var capacity = policy.Capacity{KVTokens: engine.DefaultSettings().KVTokens, MaxBatch: 128}

// Run runs a scenario and returns its metrics.
func Run(c *Scenario) *Result {
	s := newSimulation(c)
	end := s.start.Add(c.Period)
	for len(s.events) > 0 && s.events[0].at.Before(end) {
		e := heap.Pop(&s.events).(*event)
		s.now = e.at
		e.do()
	}
	s.now = end
	return s.result()
}

func newSimulation(c *Scenario) *simulation {
	s := &simulation{now: time.Unix(1_000_000, 0), random: rand.New(rand.NewPCG(c.Seed, 1)), scenario: c}
	s.start = s.now
	for i := range boxCount {
		l := policy.NewLengths()
		s.boxes = append(s.boxes, &entryBox{
			lengths: l, naive: policy.NewNaive(c.Seed*100 + uint64(i)), router: policy.NewRouter(l, c.Seed*100+uint64(i)),
		})
	}
	for i := range engineCount {
		b := s.boxes[i%boxCount]
		n := fmt.Sprintf("engine-%d", i+1)
		e := &modelEngine{box: b, index: i, name: n, scheduler: engine.NewScheduler(engine.DefaultSettings())}
		e.owner = policy.NewOwner(n, capacity, b.lengths, s.now, policy.WithTuning(c.Tuning))
		s.engines = append(s.engines, e)
		s.every(reportInterval, func() { s.reportLoad(e) })
		if !c.Naive {
			s.every(dispatchInterval, func() { s.dispatch(e) })
			s.every(progressInterval, func() { s.reportProgress(e) })
		}
	}
	if !c.Naive {
		s.every(rerouteInterval, s.reroute)
	}
	if c.CrashEngine {
		s.after(faultStart, func() { s.crash(s.engines[2]) })
		s.after(faultEnd, func() { s.restart(s.engines[2]) })
	}
	s.after(s.nextArrival(), s.arrive)
	return s
}

// after calls f when d has passed.
func (s *simulation) after(d time.Duration, f func()) {
	s.sequence++
	heap.Push(&s.events, &event{at: s.now.Add(d), do: f, sequence: s.sequence})
}

// arrive schedules the next arrival, and generates a request at a random box.
func (s *simulation) arrive() {
	s.after(s.nextArrival(), s.arrive)
	m := s.scenario.Mix
	k, x := m.sample(s.random)
	kind := &m.Kinds[k]
	r := &request{box: s.boxes[s.random.IntN(len(s.boxes))], kindIndex: k, state: stateQueued, refusedBy: make(map[string]bool)}
	r.outputTokens = logNormal(s.random, kind.MedianOutput, kind.OutputSigma, 1, kind.MaxTokens)
	if s.scenario.DoubleOutputs && s.now.Sub(s.start) > s.scenario.Period/2 {
		r.outputTokens = min(kind.MaxTokens, 2*r.outputTokens)
	}
	r.deadline = s.now.Add(kind.Deadline)
	r.work = policy.Work{
		Arrived: s.now, Deadline: r.deadline, ID: fmt.Sprintf("r%d", len(s.requests)), Kind: kind.Name,
		MaxTokens: kind.MaxTokens, Model: modelName, Prefix: uint64(1 + 1000*k + x*100 + s.random.IntN(kind.Prefixes)),
		Priority: kind.Priority, Prompt: logNormal(s.random, kind.MedianPrompt, kind.PromptSigma, 8, 8000), Workspace: fmt.Sprintf("w%d", x),
	}
	if s.scenario.HideKind {
		r.work.Kind = ""
	}
	s.requests = append(s.requests, r)
	s.route(r)
}

// every calls f periodically. The first call comes after a random fraction of d, so that periodic
// events do not coincide.
func (s *simulation) every(d time.Duration, f func()) {
	var tick func()
	tick = func() {
		f()
		s.after(d, tick)
	}
	s.after(time.Duration(s.random.Float64()*float64(d)), tick)
}

// nextArrival draws the exponentially distributed time until the next arrival.
func (s *simulation) nextArrival() time.Duration {
	c := s.scenario
	rate := c.Load * c.SaturationRate
	if c.Bursty {
		p := float64(s.now.Sub(s.start)%burstPeriod) / float64(burstPeriod)
		rate *= 1 + 0.5*math.Copysign(1, 0.5-p)
	}
	return time.Duration(s.random.ExpFloat64() / rate * float64(time.Second))
}
