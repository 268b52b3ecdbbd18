package relay

import (
	"context"
	"maps"
	"time"

	"github.com/joomcode/errorx"

	"github.com/linetiller/linetiller/internal/event"
	"github.com/linetiller/linetiller/internal/fail"
	"github.com/linetiller/linetiller/internal/health"
	"github.com/linetiller/linetiller/internal/metric"
	"github.com/linetiller/linetiller/internal/policy"
	"github.com/linetiller/linetiller/internal/resource"
)

const (
	// targetSlotTimeout bounds the wait for a move slot of a target engine: a copy takes
	// about 190 ms, and another engine may be free.
	targetSlotTimeout = 40 * time.Millisecond
	// maxTargetSlotAttempts bounds the number of target engines whose move slot a move waits for.
	maxTargetSlotAttempts = 3
	// copyTimeout bounds one copy: an engine shuts down about two seconds after its notice.
	copyTimeout = 3 * time.Second
	// maxMoveAttempts bounds the number of target engines that a move tries.
	maxMoveAttempts = 4
	// movePlacementTimeout bounds the wait for a reserved place at a target engine: the
	// time between notice and shutdown is short, and an owner answers within milliseconds.
	movePlacementTimeout = 150 * time.Millisecond
	// moveRetryDelay is the delay before a failed move is tried again.
	moveRetryDelay = 20 * time.Millisecond
)

// acceptsWork reports whether an upstream accepts new work, according to the current view
// and its back-off.
func (x *Relay) acceptsWork(u *resource.Upstream) bool {
	v, now := x.view.Upstream(u.Name), time.Now()
	return v != nil && v.AcceptsWork(now) && x.backoffs.Until(u.Name, now).IsZero()
}

// startMoves starts the moves of all generations whose engines are leaving, or are in a hall in
// which they may no longer be processed. Generations in a hall that is evacuated continue at their
// engines.
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
		allowed := s.exchange.allowsHall(u.Spec.Hall)
		if !allowed {
			s.endOutsideRegions()
		}
		if v != nil && v.KeepsWork(now) && allowed {
			continue
		}
		if g := u.Engine(); g == nil || !g.Migrates {
			continue
		}
		s.startMove(v == nil)
	}
}

