package relay

import (
	"context"
	"net/http"
	"time"

	"github.com/joomcode/errorx"

	"github.com/linetiller/linetiller/internal/event"
	"github.com/linetiller/linetiller/internal/fail"
	"github.com/linetiller/linetiller/internal/metric"
	"github.com/linetiller/linetiller/internal/policy"
	"github.com/linetiller/linetiller/internal/resource"
)

// evacuatedResumeGrace is how long after this box learned of an evacuation a run that was
// stopped for a move before is still handed over: the rest of its memory takes some
// 10 ms to copy, and the run is lost otherwise.
const evacuatedResumeGrace = 500 * time.Millisecond

// abandonMove gives up the move that is under way or made, if there is one.
func (s *stream) abandonMove() {
	s.mutex.Lock()
	m := s.move
	s.move = nil
	s.mutex.Unlock()
	if m != nil {
		m.abandon(s.exchange.relay)
	}
}

// resumeAt sends a run that was stopped for a move to an engine which has its memory. Where
// the engine's hall was evacuated meanwhile, it does so only for a moment, and where the engine
// asked for back-off, for one run alone: the run has nowhere else to go on.
func (e *exchange) resumeAt(ctx context.Context, u *resource.Upstream, r *Resume) (*Answer, error) {
	v, place := e.relay.view.Upstream(u.Name), fail.Place{Peer: "upstream " + u.Name, Step: "resume"}
	if v != nil && v.Evacuated() && time.Since(v.EvacuatedAt) > evacuatedResumeGrace {
		return nil, fail.New(fail.NotRun, place, string(policy.ReasonEvacuated), "data hall %q is evacuated", v.Spec.Hall)
	}
	if !e.relay.backoffs.TakeProbe(u.Name, time.Now()) {
		return nil, fail.New(fail.NotRun, place, string(policy.ReasonResting), "the upstream wants rest")
	}
	if !e.takeResumePermit(ctx, u) {
		return nil, fail.New(fail.NotRun, place, string(policy.ReasonLimited), "the upstream accepts no more requests for now")
	}
	a, _, err := e.send(ctx, u, r)
	return a, err
}

// resumeCandidates returns the engines that hold the memory of a run that was moved, the one that is
// to be asked first. The engine that was stopped has it, too; it goes first where the other
// one asked for back-off, and the run is moved again from there.
func (s *stream) resumeCandidates(m *move) []*resource.Upstream {
	x := s.exchange.relay
	switch {
	case !m.sourceStopped():
		return []*resource.Upstream{m.to}
	case !x.backoffs.Until(m.to.Name, time.Now()).IsZero():
		return []*resource.Upstream{m.from, m.to}
	}
	return []*resource.Upstream{m.to, m.from}
}

// countReassignment records that a move was made: the next one has an id of its own.
func (s *stream) countReassignment() {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.reassignments++
}

// recordMoved records that the generation goes on at u, from the copy that m made.
func (s *stream) recordMoved(m *move, u *resource.Upstream) {
	x := s.exchange.relay
	s.mutex.Lock()
	pause := time.Since(s.lastEventAt)
	kept := u == m.to
	s.move = nil
	s.mutex.Unlock()
	if kept {
		m.running.Produced.Store(0)
		s.reassign(&assignment{running: m.running, upstream: u})
	} else {
		s.countReassignment()
		x.tracker.Finish(m.running, false)
	}
	x.metrics.Count(metric.Moves, "result", "moved")
	x.metrics.Histogram(metric.MoveSeconds).Update(pause.Seconds())
	event.MoveDone.Log(x.log, "request", s.exchange.request.ID, "from", m.from.Name, "to", u.Name, "pause_ms", pause.Milliseconds(), "events", s.eventsDelivered())
	x.startMoves()
}

