// Package measure compares the policy with the naive baseline. It runs the
// policy's own code for several boxes against the engine stand-in's own
// scheduling code, in virtual time and from fixed seeds. Between them it puts
// only a fixed delay of messages and late reports; it is no network simulator.
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

// Scenario is what one run is made of.
type Scenario struct {
	Bursty         bool // the rate swings between half and one and a half
	DoubleOutputs  bool // outputs double half way
	HideKind       bool // callers do not name the kind
	Load           float64
	CrashEngine    bool // one engine dies for a while
	DropReports    bool // no report comes for a while
	Mix            *Mix
	Naive          bool
	Period         time.Duration
	SaturationRate float64 // requests a second at saturation
	Seed           uint64
	Tuning         policy.Tuning
}

// simulation is one run.
type simulation struct {
	boxes     []*entryBox
	engines   []*modelEngine
	events    eventHeap
	now       time.Time
	sequence  int
	random    *rand.Rand
	requests  []*request
	scenario  *Scenario
	start     time.Time
	tokenGaps gapHistogram
	tokens    int64
	asks      int64
	retries   int64
}

// request is one request on its way.
type request struct {
	box          *entryBox
	deadline     time.Time
	firstTokenAt time.Time // token
	generation   *engine.Generation
	kindIndex    int
	lastTokenAt  time.Time // token
	outputTokens int
	engine       *modelEngine // where it runs or waits
	state        state
	stallTime    time.Duration
	tried        map[string]bool
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
	maxAsks          = 3
	boxCount         = 8
	burstPeriod      = 60 * time.Second
	engineCount      = 9
	faultStart       = 300 * time.Second
	faultEnd         = 420 * time.Second
	messageDelay     = 1500 * time.Microsecond
	modelName        = "tiller-llm"
	progressInterval = 500 * time.Millisecond
	reportInterval   = time.Second
	reportDelay      = time.Second
	reportsResume    = 330 * time.Second
	rerouteInterval  = time.Second
	stallThreshold   = 40 * time.Millisecond
	dispatchInterval = 20 * time.Millisecond
)

var capacity = policy.Capacity{KVTokens: engine.DefaultSettings().KVTokens, MaxBatch: 128}

// Run runs a scenario and returns what it measured.
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

// after does f once d has passed.
func (s *simulation) after(d time.Duration, f func()) {
	s.sequence++
	heap.Push(&s.events, &event{at: s.now.Add(d), do: f, sequence: s.sequence})
}

// arrive brings one request to one box.
func (s *simulation) arrive() {
	s.after(s.nextArrival(), s.arrive)
	m := s.scenario.Mix
	k, x := m.sample(s.random)
	kind := &m.Kinds[k]
	r := &request{box: s.boxes[s.random.IntN(len(s.boxes))], kindIndex: k, state: stateQueued, tried: make(map[string]bool)}
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

// every does f again and again, first after a part of d that differs from call
// to call.
func (s *simulation) every(d time.Duration, f func()) {
	var tick func()
	tick = func() {
		f()
		s.after(d, tick)
	}
	s.after(time.Duration(s.random.Float64()*float64(d)), tick)
}

// nextArrival draws the time to the next arrival.
func (s *simulation) nextArrival() time.Duration {
	c := s.scenario
	rate := c.Load * c.SaturationRate
	if c.Bursty {
		p := float64(s.now.Sub(s.start)%burstPeriod) / float64(burstPeriod)
		rate *= 1 + 0.5*math.Copysign(1, 0.5-p)
	}
	return time.Duration(s.random.ExpFloat64() / rate * float64(time.Second))
}
