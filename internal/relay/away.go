package relay

import (
	"context"
	"maps"
	"time"

	"github.com/joomcode/errorx"

	"github.com/linetiller/linetiller/internal/event"
	"github.com/linetiller/linetiller/internal/fail"
	"github.com/linetiller/linetiller/internal/metric"
	"github.com/linetiller/linetiller/internal/policy"
	"github.com/linetiller/linetiller/internal/resource"
)

const (
	// arrivalTurnTimeout bounds the wait for the turn at an engine to move to: a copy takes
	// about 190 ms, and another engine may be free.
	arrivalTurnTimeout = 40 * time.Millisecond
	// maxArrivalTurns bounds the engines whose turn is waited for.
	maxArrivalTurns = 3
	// copyTimeout bounds one copy: a notice lasts about two seconds.
	copyTimeout = 3 * time.Second
	// maxMoveAttempts bounds the engines that a move is tried to.
	maxMoveAttempts = 4
	// movePlacementTimeout bounds the wait for a place at an engine to move to: notices
	// are short, and an owner answers within milliseconds.
	movePlacementTimeout = 150 * time.Millisecond
	// moveRetryDelay is the wait before a move is tried again.
	moveRetryDelay = 20 * time.Millisecond
)

// startMoves starts the moves of all generations whose engines are leaving. Those of a hall
// that is evacuated go on where they run.
func (x *Relay) startMoves() {
	now := time.Now()
	x.mutex.Lock()
	l := make([]*stream, 0, len(x.streams))
	for s := range x.streams {
		l = append(l, s)
	}
	x.mutex.Unlock()
	for _, s := range l {
		u := s.upstream()
		v := x.view.Upstream(u.Name)
		if v != nil && v.KeepsWork(now) {
			continue
		}
		if g := u.Engine(); g == nil || !g.Migrates {
			continue
		}
		s.startMove(v == nil)
	}
}

// acceptsWork reports whether an upstream may be given work, as far as is known now.
func (x *Relay) acceptsWork(u *resource.Upstream) bool {
	v, now := x.view.Upstream(u.Name), time.Now()
	return v != nil && v.AcceptsWork(now) && x.backoffs.Until(u.Name, now).IsZero()
}

// takeArrivalTurn takes the turn at the engine to move to, or at another one where that is
// taken for long, and returns the engine, or nil where none is left. Without a turn
// the copy may wait behind another one, which is better than to wait here.
func (s *stream) takeArrivalTurn(ctx context.Context, m *move, to *resource.Upstream, avoid map[string]bool, r *policy.Run) (at *resource.Upstream, release func()) {
	x := s.exchange.relay
	busy := maps.Clone(avoid)
	for range maxArrivalTurns {
		if to == nil {
			break
		}
		turn, cancel := context.WithTimeout(ctx, arrivalTurnTimeout)
		release, err := x.Turn(turn, to, true, r)
		cancel()
		if err == nil {
			return to, release
		}
		busy[to.Name] = true
		m.releaseReservation(x)
		if to = s.reserveMoveTarget(ctx, m, busy); to == nil {
			to = s.reserveMoveTarget(ctx, m, avoid)
		}
	}
	return to, func() {}
}

// copyTo copies the generation to one engine and stops it.
func (s *stream) copyTo(ctx context.Context, m *move, to *resource.Upstream, avoid map[string]bool) error {
	e := s.exchange
	x := e.relay
	if to == nil {
		return fail.New(fail.Unavailable, fail.Place{Peer: "upstreams", Step: "choose"}, "no_room", "no engine is left to move to")
	}
	began := time.Now()
	event.MoveStarted.Log(x.log, "request", e.request.ID, "from", m.from.Name, "to", to.Name, "events", s.eventsDelivered())
	ctx, cancel := context.WithTimeout(ctx, copyTimeout)
	defer cancel()
	c, err := x.Upstreams.Migrate(ctx, m.from, to, e.request.ID, false)
	if err != nil {
		avoid[to.Name] = !errorx.IsOfType(err, fail.Conflict)
		m.releaseReservation(x)
		return err
	}
	m.mutex.Lock()
	m.copy, m.to, m.stopped = c, to, true
	m.mutex.Unlock()
	first := time.Since(began)
	if !x.acceptsWork(to) {
		return s.withdrawCopy(ctx, m, c, avoid)
	}
	c, err = x.Upstreams.Migrate(ctx, m.from, to, e.request.ID, true)
	m.mutex.Lock()
	defer m.mutex.Unlock()
	if c != nil {
		m.copy = c
	}
	event.MoveCopied.Log(x.log, "request", e.request.ID, "from", m.from.Name, "to", to.Name, "first_ms", first.Milliseconds(),
		"rest_ms", (time.Since(began) - first).Milliseconds(), "made", m.copy.Events, "error", errorText(err))
	if err != nil && errorx.IsOfType(err, fail.NotFound) {
		m.stopped = false // it had ended by itself
	}
	return nil
}