// resumeMoved opens the stream at the engine that holds the copy, or, where that does not
// take it, at the engine that was stopped, which still has the memory.
func (s *stream) resumeMoved(ctx context.Context, m *move) (*Answer, error) {
	e := s.exchange
	r := &Resume{Handle: m.copy.Handle, Source: m.from.HostPort()}
	e.relay.retryBudget.CountRetry(e.service.Name, time.Now())
	var a *Answer
	var err error
	var u *resource.Upstream
	for _, u = range s.resumeCandidates(m) {
		if a, err = e.resumeAt(ctx, u, r); err == nil {
			break
		}
	}
	if err != nil {
		return nil, err
	}
	if a.Status != http.StatusOK {
		_ = a.Body.Close()
		return nil, fail.New(fail.Unknown, s.upstreamPlace("resume"), "upstream_failed", "status %d", a.Status)
	}
	s.recordMoved(m, u)
	return a, nil
}

// resumeFromMove opens the stream where a move has brought the generation.
func (s *stream) resumeFromMove(ctx context.Context, cause error) (*Answer, error) {
	e := s.exchange
	lost := fail.Wrap(fail.Interrupted, s.upstreamPlace("read stream"), "stream_broken", cause)
	if e.status == 0 {
		lost = fail.Wrap(fail.Unknown, s.upstreamPlace("read stream"), "stream_broken", cause)
	}
	s.mutex.Lock()
	m := s.move
	s.mutex.Unlock()
	if m == nil {
		return nil, lost
	}
	m.wait(ctx)
	if !m.hasCopy() {
		return nil, lost
	}
	a, err := s.resumeMoved(ctx, m)
	if err != nil {
		e.relay.metrics.Count(metric.Moves, "result", "resume_failed")
		event.MoveFailed.Log(e.relay.log, "request", e.request.ID, "from", m.from.Name, "to", m.to.Name, "reason", "resume_failed", "error", err.Error())
		return nil, fail.Wrap(fail.Interrupted, s.upstreamPlace("resume"), "move_lost", err)
	}
	return a, nil
}

// rerun runs the generation anew, after the last event that the caller has, where its
// route allows that. Its error is final.
func (s *stream) rerun(ctx context.Context, cause error) (*Answer, error) {
	e := s.exchange
	s.abandonMove()
	for e.shouldRetry(cause) {
		a, err := s.rerunOnce(ctx)
		if err == nil {
			e.relay.metrics.Count(metric.Resumptions, "reason", fail.Reason(cause))
			event.StreamResumed.Log(e.relay.log, "request", e.request.ID, "upstream", s.upstream().Name, "reason", fail.Reason(cause), "last_event", e.lastEventID)
			return a, nil
		}
		cause = err
	}
	if e.status != 0 && !errorx.IsOfType(cause, fail.Interrupted) {
		return nil, fail.Wrap(fail.Interrupted, s.upstreamPlace("resume"), fail.Reason(cause), cause)
	}
	return nil, cause
}

// rerunOnce sends the request to one more upstream, to go on after the last event.
func (s *stream) rerunOnce(ctx context.Context) (*Answer, error) {
	e := s.exchange
	t, err := e.assign(ctx, s.remainingWork())
	if err != nil {
		return nil, err
	}
	s.reassign(t)
	u, err := e.checkBeforeSend(ctx, t)
	if err != nil {
		return nil, err
	}
	a, _, err := e.send(ctx, u, nil)
	if err != nil {
		return nil, err
	}
	if a.Status != http.StatusOK {
		_ = a.Body.Close()
		return nil, fail.New(fail.Unknown, s.upstreamPlace("resume"), "upstream_failed", "status %d", a.Status)
	}
	e.relay.startMoves() // the engine may have begun to leave meanwhile
	return a, nil
}

// reassign records that the generation is to run at another upstream, under an id of its own
// there; the one before gets back what was held there.
func (s *stream) reassign(t *assignment) {
	s.mutex.Lock()
	old := s.assignment
	s.assignment = t
	s.reassignments++
	s.mutex.Unlock()
	old.release(s.exchange.relay, false)
}

// failOver opens the stream where the generation can go on: where a move has brought
// it, or with a new run where the route allows one. Its error is final.
func (s *stream) failOver(ctx context.Context, cause error) (*Answer, error) {
	a, err := s.resumeFromMove(ctx, cause)
	if err == nil || s.exchange.route.Spec.Repeat != resource.RepeatResume {
		return a, err
	}
	return s.rerun(ctx, err)
}
