package measure

import (
	"time"

	"github.com/linetiller/linetiller/internal/fake/engine"
	"github.com/linetiller/linetiller/internal/policy"
)

// modelEngine is a simulated engine, with the owner that decides which requests start on it.
type modelEngine struct {
	box             *entryBox // box that hosts the owner
	busy            bool      // a step is in progress
	down            bool
	epoch           int // incremented when it crashes, to invalidate the step in progress
	index           int
	lostPreemptions int64 // preemptions counted by the schedulers that crashes discarded
	name            string
	owner           *policy.Owner
	scheduler       *engine.Scheduler
	step            time.Duration // duration of the latest step
}

// crash terminates an engine and everything that runs or is queued on it. Requests that have not
// delivered a token are retried on other engines; the others are interrupted.
func (s *simulation) crash(e *modelEngine) {
	e.down = true
	e.busy = false
	e.epoch++
	e.lostPreemptions += e.scheduler.Preemptions
	e.scheduler = engine.NewScheduler(engine.DefaultSettings())
	for _, r := range s.requests {
		if r.engine != e || (r.state != stateRunning && r.state != stateQueued) {
			continue
		}
		if !s.scenario.Naive {
			e.owner.Cancel(r.work.ID, s.now)
			e.owner.Finish(r.work.ID, 0, false, s.now)
		}
		if !r.firstTokenAt.IsZero() {
			r.state = stateInterrupted
			continue
		}
		s.retries++
		r.state, r.generation = stateQueued, nil
		s.route(r)
	}
}

// emit records the delivery of a token to a client, and its time since the previous one.
func (s *simulation) emit(e *modelEngine, g *engine.Generation, finished bool, at time.Time) {
	r := g.UserData.(*request)
	s.tokens++
	if r.firstTokenAt.IsZero() {
		r.firstTokenAt = at
	} else {
		d := at.Sub(r.lastTokenAt)
		s.tokenGaps.add(d)
		r.stallTime += max(0, d-stallThreshold)
	}
	r.lastTokenAt = at
	if !finished {
		return
	}
	r.state = stateFinished
	if !s.scenario.Naive {
		s.after(messageDelay, func() {
			e.owner.Finish(r.work.ID, g.ProducedTokens, true, s.now)
			s.dispatch(e)
		})
	}
}

// reportLoad sends the load report of an engine, which arrives after reportDelay. It is lost if the engine
// is down or the scenario drops reports.
func (s *simulation) reportLoad(e *modelEngine) {
	at := s.now
	if e.down || (s.scenario.DropReports && at.Sub(s.start) >= faultStart && at.Sub(s.start) < reportsResume) {
		return
	}
	r := policy.Report{
		AsOf: at, Preemptions: e.scheduler.Preemptions, Running: e.scheduler.RunningCount(),
		StepSeconds: e.step.Seconds(), UsedTokens: e.scheduler.UsedTokens, Waiting: e.scheduler.WaitingCount(),
	}
	s.after(reportDelay, func() {
		if !s.scenario.Naive {
			e.owner.SetReport(r, s.now)
			return
		}
		for _, b := range s.boxes {
			b.naive.SetReport(e.name, r)
		}
	})
}

// restart brings a crashed engine back with a new owner.
func (s *simulation) restart(e *modelEngine) {
	e.down = false
	e.owner = policy.NewOwner(e.name, capacity, e.box.lengths, s.now, policy.WithTuning(s.scenario.Tuning))
}

// startStep computes the next step of an engine, and emits its tokens and starts the following step
// after the duration of the step.
func (s *simulation) startStep(e *modelEngine) {
	if e.down || e.scheduler.Idle() {
		e.busy = false
		return
	}
	e.busy = true
	type token struct {
		finished   bool
		generation *engine.Generation
	}
	var out []token
	d := e.scheduler.Step(func(g *engine.Generation, finished bool) { out = append(out, token{finished, g}) })
	e.step = d
	epoch := e.epoch
	s.after(d, func() {
		if e.epoch != epoch {
			return
		}
		for _, t := range out {
			s.emit(e, t.generation, t.finished, s.now)
		}
		s.startStep(e)
	})
}
