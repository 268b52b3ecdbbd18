package evacuation

import (
	"slices"
	"time"

	"github.com/linetiller/linetiller/internal/policy"
)

// again gives up a copy to an engine that has given notice since.
func (w *world) again(g *generation) {
	w.drop(g)
	g.move = nil
	if w.scenario.Alone || g.stopped {
		w.start(g, w.anywhere(g))
	}
}

// anywhere returns an engine of the generation's hall drawn at random, or of another
// one where there is none, as a box knows it that asks nobody.
func (w *world) anywhere(g *generation) *engine {
	var near, far []*engine
	for _, e := range w.engines {
		switch {
		case e.goneAt != 0 || e.room() < g.work.Tokens:
		case e.hall == g.at.hall:
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
	return near[w.random.IntN(len(near))]
}

// ask queues the copy of what the other engine lacks.
func (w *world) ask(t *transfer) {
	t.part = t.run.work.Tokens - t.copied
	w.copies = append(w.copies, t)
}

// copied takes in that a part of a copy has arrived: the generation is stopped, or it
// goes on at the other engine.
func (w *world) copied(t *transfer) {
	g := t.run
	t.copied += t.part
	if t.to.goneAt != 0 {
		w.again(g)
		return
	}
	if !g.stopped {
		g.stopped, g.stands = true, 0
		w.ask(t)
		return
	}
	w.result.Moves++
	t.from.used -= g.work.Tokens
	w.drop(g)
	g.at, g.stopped, g.move = t.to, false, nil
	t.to.used += g.work.Tokens
}

// drop gives back what a generation's move holds.
func (w *world) drop(g *generation) {
	t := g.move
	if t == nil {
		return
	}
	t.to.reserved -= t.reserved
	if t.left > 0 {
		t.from.sending, t.to.receiving = false, false
	}
	w.copies = slices.DeleteFunc(w.copies, func(x *transfer) bool { return x == t })
}

// leave starts the moves away from an engine that has given notice.
func (w *world) leave(e *engine) {
	if !w.scenario.Alone {
		w.next(e)
		return
	}
	for _, g := range w.runs {
		if g.at == e && g.move == nil {
			w.start(g, w.anywhere(g))
		}
	}
}

// next starts the move of the generation whose turn it is to leave an engine.
func (w *world) next(e *engine) {
	if g := w.turn(e); g != nil {
		w.start(g, w.quietest(g))
	}
}

// nextOfAll starts the next move away from every engine that is leaving.
func (w *world) nextOfAll() {
	for _, e := range w.engines {
		if e.goneAt > w.now {
			w.next(e)
		}
	}
}

// quietest returns the roomiest engine that receives no copy, in the generation's own
// hall or else in another one; or else the roomiest of all, or nil.
func (w *world) quietest(g *generation) *engine {
	for _, allow := range []func(*engine) bool{
		func(e *engine) bool { return e.hall == g.at.hall && !e.receiving },
		func(e *engine) bool { return !e.receiving },
		anyEngine,
	} {
		if e := w.roomiest(g.work.Tokens, allow); e != nil {
			return e
		}
	}
	return nil
}

// start asks for a generation's first copy.
func (w *world) start(g *generation, to *engine) {
	if to == nil {
		return
	}
	g.move = &transfer{from: g.at, reserved: g.work.Tokens, run: g, to: to}
	to.reserved += g.move.reserved
	w.ask(g.move)
}

// transfer lets copies go on, and takes in those parts that have arrived.
func (w *world) transfer() {
	for _, t := range w.transferTick() {
		t.left = 0
		t.from.sending, t.to.receiving = false, false
		w.copies = slices.DeleteFunc(w.copies, func(x *transfer) bool { return x == t })
		w.copied(t)
	}
	if !w.scenario.Alone {
		w.nextOfAll()
	}
}

// transferTick lets one tick of every copy pass and returns those whose part has
// arrived: each takes both links, and one that was asked for earlier goes first.
func (w *world) transferTick() []*transfer {
	var done []*transfer
	out, in := make(map[*engine]bool), make(map[*engine]bool) // ways that an earlier copy waits for
	for _, t := range w.copies {
		if t.left == 0 {
			free := !t.from.sending && !t.to.receiving && !out[t.from] && !in[t.to]
			out[t.from], in[t.to] = true, true
			if !free {
				continue
			}
			t.from.sending, t.to.receiving = true, true
			t.left = t.duration()
		}
		if t.left -= tick; t.left <= 0 {
			done = append(done, t)
		}
	}
	return done
}

// turn returns the generation whose turn it is to leave an engine, or nil where there
// is none or another one is being moved.
func (w *world) turn(e *engine) *generation {
	var first *generation
	for _, g := range w.runs {
		if g.at != e || g.stopped {
			continue
		}
		if g.move != nil {
			return nil // it has the turn
		}
		if first == nil || policy.CompareRuns(&g.work, &first.work, stepPeriod) < 0 {
			first = g
		}
	}
	return first
}

// duration returns how long the part under way takes.
func (t *transfer) duration() time.Duration {
	d := max(tick, time.Duration(t.part)*copyToken)
	if t.from.hall != t.to.hall {
		d *= otherHallFactor
	}
	return d
}

// anyEngine lets every engine through.
func anyEngine(*engine) bool { return true }
