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

// evacuatedResumeGrace is how long a run that was stopped for a move may still be resumed at an
// engine of an evacuated hall, from when this box learned of the evacuation. Copying the rest of
// the run's memory takes about 10 ms, and the run would be lost otherwise.
const evacuatedResumeGrace = 500 * time.Millisecond

// minRerunPause and maxRerunPause bound the pause between two tries to run a broken stream elsewhere
// if no upstream could be asked: callers disconnect if a stream pauses for two seconds or more.
const (
	minRerunPause = 50 * time.Millisecond
	maxRerunPause = 500 * time.Millisecond
)

// abandonMove abandons the stream's move, if there is one, whether it is under way or has ended.
func (s *stream) abandonMove() {
	s.mutex.Lock()
	m := s.move
	s.move = nil
	s.mutex.Unlock()
	if m != nil {
		m.abandon(s.exchange.relay)
	}
}

// resumeAt resumes a run that was stopped for a move at an engine which has its memory. Since
// the run cannot continue anywhere else, it does so for evacuatedResumeGrace after the engine's
// hall was evacuated, and for one run during each back-off that the engine asked for.
func (s *stream) resumeAt(ctx context.Context, u *resource.Upstream, r *Resume) (*source, error) {
	e := s.exchange
	v, origin := e.relay.view.Upstream(u.Name), fail.Origin{Peer: "upstream " + u.Name, Step: "resume"}
	if v != nil && v.Evacuated() && time.Since(v.EvacuatedAt) > evacuatedResumeGrace {
		return nil, fail.New(fail.NotRun, origin, string(policy.ReasonEvacuated), "data hall %q is evacuated", v.Spec.Hall)
	}
	if !e.allowsHall(u.Spec.Hall) {
		return nil, e.regionError(u, "resume")
	}
	if !e.relay.backoffs.TakeProbe(u.Name, time.Now()) {
		return nil, fail.New(fail.NotRun, origin, string(policy.ReasonBackOff), "the upstream asked for back-off")
	}
	if !e.takeResumePermit(ctx, u) {
		return nil, fail.New(fail.NotRun, origin, string(policy.ReasonLimited), "the upstream has reached its rate limit")
	}
	return s.open(ctx, nil, u, r)
}

// countReassignment counts a move, so that the reservation of the next one gets an id of its own.
func (s *stream) countReassignment() {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.reassignments++
}

// failOver continues a stream that broke off with cause: from the copy that a move made, or
// by running the generation again if the route allows it. An error means that the stream cannot be
// continued.
func (s *stream) failOver(ctx context.Context, cause error) (*source, error) {
	x, err := s.resumeFromMove(ctx, cause)
	if err == nil || s.exchange.route.Spec.RetryPolicy != resource.RetryResume {
		return x, err
	}
	return s.rerun(ctx, err)
}

// reassign records that the generation runs at another upstream from now on, under a new
// reservation id, and releases the previous assignment.
func (s *stream) reassign(t *assignment) {
	s.mutex.Lock()
	old := s.assignment
	s.assignment = t
	s.reassignments++
	s.mutex.Unlock()
	old.release(s.exchange.relay, false)
}

// recordMoved records that the generation was resumed at u, from the copy that m made. u is the
// target of the move, or its source if the target did not accept the run.
func (s *stream) recordMoved(m *move, u *resource.Upstream) {
	x := s.exchange.relay
	s.mutex.Lock()
	pause := time.Since(s.lastEventAt)
	atTarget := u == m.to
	s.move = nil
	s.mutex.Unlock()
	if atTarget {
		m.running.Produced.Store(0)
		s.reassign(&assignment{running: m.running, upstream: u})
	} else {
		s.countReassignment()
		x.tracker.Finish(m.running, false)
	}
	x.metrics.Count(metric.Moves, "result", "moved")
	x.metrics.Histogram(metric.MovePause).Update(pause.Seconds())
	event.MoveCompleted.Log(x.log, "request", s.exchange.request.ID, "from", m.from.Name, "to", u.Name, "pause_ms", pause.Milliseconds(), "events", s.eventsDelivered())
	x.startMoves()
}

