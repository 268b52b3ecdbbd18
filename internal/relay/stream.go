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
	"github.com/linetiller/linetiller/internal/placement"
	"github.com/linetiller/linetiller/internal/policy"
	"github.com/linetiller/linetiller/internal/resource"
	"github.com/linetiller/linetiller/internal/sse"
)

// stream is the answer to one generation, through all engines that it runs at.
// Its fields are used by the goroutine of its exchange alone, but for those that
// the lock guards.
type stream struct {
	control  *http.ResponseController
	ended    chan struct{} // closed with the stream
	exchange *exchange
	finished bool          // the stream reached its own end
	first    chan struct{} // closed once an event was passed on
	lastID   string        // of the last event passed on
	times    meter.Times

	mutex    sync.Mutex // guards the fields below; those of a move, of lengths and of metrics are taken under it
	closed   bool       // no move may start any more
	events   int        // passed on
	hops     int        // moves made
	lastAt   time.Time  // of the last event passed on
	move     *move      // under way, or made and not used yet
	running  *placement.Running
	upstream *resource.Upstream
}

// eventWritePeriod bounds how long a caller may take to take one event.
const eventWritePeriod = 10 * time.Second

// newStream returns the stream of e at u; running is nil where u is no engine.
func newStream(e *exchange, u *resource.Upstream, r *placement.Running) *stream {
	s := &stream{
		control: http.NewResponseController(e.writer), ended: make(chan struct{}), exchange: e, first: make(chan struct{}),
		running: r, upstream: u,
	}
	x := e.relay
	x.mutex.Lock()
	defer x.mutex.Unlock()
	if r != nil && e.route.Spec.Stream {
		x.streams[s] = true
	}
	return s
}

// at returns the upstream at which the generation runs.
func (s *stream) at() *resource.Upstream {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.upstream
}

// close ends the stream: what it held is given back.
func (s *stream) close() {
	x := s.exchange.relay
	x.mutex.Lock()
	delete(x.streams, s)
	x.mutex.Unlock()
	close(s.ended)
	x.meter.End(&s.times)
	s.mutex.Lock()
	s.closed = true
	r, m := s.running, s.move
	s.mutex.Unlock()
	if r != nil {
		x.tracker.Finish(r, s.finished)
	}
	if m != nil {
		m.abandon(x)
	}
}

// describe returns the generation as it is now, to be moved; the lock is held.
func (s *stream) describe() *policy.Run {
	e := s.exchange
	w := e.work()
	made := s.made()
	return &policy.Run{
		Deadline: w.Deadline, ID: w.ID, Kind: w.Kind, Left: e.relay.left(w, made), Model: w.Model, Priority: w.Priority, Tokens: w.Prompt + made,
	}
}

// endsWhole reports whether a stream that ends now has reached its own end: it
// was not stopped for a move. An order to stop may come too late, which its answer tells.
func (s *stream) endsWhole(ctx context.Context) bool {
	s.mutex.Lock()
	m, events := s.move, s.events
	s.mutex.Unlock()
	if m != nil && m.stopping() {
		m.wait(ctx)
	}
	return events > 0 && (m == nil || !m.stopping())
}

// eventsPassed returns how many events were passed on.
func (s *stream) eventsPassed() int {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.events
}

// follows returns an error where an event is not the one that is next.
func (s *stream) follows(id string) error {
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

// made returns how many tokens were passed on; the lock is held.
func (s *stream) made() int {
	return s.events * s.tokensAnEvent()
}

// pass passes the events of one engine's answer on. A nil error means that the
// stream has reached its own end.
func (s *stream) pass(ctx context.Context, a *Answer) error {
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

// passed takes in that an event was passed on.
func (s *stream) passed(id string) {
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

func (s *stream) place(step string) fail.Place {
	return fail.Place{Peer: "upstream " + s.at().Name, Step: step}
}

// run passes the stream on until its end, from one engine after another.
func (s *stream) run(ctx context.Context, a *Answer) error {
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

// tokensAnEvent returns how many tokens an event holds; the lock is held.
func (s *stream) tokensAnEvent() int {
	if g := s.upstream.Engine(); g != nil && g.TokensAnEvent > 0 {
		return g.TokensAnEvent
	}
	return 1
}

// write passes one event on, after the header where it is the first.
func (s *stream) write(a *Answer, b []byte) error {
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