// acquireTargetSlot acquires a move slot of the target engine, or of another engine if the wait
// takes longer than targetSlotTimeout. It returns the engine, or nil if none is left. If all
// attempts time out, it returns an engine without a slot: the copy may then be delayed by another
// copy to that engine, which is better than waiting any longer here.
func (s *stream) acquireTargetSlot(ctx context.Context, m *move, to *resource.Upstream, avoid map[string]bool, r *policy.Run) (at *resource.Upstream, release func()) {
	x := s.exchange.relay
	busy := maps.Clone(avoid)
	for range maxTargetSlotAttempts {
		if to == nil {
			break
		}
		slotCtx, cancel := context.WithTimeout(ctx, targetSlotTimeout)
		release, err := x.AcquireMoveSlot(slotCtx, to, true, r)
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

// copyTo copies the memory of the generation to one engine while it runs, then stops it at the
// source and copies the rest.
func (s *stream) copyTo(ctx context.Context, m *move, to *resource.Upstream, avoid map[string]bool) error {
	e := s.exchange
	x := e.relay
	if to == nil {
		return fail.New(fail.Unavailable, fail.Origin{Peer: "upstreams", Step: "choose"}, "no_room", "no engine is left to move the generation to")
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
	firstCopyTime := time.Since(began)
	if !x.acceptsWork(to) {
		return s.withdrawCopy(ctx, m, c, avoid)
	}
	c, err = x.Upstreams.Migrate(ctx, m.from, to, e.request.ID, true)
	m.mutex.Lock()
	defer m.mutex.Unlock()
	if c != nil {
		m.copy = c
	}
	event.MemoryCopied.Log(x.log, "request", e.request.ID, "from", m.from.Name, "to", to.Name, "first_ms", firstCopyTime.Milliseconds(),
		"rest_ms", (time.Since(began) - firstCopyTime).Milliseconds(), "made", m.copy.Events, "error", errorText(err))
	if err != nil && errorx.IsOfType(err, fail.NotFound) {
		m.stopped = false // the generation had completed by itself
	}
	return nil
}

// finishMove does nothing if err is nil. Otherwise it cleans up after the failed move, so that
// another one can start, and logs the failure unless the stream has ended.
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

// remainingWork describes the rest of the generation, to be run at another engine. The
// tokens produced so far count as part of the prompt.
func (s *stream) remainingWork() *policy.Work {
	w := s.exchange.work()
	s.mutex.Lock()
	defer s.mutex.Unlock()
	produced := s.tokensDelivered()
	w.Hint = max(0, w.Hint-produced)
	w.ID += reservationSuffix(s.reassignments)
	w.MaxTokens = max(1, w.MaxTokens-produced)
	w.Prompt += produced
	return w
}

// reserveMoveTarget chooses a target engine and reserves a place there. If no owner
// answers in time, it chooses one without a reservation: the generation would be lost
// otherwise. It returns nil if no engine is left.
func (s *stream) reserveMoveTarget(ctx context.Context, m *move, avoid map[string]bool) *resource.Upstream {
	x := s.exchange.relay
	w := s.remainingWork()
	w.Hall = m.from.Spec.Hall
	w.Moved = true
	now, l := time.Now(), s.exchange.upstreams()
	avoid = x.avoidAllLimited(l, x.backoffs.Avoid(l, health.AvoidUnreachable(x.Unreachable(l), avoid), now), now)
	placementCtx, cancel := context.WithTimeout(ctx, movePlacementTimeout)
	defer cancel()
	var to *resource.Upstream
	if p, err := x.Place(placementCtx, w, avoid); err == nil {
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

// runMove performs a move, up to the last copy. The stream is then resumed from that copy.
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
	to := s.reserveMoveTarget(ctx, m, avoid) // before the slot is acquired, since that may take a while
	release, err := x.AcquireMoveSlot(ctx, m.from, false, r)
	if err != nil {
		return err
	}
	defer release()
	for try := 1; ; try++ {
		if to == nil || !x.acceptsWork(to) || !s.exchange.allowsHall(to.Spec.Hall) {
			m.releaseReservation(x)
			to = s.reserveMoveTarget(ctx, m, avoid)
		}
		at, releaseTarget := s.acquireTargetSlot(ctx, m, to, avoid, r)
		err := s.copyTo(ctx, m, at, avoid)
		releaseTarget()
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

// startMove starts a move in the background, unless one is under way or the stream is closed.
// entryRemoved says that the engine is no longer listed; it is only logged.
func (s *stream) startMove(entryRemoved bool) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if s.closed || s.move != nil {
		return
	}
	m := &move{done: make(chan struct{}), from: s.assignment.upstream}
	s.move = m
	x := s.exchange.relay
	event.UpstreamLeaving.Log(x.log, "request", s.exchange.request.ID, "upstream", m.from.Name, "entry_gone", entryRemoved, "events", s.events)
	x.workers.Go(func() {
		ctx, cancel := context.WithCancel(s.exchange.callerCtx)
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

// withdrawCopy releases the copy at a target engine that no longer accepts new work, while
// the generation still runs at its source. It always returns an error, for the failed attempt.
func (s *stream) withdrawCopy(ctx context.Context, m *move, c *Copy, avoid map[string]bool) error {
	x := s.exchange.relay
	to := m.target()
	avoid[to.Name] = true
	m.releaseReservation(x)
	m.mutex.Lock()
	m.copy, m.stopped = nil, false
	m.mutex.Unlock()
	origin := fail.Origin{Peer: "upstream " + to.Name, Step: "copy"}
	if err := x.Upstreams.Release(ctx, m.from, c.Handle); err != nil {
		return fail.Wrap(fail.Unavailable, origin, "copy_withdrawn", err)
	}
	return fail.New(fail.Unavailable, origin, "copy_withdrawn", "the target engine no longer accepts new work")
}

func errorText(err error) string {
	if err == nil {
		return ""
	}
	return err.Error()
}

// reservationSuffix returns a suffix for the id of a generation that was moved or run again, so
// that its reservation differs from the one at the previous engine.
func reservationSuffix(reassignments int) string {
	return "+" + string(rune('1'+reassignments%9))
}