// finishMove gives back what a move that failed holds, so that another one may be tried.
func (s *stream) finishMove(m *move, err error) {
	x := s.exchange.relay
	if err == nil {
		return
	}
	m.releaseReservation(x)
	s.mutex.Lock()
	if s.move == m {
		s.move = nil
	}
	s.mutex.Unlock()
	select {
	case <-s.ended:
		return
	default:
	}
	x.metrics.Count(metric.Moves, "result", fail.Reason(err))
	event.MoveFailed.Log(x.log, "request", s.exchange.request.ID, "from", m.from.Name, "reason", fail.Reason(err), "step", fail.Step(err), "error", err.Error())
}

// reserveMoveTarget finds an engine to move to and reserves a place there. Where no owner
// answers in time it guesses: the alternative is to lose the generation. It
// returns nil where no engine is left.
func (s *stream) reserveMoveTarget(ctx context.Context, m *move, avoid map[string]bool) *resource.Upstream {
	x := s.exchange.relay
	w := s.remainingWork()
	w.Hall = m.from.Spec.Hall
	w.Moved = true
	now, l := time.Now(), s.exchange.upstreams()
	avoid = x.avoidAllLimited(l, x.backoffs.Avoid(l, avoid, now), now)
	place, cancel := context.WithTimeout(ctx, movePlacementTimeout)
	defer cancel()
	var to *resource.Upstream
	if p, err := x.Place(place, w, avoid); err == nil {
		to = p.Upstream
	} else if to = x.ChooseLocally(w, avoid); to == nil {
		return nil
	}
	m.mutex.Lock()
	defer m.mutex.Unlock()
	m.running = x.tracker.Start(w, to.Name)
	m.to = to
	return to
}

// remainingWork describes what is left of the generation, to be run elsewhere.
func (s *stream) remainingWork() *policy.Work {
	w := s.exchange.work()
	s.mutex.Lock()
	defer s.mutex.Unlock()
	made := s.tokensDelivered()
	w.Hint = max(0, w.Hint-made)
	w.ID += reservationSuffix(s.reassignments)
	w.MaxTokens = max(1, w.MaxTokens-made)
	w.Prompt += made
	return w
}

// runMove makes a move, up to the copy from which the stream goes on.
func (s *stream) runMove(ctx context.Context, m *move) error {
	select {
	case <-s.firstEvent:
	case <-ctx.Done():
		return ctx.Err()
	}
	x := s.exchange.relay
	s.mutex.Lock()
	r := s.currentRun()
	s.mutex.Unlock()
	avoid := map[string]bool{m.from.Name: true}
	to := s.reserveMoveTarget(ctx, m, avoid) // while others have their turns
	release, err := x.Turn(ctx, m.from, false, r)
	if err != nil {
		return err
	}
	defer release()
	for try := 1; ; try++ {
		if to == nil || !x.acceptsWork(to) {
			m.releaseReservation(x)
			to = s.reserveMoveTarget(ctx, m, avoid)
		}
		at, arrived := s.takeArrivalTurn(ctx, m, to, avoid, r)
		err := s.copyTo(ctx, m, at, avoid)
		arrived()
		if err == nil || ctx.Err() != nil || try >= maxMoveAttempts || errorx.IsOfType(err, fail.NotFound) {
			return err
		}
		to = nil
		select {
		case <-ctx.Done():
		case <-time.After(moveRetryDelay):
		}
	}
}

// startMove starts a move, unless one is under way or the stream is closed.
func (s *stream) startMove(entryGone bool) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if s.closed || s.move != nil {
		return
	}
	m := &move{done: make(chan struct{}), from: s.assignment.upstream}
	s.move = m
	x := s.exchange.relay
	event.UpstreamLeaving.Log(x.log, "request", s.exchange.request.ID, "upstream", m.from.Name, "entry_gone", entryGone, "events", s.events)
	x.workers.Go(func() {
		ctx, cancel := context.WithCancel(s.exchange.clientCtx)
		defer cancel()
		defer context.AfterFunc(x.ctx, cancel)()
		go func() {
			select {
			case <-s.ended:
				cancel()
			case <-m.done:
			}
		}()
		err := s.runMove(ctx, m)
		close(m.done)
		s.finishMove(m, err)
	})
}

// withdrawCopy gives up the copy at an engine that takes no new work any more, while the
// run still goes on at its source, and returns why.
func (s *stream) withdrawCopy(ctx context.Context, m *move, c *Copy, avoid map[string]bool) error {
	x := s.exchange.relay
	to := m.target()
	avoid[to.Name] = true
	m.releaseReservation(x)
	m.mutex.Lock()
	m.copy, m.stopped = nil, false
	m.mutex.Unlock()
	place := fail.Place{Peer: "upstream " + to.Name, Step: "copy"}
	if err := x.Upstreams.Release(ctx, m.from, c.Handle); err != nil {
		return fail.Wrap(fail.Unavailable, place, "copy_withdrawn", err)
	}
	return fail.New(fail.Unavailable, place, "copy_withdrawn", "the engine takes no new work any more")
}

func errorText(err error) string {
	if err == nil {
		return ""
	}
	return err.Error()
}

// reservationSuffix makes the id of a generation that was moved differ from that of the
// one before, so that their reservations can be told apart.
func reservationSuffix(hops int) string {
	return "+" + string(rune('1'+hops%9))
}
