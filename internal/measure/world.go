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
	Bursty      bool // the rate swings between half and one and a half
	Doubling    bool // outputs double half way
	Hidden      bool // callers do not name the kind
	Load        float64
	LoseEngine  bool // one engine dies for a while
	LoseReports bool // no report comes for a while
	Mix         *Mix
	Naive       bool
	Period      time.Duration
	Rate        float64 // requests a second at saturation
	Seed        uint64
	Tuning      policy.Tuning
}

// world is one run.
type world struct {
	boxes    []*entryBox
	engines  []*modelEngine
	events   events
	now      time.Time
	number   int
	random   *rand.Rand
	requests []*request
	scenario *Scenario
	start    time.Time
	gaps     gaps
	tokens   int64
	asks     int64
	retries  int64
}

// request is one request on its way.
type request struct {
	box        *entryBox
	deadline   time.Time
	first      time.Time // token
	generation *engine.Generation
	kind       int
	last       time.Time // token
	output     int
	place      *modelEngine // where it runs or waits
	state      state
	stall      time.Duration
	tried      map[string]bool
	work       policy.Work
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
	asksMost      = 3
	boxCount      = 8
	burstPeriod   = 60 * time.Second
	engineCount   = 9
	faultBegins   = 300 * time.Second
	faultEnds     = 420 * time.Second
	messageDelay  = 1500 * time.Microsecond
	modelName     = "tiller-llm"
	progressEvery = 500 * time.Millisecond
	reportEvery   = time.Second
	reportLag     = time.Second
	reportsBack   = 330 * time.Second
	rerouteEvery  = time.Second
	stallTarget   = 40 * time.Millisecond
	tickEvery     = 20 * time.Millisecond
)

var capacity = policy.Capacity{KVTokens: engine.DefaultSettings().KVTokens, MaxBatch: 128}

// Run runs a scenario and returns what it measured.
func Run(s *Scenario) *Result {
	w := newWorld(s)
	end := w.start.Add(s.Period)
	for len(w.events) > 0 && w.events[0].at.Before(end) {
		e := heap.Pop(&w.events).(*event)
		w.now = e.at
		e.do()
	}
	w.now = end
	return w.result()
}

func newWorld(s *Scenario) *world {
	w := &world{now: time.Unix(1_000_000, 0), random: rand.New(rand.NewPCG(s.Seed, 1)), scenario: s}
	w.start = w.now
	for i := range boxCount {
		l := policy.NewLengths()
		w.boxes = append(w.boxes, &entryBox{
			lengths: l, naive: policy.NewNaive(s.Seed*100 + uint64(i)), router: policy.NewRouter(l, s.Seed*100+uint64(i)),
		})
	}
	for i := range engineCount {
		b := w.boxes[i%boxCount]
		n := fmt.Sprintf("engine-%d", i+1)
		e := &modelEngine{box: b, index: i, name: n, scheduler: engine.NewScheduler(engine.DefaultSettings())}
		e.owner = policy.NewOwner(n, capacity, b.lengths, w.now, policy.WithTuning(s.Tuning))
		w.engines = append(w.engines, e)
		w.every(reportEvery, func() { w.report(e) })
		if !s.Naive {
			w.every(tickEvery, func() { w.answerAll(e) })
			w.every(progressEvery, func() { w.progress(e) })
		}
	}
	if !s.Naive {
		w.every(rerouteEvery, w.reroute)
	}
	if s.LoseEngine {
		w.after(faultBegins, func() { w.die(w.engines[2]) })
		w.after(faultEnds, func() { w.revive(w.engines[2]) })
	}
	w.after(w.nextArrival(), w.arrive)
	return w
}

// after does f once d has passed.
func (w *world) after(d time.Duration, f func()) {
	w.number++
	heap.Push(&w.events, &event{at: w.now.Add(d), do: f, number: w.number})
}

// arrive brings one request to one box.
func (w *world) arrive() {
	w.after(w.nextArrival(), w.arrive)
	m := w.scenario.Mix
	k, x := m.draw(w.random)
	kind := &m.Kinds[k]
	r := &request{box: w.boxes[w.random.IntN(len(w.boxes))], kind: k, state: stateQueued, tried: make(map[string]bool)}
	r.output = logNormal(w.random, kind.Output, kind.OutputSpread, 1, kind.Bound)
	if w.scenario.Doubling && w.now.Sub(w.start) > w.scenario.Period/2 {
		r.output = min(kind.Bound, 2*r.output)
	}
	r.deadline = w.now.Add(kind.Deadline)
	r.work = policy.Work{
		Arrived: w.now, Deadline: r.deadline, ID: fmt.Sprintf("r%d", len(w.requests)), Kind: kind.Name,
		MaxTokens: kind.Bound, Model: modelName, Prefix: uint64(1 + 1000*k + x*100 + w.random.IntN(kind.Prefixes)),
		Priority: kind.Priority, Prompt: logNormal(w.random, kind.Prompt, kind.PromptSpread, 8, 8000), Workspace: fmt.Sprintf("w%d", x),
	}
	if w.scenario.Hidden {
		r.work.Kind = ""
	}
	w.requests = append(w.requests, r)
	w.place(r)
}

// every does f again and again, first after a part of d that differs from call
// to call.
func (w *world) every(d time.Duration, f func()) {
	var again func()
	again = func() {
		f()
		w.after(d, again)
	}
	w.after(time.Duration(w.random.Float64()*float64(d)), again)
}

// nextArrival draws the time to the next arrival.
func (w *world) nextArrival() time.Duration {
	s := w.scenario
	rate := s.Load * s.Rate
	if s.Bursty {
		p := float64(w.now.Sub(w.start)%burstPeriod) / float64(burstPeriod)
		rate *= 1 + 0.5*math.Copysign(1, 0.5-p)
	}
	return time.Duration(w.random.ExpFloat64() / rate * float64(time.Second))
}
