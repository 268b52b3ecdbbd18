package relay

import (
	"context"
	"net/http"
	"time"

	"github.com/linetiller/linetiller/internal/event"
	"github.com/linetiller/linetiller/internal/fail"
	"github.com/linetiller/linetiller/internal/metric"
	"github.com/linetiller/linetiller/internal/resource"
)

// moved takes in that the generation goes on at u.
func (s *stream) moved(m *move, u *resource.Upstream) {
	x := s.exchange.relay
	s.mutex.Lock()
	pause := time.Since(s.lastAt)
	old := s.running
	kept := u == m.to
	if kept {
		s.running = m.running
		s.running.Produced.Store(0)
	}
	s.upstream = u
	s.move = nil
	s.hops++
	s.mutex.Unlock()
	if kept {
		x.tracker.Finish(old, false)
	} else {
		x.tracker.Finish(m.running, false)
	}
	x.metrics.Count(metric.Moves, "result", "moved")
	x.metrics.Histogram(metric.MoveSeconds).Update(pause.Seconds())
	event.MoveDone.Log(x.log, "request", s.exchange.request.ID, "from", m.from.Name, "to", u.Name, "pause_ms", pause.Milliseconds(), "events", s.events)
	x.moveAway()
}

// resume opens the stream at the engine that holds the copy, or, where that does
// not take it, at the engine that was stopped, which still has the memory.
func (s *stream) resume(ctx context.Context, m *move) (*Answer, error) {
	e := s.exchange
	r := &Resume{Handle: m.copy.Handle, LastEventID: s.lastID, Source: m.from.HostPort()}
	e.relay.budget.spend(e.service.Name, time.Now())
	u := m.to
	a, _, err := e.send(ctx, u, r)
	if err != nil && m.stopping() {
		u = m.from
		a, _, err = e.send(ctx, u, r)
	}
	if err != nil {
		return nil, err
	}
	if a.Status != http.StatusOK {
		_ = a.Body.Close()
		return nil, fail.New(fail.Unknown, s.place("resume"), "upstream_failed", "status %d", a.Status)
	}
	s.moved(m, u)
	return a, nil
}

// takeOver resumes the generation where a move has brought it. Its error is
// final.
func (s *stream) takeOver(ctx context.Context, cause error) (*Answer, error) {
	e := s.exchange
	lost := fail.Wrap(fail.Interrupted, s.place("read stream"), "stream_broken", cause)
	if e.status == 0 {
		lost = fail.Wrap(fail.Unknown, s.place("read stream"), "stream_broken", cause)
	}
	s.mutex.Lock()
	m := s.move
	s.mutex.Unlock()
	if m == nil {
		return nil, lost
	}
	m.wait(ctx)
	if !m.copied() {
		return nil, lost
	}
	a, err := s.resume(ctx, m)
	if err != nil {
		e.relay.metrics.Count(metric.Moves, "result", "resume_failed")
		event.MoveFailed.Log(e.relay.log, "request", e.request.ID, "from", m.from.Name, "to", m.to.Name, "reason", "resume_failed", "error", err.Error())
		return nil, fail.Wrap(fail.Interrupted, s.place("resume"), "move_lost", err)
	}
	return a, nil
}
