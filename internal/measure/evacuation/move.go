package evacuation

import (
	"slices"
	"time"

	"github.com/linetiller/linetiller/internal/policy"
)

// advanceTransfers advances all transfers by one tick and completes the parts that have arrived. If
// moves are coordinated, it also starts the next ones.
func (s *simulation) advanceTransfers() {
	for _, t := range s.tickTransfers() {
		t.remaining = 0
		t.from.sending, t.to.receiving = false, false
		s.transfers = slices.DeleteFunc(s.transfers, func(x *transfer) bool { return x == t })
		s.completePart(t)
	}
	if !s.scenario.Uncoordinated {
		s.startNextMoves()
	}
}

// completePart handles the arrival of a part of a transfer. After the first part, it pauses the
// generation and queues the remainder; after the second, the generation continues on the target.
func (s *simulation) completePart(t *transfer) {
	g := t.generation
	t.copiedTokens += t.partTokens
	if t.to.endsAt != 0 {
		s.retryMove(g)
		return
	}
	if !g.paused {
		g.paused, g.currentPause = true, 0
		s.enqueue(t)
		return
	}
	s.result.Moves++
	t.from.usedTokens -= g.run.Tokens
	s.releaseMove(g)
	g.engine, g.paused, g.move = t.to, false, nil
	t.to.usedTokens += g.run.Tokens
}

// enqueue queues the transfer of the tokens that the target does not hold yet.
func (s *simulation) enqueue(t *transfer) {
	t.partTokens = t.generation.run.Tokens - t.copiedTokens
	s.transfers = append(s.transfers, t)
}

// evacuate starts moving generations away from an engine that has received a notice: the one that
// nextToMove returns if moves are coordinated, otherwise all of them.
func (s *simulation) evacuate(e *engine) {
	if !s.scenario.Uncoordinated {
		s.startNextMove(e)
		return
	}
	for _, g := range s.generations {
		if g.engine == e && g.move == nil {
			s.startMove(g, s.randomTarget(g))
		}
	}
}

// leastLoadedTarget returns the engine with the most free capacity that is not receiving a transfer,
// preferably in the hall of the generation. If all are receiving, it returns the one with the most
// free capacity, and nil if none has enough.
func (s *simulation) leastLoadedTarget(g *generation) *engine {
	for _, allow := range []func(*engine) bool{
		func(e *engine) bool { return e.hall == g.engine.hall && !e.receiving },
		func(e *engine) bool { return !e.receiving },
		anyEngine,
	} {
		if e := s.mostFree(g.run.Tokens, allow); e != nil {
			return e
		}
	}
	return nil
}

// nextToMove returns the generation to be moved away from an engine next, in the order of
// policy.CompareRuns. It returns nil if there is none, or if a move from the engine is in progress.
func (s *simulation) nextToMove(e *engine) *generation {
	var next *generation
	for _, g := range s.generations {
		if g.engine != e || g.paused {
			continue
		}
		if g.move != nil {
			return nil // one move at a time
		}
		if next == nil || policy.CompareRuns(&g.run, &next.run, stepDuration) < 0 {
			next = g
		}
	}
	return next
}

// randomTarget returns a random engine with enough free capacity in the hall of the generation, or in
// another hall if there is none. It returns nil if no engine has enough. This models a box that
// chooses targets without asking their owners.
func (s *simulation) randomTarget(g *generation) *engine {
	var near, far []*engine
	for _, e := range s.engines {
		switch {
		case e.endsAt != 0 || e.free() < g.run.Tokens:
		case e.hall == g.engine.hall:
			near = append(near, e)
		default:
			far = append(far, e)
		}
	}
	if len(near) == 0 {
		near = far
	}
	if len(near) == 0 {
		return nil
	}
	return near[s.random.IntN(len(near))]
}

// releaseMove releases the target capacity and the links that the move of a generation holds, and
// removes its transfer from the queue.
func (s *simulation) releaseMove(g *generation) {
	t := g.move
	if t == nil {
		return
	}
	t.to.reservedTokens -= t.reservedTokens
	if t.remaining > 0 {
		t.from.sending, t.to.receiving = false, false
	}
	s.transfers = slices.DeleteFunc(s.transfers, func(x *transfer) bool { return x == t })
}

// retryMove abandons a transfer whose target has received a notice in the meantime. It starts another
// one at once if moves are uncoordinated or the generation is already paused; otherwise the
// generation waits for its next coordinated move.
func (s *simulation) retryMove(g *generation) {
	s.releaseMove(g)
	g.move = nil
	if s.scenario.Uncoordinated || g.paused {
		s.startMove(g, s.randomTarget(g))
	}
}

// startMove reserves capacity at the target and queues the first part of the transfer. Without a
// target it does nothing.
func (s *simulation) startMove(g *generation, to *engine) {
	if to == nil {
		return
	}
	g.move = &transfer{from: g.engine, reservedTokens: g.run.Tokens, generation: g, to: to}
	to.reservedTokens += g.move.reservedTokens
	s.enqueue(g.move)
}

// startNextMove starts the next coordinated move away from an engine, if there is one.
func (s *simulation) startNextMove(e *engine) {
	if g := s.nextToMove(e); g != nil {
		s.startMove(g, s.leastLoadedTarget(g))
	}
}

// startNextMoves starts the next coordinated move away from every engine with a notice.
func (s *simulation) startNextMoves() {
	for _, e := range s.engines {
		if e.endsAt > s.now {
			s.startNextMove(e)
		}
	}
}

// tickTransfers advances the transfers by one tick and returns those whose current part has arrived.
// A transfer occupies the outbound link of its source and the inbound link of its target. Links are
// given to transfers in the order in which these were queued.
func (s *simulation) tickTransfers() []*transfer {
	var done []*transfer
	out, in := make(map[*engine]bool), make(map[*engine]bool) // link directions that an earlier transfer uses or waits for
	for _, t := range s.transfers {
		if t.remaining == 0 {
			free := !t.from.sending && !t.to.receiving && !out[t.from] && !in[t.to]
			out[t.from], in[t.to] = true, true
			if !free {
				continue
			}
			t.from.sending, t.to.receiving = true, true
			t.remaining = t.duration()
		}
		if t.remaining -= tick; t.remaining <= 0 {
			done = append(done, t)
		}
	}
	return done
}

// duration returns how long the current part takes, at least one tick.
func (t *transfer) duration() time.Duration {
	d := max(tick, time.Duration(t.partTokens)*copyTimePerToken)
	if t.from.hall != t.to.hall {
		d *= crossHallFactor
	}
	return d
}

// anyEngine accepts every engine.
func anyEngine(*engine) bool { return true }
