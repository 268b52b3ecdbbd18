package measure

import (
	"fmt"

	"github.com/linetiller/linetiller/internal/fake/engine"
	"github.com/linetiller/linetiller/internal/policy"
)

// entryBox is a box that accepts requests and routes them by the loads of the engines known to it.
type entryBox struct {
	lengths *policy.Lengths
	naive   *policy.Naive
	router  *policy.Router
}

// candidates returns the engines that are up.
func (s *simulation) candidates() []policy.Candidate {
	l := make([]policy.Candidate, 0, len(s.engines))
	for _, e := range s.engines {
		if !e.down {
			l = append(l, policy.Candidate{Capacity: capacity, Name: e.name})
		}
	}
	return l
}

// dispatch sends out the answers for the queued requests that an owner can decide now.
func (s *simulation) dispatch(e *modelEngine) {
	if e.down {
		return
	}
	for _, a := range e.owner.Dispatch(s.now) {
		r := s.requestByID(a.ID)
		s.after(messageDelay, func() { s.handleAnswer(r, e, a) })
	}
}

func (s *simulation) engineByName(n string) *modelEngine {
	for _, e := range s.engines {
		if e.name == n {
			return e
		}
	}
	return nil
}

// handleAnswer handles the answer of an owner to a placement request. It ignores the answer if the
// request is no longer queued at that engine.
func (s *simulation) handleAnswer(r *request, e *modelEngine, a policy.Answer) {
	if r.state != stateQueued || r.engine != e {
		return
	}
	switch a.Verdict {
	case policy.VerdictStart:
		s.submit(r, e)
	case policy.VerdictRefuse:
		r.refusedBy[e.name] = true
		if len(r.refusedBy) >= maxRefusals {
			r.state = stateRefused
			return
		}
		s.route(r)
	case policy.VerdictQueue:
	}
}

// reportProgress reports the tokens produced by each generation to the owner of an engine, and the load
// of the engine to the boxes whose requests it runs.
func (s *simulation) reportProgress(e *modelEngine) {
	if e.down {
		return
	}
	notified := make(map[*entryBox]bool)
	e.scheduler.Each(func(g *engine.Generation) {
		r := g.UserData.(*request)
		notified[r.box] = true
		e.owner.Progress(r.work.ID, g.ProducedTokens, s.now)
	})
	l := e.owner.Load(s.now)
	for b := range notified {
		b.router.UpdateLoad(l)
	}
}

// requestByID returns the request with an ID, which is the letter r and its index in requests.
func (s *simulation) requestByID(id string) *request {
	n := 0
	_, _ = fmt.Sscanf(id, "r%d", &n)
	return s.requests[n]
}

// requestPlacement sends a placement request to the owner of an engine. Without an engine, the request
// is refused. If the engine is down on arrival, the request is routed again.
func (s *simulation) requestPlacement(r *request, e *modelEngine) {
	if e == nil {
		r.state = stateRefused
		return
	}
	r.engine = e
	s.placementRequests++
	s.after(messageDelay, func() {
		if e.down {
			s.route(r)
			return
		}
		a, l := e.owner.RequestPlace(&r.work, s.now), e.owner.Load(s.now)
		s.after(messageDelay, func() {
			r.box.router.UpdateLoad(l)
			s.handleAnswer(r, e, a)
		})
	})
}

// reroute moves queued requests to engines at which they are expected to wait less.
func (s *simulation) reroute() {
	for _, r := range s.requests {
		if r.state != stateQueued || r.engine == nil {
			continue
		}
		n := r.box.router.BetterUpstream(&r.work, r.engine.name, s.candidates(), s.now)
		if n == "" || r.refusedBy[n] {
			continue
		}
		r.engine.owner.Cancel(r.work.ID, s.now)
		s.requestPlacement(r, s.engineByName(n))
	}
}

// route chooses an engine for a request. The naive baseline submits the request directly; the policy
// sends a placement request to the owner of the engine first.
func (s *simulation) route(r *request) {
	if s.scenario.Naive {
		s.submit(r, s.engineByName(r.box.naive.Choose(s.candidates(), func(string) bool { return true })))
		return
	}
	n := r.box.router.Choose(&r.work, s.candidates(), s.now, func(n string) bool { return !r.refusedBy[n] })
	s.requestPlacement(r, s.engineByName(n))
}

// submit starts a request on an engine, or routes it again if the engine is down.
func (s *simulation) submit(r *request, e *modelEngine) {
	if e == nil || e.down {
		s.retries++
		s.route(r)
		return
	}
	r.state, r.engine = stateRunning, e
	r.generation = &engine.Generation{
		UserData: r, ID: r.work.ID, MaxOutputTokens: r.work.MaxTokens, OutputTokens: r.outputTokens, Prefix: r.work.Prefix, Priority: r.work.Priority, PromptTokens: r.work.Prompt,
	}
	e.scheduler.Submit(r.generation)
	if !e.busy {
		s.startStep(e)
	}
}
