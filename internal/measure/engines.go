package measure

import (
	"time"

	"github.com/linetiller/linetiller/internal/fake/engine"
	"github.com/linetiller/linetiller/internal/policy"
)

// modelEngine is one engine, with the owner that decides what starts there.
type modelEngine struct {
	box       *entryBox // that owns it
	busy      bool
	dead      bool
	epoch     int // rises when it dies, so that steps under way count for nothing
	index     int
	lost      int64 // preemptions of schedulers that died
	name      string
	owner     *policy.Owner
	scheduler *engine.Scheduler
	step      time.Duration
}

// die ends an engine and all that it ran. What had not delivered a token is
// tried elsewhere; the rest is interrupted.
func (w *world) die(e *modelEngine) {
	e.dead = true
	e.busy = false
	e.epoch++
	e.lost += e.scheduler.Preemptions
	e.scheduler = engine.NewScheduler(engine.DefaultSettings())
	for _, r := range w.requests {
		if r.place != e || (r.state != stateRunning && r.state != stateQueued) {
			continue
		}
		if !w.scenario.Naive {
			e.owner.Cancel(r.work.ID, w.now)
			e.owner.Finish(r.work.ID, 0, false, w.now)
		}
		if !r.first.IsZero() {
			r.state = stateInterrupted
			continue
		}
		w.retries++
		r.state, r.generation = stateQueued, nil
		w.place(r)
	}
}

// emit takes one token from an engine to its client.
func (w *world) emit(e *modelEngine, g *engine.Generation, finished bool, at time.Time) {
	r := g.UserData.(*request)
	w.tokens++
	if r.first.IsZero() {
		r.first = at
	} else {
		d := at.Sub(r.last)
		w.gaps.add(d)
		r.stall += max(0, d-stallTarget)
	}
	r.last = at
	if !finished {
		return
	}
	r.state = stateFinished
	if !w.scenario.Naive {
		w.after(messageDelay, func() {
			e.owner.Finish(r.work.ID, g.Produced, true, w.now)
			w.answerAll(e)
		})
	}
}

// report sends the engine's report, which comes late or not at all.
func (w *world) report(e *modelEngine) {
	at := w.now
	if e.dead || (w.scenario.LoseReports && at.Sub(w.start) >= faultBegins && at.Sub(w.start) < reportsBack) {
		return
	}
	r := policy.Report{
		AsOf: at, Preemptions: e.scheduler.Preemptions, Running: e.scheduler.Running(),
		StepSeconds: e.step.Seconds(), UsedTokens: e.scheduler.UsedTokens, Waiting: e.scheduler.Waiting(),
	}
	w.after(reportLag, func() {
		if !w.scenario.Naive {
			e.owner.SetReport(r, w.now)
			return
		}
		for _, b := range w.boxes {
			b.naive.SetReport(e.name, r)
		}
	})
}

func (w *world) revive(e *modelEngine) {
	e.dead = false
	e.owner = policy.NewOwner(e.name, capacity, e.box.lengths, w.now, policy.WithTuning(w.scenario.Tuning))
}

// run computes an engine's next step and emits its tokens when that has taken
// its time.
func (w *world) run(e *modelEngine) {
	if e.dead || e.scheduler.Idle() {
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
	w.after(d, func() {
		if e.epoch != epoch {
			return
		}
		for _, t := range out {
			w.emit(e, t.generation, t.finished, w.now)
		}
		w.run(e)
	})
}
