package measure

import (
	"fmt"

	"github.com/linetiller/linetiller/internal/fake/engine"
	"github.com/linetiller/linetiller/internal/policy"
)

// entryBox is one entry box with its own view of the upstreams.
type entryBox struct {
	lengths *policy.Lengths
	naive   *policy.Naive
	router  *policy.Router
}

// answer takes an owner's answer to the box that asked.
func (w *world) answer(r *request, e *modelEngine, a policy.Answer) {
	if r.state != stateQueued || r.place != e {
		return
	}
	switch a.Verdict {
	case policy.VerdictStart:
		w.submit(r, e)
	case policy.VerdictRefuse:
		r.tried[e.name] = true
		if len(r.tried) >= asksMost {
			r.state = stateRefused
			return
		}
		w.place(r)
	case policy.VerdictQueue:
	}
}

// answerAll hands out the places that an owner has now.
func (w *world) answerAll(e *modelEngine) {
	if e.dead {
		return
	}
	for _, a := range e.owner.Dispatch(w.now) {
		r := w.byID(a.ID)
		w.after(messageDelay, func() { w.answer(r, e, a) })
	}
}

// ask asks an engine's owner for a place.
func (w *world) ask(r *request, e *modelEngine) {
	if e == nil {
		r.state = stateRefused
		return
	}
	r.place = e
	w.asks++
	w.after(messageDelay, func() {
		if e.dead {
			w.place(r)
			return
		}
		a, l := e.owner.Ask(&r.work, w.now), e.owner.Load(w.now)
		w.after(messageDelay, func() {
			r.box.router.UpdateLoad(l)
			w.answer(r, e, a)
		})
	})
}

func (w *world) byID(id string) *request {
	n := 0
	_, _ = fmt.Sscanf(id, "r%d", &n)
	return w.requests[n]
}

func (w *world) candidates() []policy.Candidate {
	l := make([]policy.Candidate, 0, len(w.engines))
	for _, e := range w.engines {
		if !e.dead {
			l = append(l, policy.Candidate{Capacity: capacity, Name: e.name})
		}
	}
	return l
}

func (w *world) engineNamed(n string) *modelEngine {
	for _, e := range w.engines {
		if e.name == n {
			return e
		}
	}
	return nil
}

// place finds a place for a request that has none.
func (w *world) place(r *request) {
	if w.scenario.Naive {
		w.submit(r, w.engineNamed(r.box.naive.Choose(w.candidates(), func(string) bool { return true })))
		return
	}
	n := r.box.router.Choose(&r.work, w.candidates(), w.now, func(n string) bool { return !r.tried[n] })
	w.ask(r, w.engineNamed(n))
}

// progress tells an owner how far its generations are, and the boxes its load.
func (w *world) progress(e *modelEngine) {
	if e.dead {
		return
	}
	told := make(map[*entryBox]bool)
	e.scheduler.Each(func(g *engine.Generation) {
		r := g.UserData.(*request)
		told[r.box] = true
		e.owner.Progress(r.work.ID, g.Produced, w.now)
	})
	l := e.owner.Load(w.now)
	for b := range told {
		b.router.UpdateLoad(l)
	}
}

// reroute moves waiting requests to upstreams at which they would wait less.
func (w *world) reroute() {
	for _, r := range w.requests {
		if r.state != stateQueued || r.place == nil {
			continue
		}
		n := r.box.router.BetterUpstream(&r.work, r.place.name, w.candidates(), w.now)
		if n == "" || r.tried[n] {
			continue
		}
		r.place.owner.Cancel(r.work.ID, w.now)
		w.ask(r, w.engineNamed(n))
	}
}

func (w *world) submit(r *request, e *modelEngine) {
	if e == nil || e.dead {
		w.retries++
		w.place(r)
		return
	}
	r.state, r.place = stateRunning, e
	r.generation = &engine.Generation{
		UserData: r, ID: r.work.ID, MaxOutput: r.work.MaxTokens, OutputLength: r.output, Prefix: r.work.Prefix, Priority: r.work.Priority, Prompt: r.work.Prompt,
	}
	e.scheduler.Submit(r.generation)
	if !e.busy {
		w.run(e)
	}
}
