package relay

import (
	"context"
	"errors"
	"io"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/linetiller/linetiller/internal/event"
	"github.com/linetiller/linetiller/internal/fail"
	"github.com/linetiller/linetiller/internal/meter"
	"github.com/linetiller/linetiller/internal/metric"
	"github.com/linetiller/linetiller/internal/placement"
	"github.com/linetiller/linetiller/internal/policy"
	"github.com/linetiller/linetiller/internal/resource"
	"github.com/linetiller/linetiller/internal/sse"
)

// session is the stream of one generation, through all engines that it runs at.
// Its fields are used by the goroutine of its exchange alone, but for those that
// the lock guards.
type session struct {
	control  *http.ResponseController
	ended    chan struct{} // closed with the session
	exchange *exchange
	finished bool   // the stream reached its own end
	lastID   string // of the last event passed on
	first    chan struct{}
	times    meter.Times

	mutex    sync.Mutex // guards the fields below; no other lock is taken under it
	events   int        // passed on
	hops     int        // moves made
	lastAt   time.Time  // of the last event passed on
	move     *move      // under way, or made and not used yet
	running  *placement.Running
	upstream *resource.Upstream
}

const (
	// eventWritePeriod bounds how long a caller may take to take one event.
	eventWritePeriod = 10 * time.Second
	// moveWaitPeriod bounds the wait for a move's end once the stream has ended:
	// callers leave after a pause of two seconds or more.
	moveWaitPeriod = 2 * time.Second
)

// newSession returns the session of e at u; running is nil where u is no engine.
func newSession(e *exchange, u *resource.Upstream, r *placement.Running) *session {
	s := &session{
		control: http.NewResponseController(e.writer), ended: make(chan struct{}), exchange: e, first: make(chan struct{}),
		running: r, upstream: u,
	}
	x := e.relay
	x.mutex.Lock()
	defer x.mutex.Unlock()
	if r != nil && e.route.Spec.Stream {
		x.sessions[s] = true
	}
	return s
}

// close ends the session: what it held is given back.
func (s *session) close() {
	x := s.exchange.relay
	x.mutex.Lock()
	delete(x.sessions, s)
	x.mutex.Unlock()
	close(s.ended)
	x.meter.End(&s.times)
	s.mutex.Lock()
	r, m := s.running, s.move
	s.mutex.Unlock()
	if r != nil {
		x.tracker.Finish(r, s.finished)
	}
	if m != nil {
		m.abandon(x)
	}
}

// run passes the stream on until its end, from one engine after another.
func (s *session) run(ctx context.Context, a *Answer) error {
	if a.Status != http.StatusOK {
		_, err := s.exchange.deliver(ctx, a)
		return err
	}
	for {
		err := s.pass(ctx, a)
		_ = a.Body.Close()
		if err == nil {
			s.finished = true
			return nil
		}
		if ctx.Err() != nil {
			return fail.Wrap(fail.Interrupted, s.place("read stream"), "caller_gone", err)
		}
		if a, err = s.takeOver(ctx, err); err != nil {
			return err
		}
	}
}

// pass passes the events of one engine's answer on. A nil error means that the
// stream has reached its own end.
func (s *session) pass(ctx context.Context, a *Answer) error {
	defer context.AfterFunc(ctx, func() { _ = a.Body.Close() })()
	x := sse.NewSplitter(a.Body)
	for {
		b, id, err := x.Next()
		if errors.Is(err, io.EOF) && s.endsWhole(ctx) {
			return nil
		}
		if err != nil {
			return err
		}
		if err := s.follows(string(id)); err != nil {
			return err
		}
		if err := s.write(a, b); err != nil {
			return fail.Wrap(fail.Interrupted, clientPlace("deliver"), "caller_gone", err)
		}
		s.passed(string(id))
	}
}

// endsWhole reports whether a stream that ends now has reached its own end: it was
// not stopped for a move. An order to stop may come too late, which its answer tells.
func (s *session) endsWhole(ctx context.Context) bool {
	s.mutex.Lock()
	m, events := s.move, s.events
	s.mutex.Unlock()
	if m != nil && m.stopping() {
		m.wait(ctx)
	}
	return events > 0 && (m == nil || !m.stopping())
}

// follows returns an error where an event is not the one that is next.
func (s *session) follows(id string) error {
	n, err := strconv.ParseInt(id, 10, 64)
	if err != nil || s.lastID == "" {
		return nil
	}
	last, err := strconv.ParseInt(s.lastID, 10, 64)
	if err != nil || n == last+1 {
		return nil
	}
	event.UpstreamMismatch.Log(s.exchange.relay.log, "request", s.exchange.request.ID, "upstream", s.at().Name, "event_id", id, "last_id", s.lastID)
	return fail.New(fail.Interrupted, s.place("read stream"), "stream_gap", "event %s came after %s", id, s.lastID)
}

// passed takes in that an event was passed on.
func (s *session) passed(id string) {
	x, now := s.exchange.relay, time.Now()
	s.lastID = id
	s.mutex.Lock()
	defer s.mutex.Unlock()
	begins := s.events == 0
	if begins {
		close(s.first)
	}
	s.events++
	s.lastAt = now
	n := s.tokensAnEvent()
	x.meter.Tokens(n, now, s.exchange.request.Arrived, &s.times)
	if s.running != nil {
		s.running.Produced.Add(int64(n))
	}
	if s.running != nil && begins {
		x.tracker.First(s.running)
	}
}

// takeOver resumes the generation where a move has brought it. Its error is
// final.
func (s *session) takeOver(ctx context.Context, cause error) (*Answer, error) {
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

// resume opens the stream at the engine that holds the copy, or, where that does
// not take it, at the engine that was stopped, which still has the memory.
func (s *session) resume(ctx context.Context, m *move) (*Answer, error) {
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

// moved takes in that the generation goes on at u.
func (s *session) moved(m *move, u *resource.Upstream) {
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

// write passes one event on, after the header where it is the first.
func (s *session) write(a *Answer, b []byte) error {
	e := s.exchange
	_ = s.control.SetWriteDeadline(time.Now().Add(eventWritePeriod))
	if e.status == 0 {
		copyHeader(e.writer.Header(), a.Header)
		e.status = a.Status
		e.writer.WriteHeader(a.Status)
	}
	if _, err := e.writer.Write(b); err != nil {
		return err
	}
	return s.control.Flush()
}

// at returns the upstream at which the generation runs.
func (s *session) at() *resource.Upstream {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.upstream
}

func (s *session) place(step string) fail.Place {
	return fail.Place{Peer: "upstream " + s.at().Name, Step: step}
}

// tokensAnEvent returns how many tokens an event holds.
func (s *session) tokensAnEvent() int {
	if g := s.upstream.Engine(); g != nil && g.TokensAnEvent > 0 {
		return g.TokensAnEvent
	}
	return 1
}

// describe returns the generation as it is now, to be moved; the lock is held.
func (s *session) describe() *policy.Run {
	e := s.exchange
	w := e.work()
	made := s.events * s.tokensAnEvent()
	return &policy.Run{
		Deadline: w.Deadline, ID: w.ID, Kind: w.Kind, Left: e.relay.left(w, made), Model: w.Model, Priority: w.Priority, Tokens: w.Prompt + made,
	}
}

// left returns how many tokens are expected still to come: up to the caller's
// estimate, where there is one, and what was learned beyond it.
func (x *Relay) left(w *policy.Work, made int) int {
	if made < w.Hint {
		return w.Hint - made
	}
	return int(x.lengths.Left(policy.KeyOf(w), made, w.MaxTokens))
}