// rerun runs the generation again, to continue after the last event that the caller has, at
// one upstream after another while the route and the retry budget allow it. An error means that the
// stream cannot be continued.
func (s *stream) rerun(ctx context.Context, cause error) (*source, error) {
	e := s.exchange
	s.abandonMove()
	s.assignment.release(e.relay, false) // its owner starts no other work there while a run makes no progress
	for e.shouldRetry(cause) {
		sends := e.sends
		x, err := s.rerunOnce(ctx)
		if err == nil {
			e.relay.metrics.Count(metric.Resumptions, "reason", fail.Reason(cause))
			event.StreamResumed.Log(e.relay.log, "request", e.request.ID, "upstream", s.upstream().Name, "reason", fail.Reason(cause), "last_event", e.lastEventID)
			return x, nil
		}
		cause = err
		if e.sends == sends {
			pauseBeforeRerun(ctx, err)
		}
	}
	if e.status != 0 && !errorx.IsOfType(cause, fail.Interrupted) {
		return nil, fail.Wrap(fail.Interrupted, s.upstreamOrigin("resume"), fail.Reason(cause), cause)
	}
	return nil, cause
}

// pauseBeforeRerun waits until the time at which err says that another try may succeed, for
// maxRerunPause at most. It is called after a try that sent nothing.
func pauseBeforeRerun(ctx context.Context, err error) {
	t := time.NewTimer(min(maxRerunPause, max(minRerunPause, time.Until(fail.RetryAt(err)))))
	defer t.Stop()
	select {
	case <-ctx.Done():
	case <-t.C:
	}
}

// rerunOnce sends the request to one more upstream, to continue after the last event.
func (s *stream) rerunOnce(ctx context.Context) (*source, error) {
	e := s.exchange
	t, err := e.assign(ctx, s.remainingWork(), e.avoid)
	if err != nil {
		return nil, err
	}
	s.reassign(t)
	u, err := e.checkBeforeSend(ctx, t)
	if err != nil {
		return nil, err
	}
	x, err := s.open(ctx, t, u, nil)
	if err != nil {
		return nil, err
	}
	if x.answer.Status != http.StatusOK {
		x.close()
		return nil, fail.New(fail.Unknown, s.upstreamOrigin("resume"), "upstream_failed", "status %d", x.answer.Status)
	}
	e.relay.startMoves() // the engine may have announced its shutdown since it was chosen
	return x, nil
}

// resumeCandidates returns the engines that hold the memory of a moved run, in the order in which
// to try them. A source that was ordered to stop the run is a candidate, too. It comes first if the
// target asked for back-off; the run is then moved from the source again.
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

// resumeFromMove resumes the generation after its stream broke off with cause, if a move has
// copied it to another engine.
func (s *stream) resumeFromMove(ctx context.Context, cause error) (*source, error) {
	e := s.exchange
	lost := fail.Wrap(fail.Interrupted, s.upstreamOrigin("read stream"), "stream_broken", cause)
	if e.status == 0 {
		lost = fail.Wrap(fail.Unknown, s.upstreamOrigin("read stream"), "stream_broken", cause)
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
	x, err := s.resumeMoved(ctx, m)
	if err != nil {
		e.relay.metrics.Count(metric.Moves, "result", "resume_failed")
		event.MoveFailed.Log(e.relay.log, "request", e.request.ID, "from", m.from.Name, "to", m.to.Name, "reason", "resume_failed", "error", err.Error())
		return nil, fail.Wrap(fail.Interrupted, s.upstreamOrigin("resume"), "move_lost", err)
	}
	return x, nil
}

// resumeMoved resumes the run at the first of the resumeCandidates that accepts it, and returns the
// answer with the rest of the stream.
func (s *stream) resumeMoved(ctx context.Context, m *move) (*source, error) {
	r := &Resume{Handle: m.copy.Handle, Source: m.from.HostPort()}
	var x *source
	var err error
	var u *resource.Upstream
	for _, u = range s.resumeCandidates(m) {
		if x, err = s.resumeAt(ctx, u, r); err == nil {
			break
		}
	}
	if err != nil {
		return nil, err
	}
	if x.answer.Status != http.StatusOK {
		x.close()
		return nil, fail.New(fail.Unknown, s.upstreamOrigin("resume"), "upstream_failed", "status %d", x.answer.Status)
	}
	if x.assignment == nil { // otherwise a takeover has made the stream go on elsewhere
		s.recordMoved(m, u)
	}
	return x, nil
}
