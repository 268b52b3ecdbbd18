package evacuation

import (
	"slices"
	"time"

	"github.com/linetiller/linetiller/internal/policy"
)

// retryMove gives up a copy to an engine that has given notice since.
func (s *simulation) retryMove(g *generation) {
	s.releaseMove(g)
	g.move = nil
	if s.scenario.Uncoordinated || g.paused {
		s.startMove(g, s.randomTarget(g))
	}
}

// randomTarget returns an engine of the generation's hall drawn at random, or of another
// one where there is none, as a box knows it that asks nobody.
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

// enqueue queues the copy of what the other engine lacks.
func (s *simulation) enqueue(t *transfer) {
	t.partTokens = t.generation.run.Tokens - t.copiedTokens
	s.transfers = append(s.transfers, t)
}

// completePart takes in that a part of a copy has arrived: the generation is stopped, or it
// goes on at the other engine.
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

// releaseMove gives back what a generation's move holds.
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

// evacuate starts the moves away from an engine that has given notice.
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

// startNextMove starts the move of the generation whose turn it is to leave an engine.
func (s *simulation) startNextMove(e *engine) {
	if g := s.nextToMove(e); g != nil {
		s.startMove(g, s.leastLoadedTarget(g))
	}
}

// startNextMoves starts the next move away from every engine that is leaving.
func (s *simulation) startNextMoves() {
	for _, e := range s.engines {
		if e.endsAt > s.now {
			s.startNextMove(e)
		}
	}
}

// leastLoadedTarget returns the roomiest engine that receives no copy, in the generation's own
// hall or else in another one; or else the roomiest of all, or nil.
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

// startMove asks for a generation's first copy.
func (s *simulation) startMove(g *generation, to *engine) {
	if to == nil {
		return
	}
	g.move = &transfer{from: g.engine, reservedTokens: g.run.Tokens, generation: g, to: to}
	to.reservedTokens += g.move.reservedTokens
	s.enqueue(g.move)
}

// advanceTransfers lets copies go on, and takes in those parts that have arrived.
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

// tickTransfers lets one tick of every copy pass and returns those whose part has
// arrived: each takes both links, and one that was asked for earlier goes first.
func (s *simulation) tickTransfers() []*transfer {
	var done []*transfer
	out, in := make(map[*engine]bool), make(map[*engine]bool) // ways that an earlier copy waits for
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

// nextToMove returns the generation whose turn it is to leave an engine, or nil where there
// is none or another one is being moved.
func (s *simulation) nextToMove(e *engine) *generation {
	var first *generation
	for _, g := range s.generations {
		if g.engine != e || g.paused {
			continue
		}
		if g.move != nil {
			return nil // it has the turn
		}
		if first == nil || policy.CompareRuns(&g.run, &first.run, stepDuration) < 0 {
			first = g
		}
	}
	return first
}

// duration returns how long the part under way takes.
func (t *transfer) duration() time.Duration {
	d := max(tick, time.Duration(t.partTokens)*copyTimePerToken)
	if t.from.hall != t.to.hall {
		d *= crossHallFactor
	}
	return d
}

// anyEngine lets every engine through.
func anyEngine(*engine) bool { return true }
