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

// handleAnswer takes an owner's answer to the box that asked.
func (s *simulation) handleAnswer(r *request, e *modelEngine, a policy.Answer) {
	if r.state != stateQueued || r.engine != e {
		return
	}
	switch a.Verdict {
	case policy.VerdictStart:
		s.submit(r, e)
	case policy.VerdictRefuse:
		r.tried[e.name] = true
		if len(r.tried) >= maxAsks {
			r.state = stateRefused
			return
		}
		s.route(r)
	case policy.VerdictQueue:
	}
}

// dispatch hands out the places that an owner has now.
func (s *simulation) dispatch(e *modelEngine) {
	if e.dead {
		return
	}
	for _, a := range e.owner.Dispatch(s.now) {
		r := s.requestByID(a.ID)
		s.after(messageDelay, func() { s.handleAnswer(r, e, a) })
	}
}

// ask asks an engine's owner for a place.
func (s *simulation) ask(r *request, e *modelEngine) {
	if e == nil {
		r.state = stateRefused
		return
	}
	r.engine = e
	s.asks++
	s.after(messageDelay, func() {
		if e.dead {
			s.route(r)
			return
		}
		a, l := e.owner.Ask(&r.work, s.now), e.owner.Load(s.now)
		s.after(messageDelay, func() {
			r.box.router.UpdateLoad(l)
			s.handleAnswer(r, e, a)
		})
	})
}

func (s *simulation) requestByID(id string) *request {
	n := 0
	_, _ = fmt.Sscanf(id, "r%d", &n)
	return s.requests[n]
}

func (s *simulation) candidates() []policy.Candidate {
	l := make([]policy.Candidate, 0, len(s.engines))
	for _, e := range s.engines {
		if !e.dead {
			l = append(l, policy.Candidate{Capacity: capacity, Name: e.name})
		}
	}
	return l
}

func (s *simulation) engineByName(n string) *modelEngine {
	for _, e := range s.engines {
		if e.name == n {
			return e
		}
	}
	return nil
}

// route finds a place for a request that has none.
func (s *simulation) route(r *request) {
	if s.scenario.Naive {
		s.submit(r, s.engineByName(r.box.naive.Choose(s.candidates(), func(string) bool { return true })))
		return
	}
	n := r.box.router.Choose(&r.work, s.candidates(), s.now, func(n string) bool { return !r.tried[n] })
	s.ask(r, s.engineByName(n))
}

// reportProgress tells an owner how far its generations are, and the boxes its load.
func (s *simulation) reportProgress(e *modelEngine) {
	if e.dead {
		return
	}
	notified := make(map[*entryBox]bool)
	e.scheduler.Each(func(g *engine.Generation) {
		r := g.UserData.(*request)
		notified[r.box] = true
		e.owner.Progress(r.work.ID, g.Produced, s.now)
	})
	l := e.owner.Load(s.now)
	for b := range notified {
		b.router.UpdateLoad(l)
	}
}

// reroute moves waiting requests to upstreams at which they would wait less.
func (s *simulation) reroute() {
	for _, r := range s.requests {
		if r.state != stateQueued || r.engine == nil {
			continue
		}
		n := r.box.router.BetterUpstream(&r.work, r.engine.name, s.candidates(), s.now)
		if n == "" || r.tried[n] {
			continue
		}
		r.engine.owner.Cancel(r.work.ID, s.now)
		s.ask(r, s.engineByName(n))
	}
}

func (s *simulation) submit(r *request, e *modelEngine) {
	if e == nil || e.dead {
		s.retries++
		s.route(r)
		return
	}
	r.state, r.engine = stateRunning, e
	r.generation = &engine.Generation{
		UserData: r, ID: r.work.ID, MaxOutput: r.work.MaxTokens, OutputLength: r.outputTokens, Prefix: r.work.Prefix, Priority: r.work.Priority, Prompt: r.work.Prompt,
	}
	e.scheduler.Submit(r.generation)
	if !e.busy {
		s.startStep(e)
	}
}
