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
	"github.com/linetiller/linetiller/internal/policy"
	"github.com/linetiller/linetiller/internal/resource"
	"github.com/linetiller/linetiller/internal/sse"
)

// stream is the answer to one generation, through all upstreams that it runs at.
// Its fields are used by the goroutine of its exchange alone, but for those that
// the lock guards.
type stream struct {
	control  *http.ResponseController
	ended    chan struct{} // closed with the stream
	exchange *exchange
	finished bool          // the stream reached its own end
	first    chan struct{} // closed once an event was passed on
	times    meter.Times

	mutex   sync.Mutex // guards the fields below; those of a move, of lengths and of metrics are taken under it
	closed  bool       // no move may start any more
	events  int        // passed on
	firstAt time.Time  // of the first event passed on
	hops    int        // moves and new runs
	lastAt  time.Time  // of the last event passed on
	move    *move      // under way, or made and not used yet
	seat    *seat      // where it runs
}

const (
	// eventWritePeriod bounds how long a caller may take to take one event.
	eventWritePeriod = 10 * time.Second
	// firstSilence is how long a stream that may be resumed may take to its first event
	// before it is run elsewhere: 99 in 100 come within 2 s under load.
	firstSilence = 2 * time.Second
	// nextSilence is the same between two events, which come every 30 to 60 ms: more than
	// an engine that reads a long prompt takes, and less than the 2 s after which callers leave.
	nextSilence = time.Second
)

// newStream returns the stream of e that runs at t.
func newStream(e *exchange, t *seat) *stream {
	s := &stream{
		control: http.NewResponseController(e.writer), ended: make(chan struct{}), exchange: e, first: make(chan struct{}), seat: t,
	}
	x := e.relay
	x.mutex.Lock()
	defer x.mutex.Unlock()
	if t.running != nil && e.route.Spec.Stream {
		x.streams[s] = true
	}
	return s
}

// at returns the upstream at which the generation runs.
func (s *stream) at() *resource.Upstream {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.seat.upstream
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
	t, m := s.seat, s.move
	x.pace.learn(s.made(), s.lastAt.Sub(s.firstAt))
	s.mutex.Unlock()
	t.release(x, s.finished)
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

// endsWhole reports whether a stream that ends now has reached its own end: it has
// events, unless the caller may have had all of them before, and was not stopped for a
// move. A stream that is stopped is cut off, so that an end which the answer itself tells is
// the run's own; without it, an order to stop may come too late, which its answer tells.
func (s *stream) endsWhole(ctx context.Context, a *Answer) bool {
	s.mutex.Lock()
	m, events := s.move, s.events
	s.mutex.Unlock()
	if events == 0 && s.exchange.lastID == "" {
		return false
	}
	if m == nil || a.Framed {
		return true
	}
	if m.stopping() {
		m.wait(ctx)
	}
	return !m.stopping()
}

// eventsPassed returns how many events were passed on.
func (s *stream) eventsPassed() int {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.events
}

// follows returns an error where an event is not the one that is next, or has no number
// while the others have one.
func (s *stream) follows(id string) error {
	last, counted := eventNumber(s.exchange.lastID)
	if !counted {
		return nil
	}
	if n, ok := eventNumber(id); ok && n == last+1 {
		return nil
	}
	event.UpstreamMismatch.Log(s.exchange.relay.log, "request", s.exchange.request.ID, "upstream", s.at().Name, "event_id", id, "last_id", last)
	return fail.New(fail.Interrupted, s.place("read stream"), "stream_gap", "event %q came after %d", id, last)
}

// has reports whether the caller has an event already: an engine that takes up a run which
// had made all its events sends the last one again.
func (s *stream) has(id string) bool {
	last, counted := eventNumber(s.exchange.lastID)
	n, ok := eventNumber(id)
	return counted && ok && n <= last
}

// made returns how many tokens were passed on; the lock is held.
func (s *stream) made() int {
	return s.events * s.tokensAnEvent()
}

// pass passes the events of one engine's answer on. A nil error means that the
// stream has reached its own end.
func (s *stream) pass(ctx context.Context, a *Answer) error {
	hangUp := func() { _ = a.Body.Close() }
	defer context.AfterFunc(ctx, hangUp)()
	silence := time.AfterFunc(s.silence(), hangUp)
	defer silence.Stop()
	x := sse.NewSplitter(a.Body)
	for {
		silence.Reset(s.silence())
		b, id, err := x.Next()
		silence.Stop()
		if errors.Is(err, io.EOF) && s.endsWhole(ctx, a) {
			return nil
		}
		if err != nil {
			return err
		}
		if s.has(string(id)) {
			continue
		}
		if err := s.follows(string(id)); err != nil {
			return err
		}
		if err := s.write(a, b); err != nil {
			return fail.Wrap(fail.Interrupted, clientPlace("deliver"), reasonCallerGone, err)
		}
		s.passed(string(id))
	}
}

// passed records that an event was passed on.
func (s *stream) passed(id string) {
	x, now := s.exchange.relay, time.Now()
	s.exchange.lastID = id
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if s.events == 0 {
		close(s.first)
		s.firstAt = now
		s.exchange.firstIn = now.Sub(s.exchange.request.Arrived)
	} else {
		s.exchange.longest = max(s.exchange.longest, now.Sub(s.lastAt))
	}
	s.events++
	s.lastAt = now
	n := s.tokensAnEvent()
	x.meter.Tokens(n, now, s.exchange.request.Arrived, &s.times)
	if s.seat.running == nil {
		return
	}
	if s.seat.running.Produced.Add(int64(n)) == int64(n) {
		x.tracker.First(s.seat.running)
	}
}

func (s *stream) place(step string) fail.Place {
	return fail.Place{Peer: "upstream " + s.at().Name, Step: step}
}

// position returns the number of the last event passed on, counted from the beginning of the
// generation.
func (s *stream) position() int {
	n, _ := eventNumber(s.exchange.request.LastEventID)
	return int(n) + s.eventsPassed()
}

// run passes the stream on until its end, from one upstream after another. It reports
// whether another upstream may be tried from the beginning.
func (s *stream) run(ctx context.Context, a *Answer) (again bool, err error) {
	if a.Status != http.StatusOK {
		return s.exchange.deliver(ctx, a)
	}
	for {
		err := s.pass(ctx, a)
		_ = a.Body.Close()
		if err == nil {
			s.finished = true
			s.exchange.cleared()
			s.writeHead(a) // of a stream without an event, whose caller has had all of them
			return false, nil
		}
		if ctx.Err() != nil || fail.Reason(err) == reasonCallerGone {
			if s.eventsPassed() == 0 {
				s.exchange.noteLeft(s.at())
			}
			return false, fail.Wrap(fail.Interrupted, s.place("read stream"), reasonCallerGone, err)
		}
		s.exchange.noteCrash(s.at(), s.position())
		if a, err = s.takeOver(ctx, err); err != nil {
			return false, err
		}
	}
}

// silence returns how long the next event may be waited for. Of a stream that may not be
// resumed nothing is gained by giving it up: it ends with its caller's patience.
func (s *stream) silence() time.Duration {
	e := s.exchange
	switch {
	case e.route.Spec.Repeat != resource.RepeatResume:
		return time.Until(e.deadline)
	case s.eventsPassed() == 0:
		return firstSilence
	}
	return nextSilence
}

// tokensAnEvent returns how many tokens an event holds; the lock is held.
func (s *stream) tokensAnEvent() int {
	if g := s.seat.upstream.Engine(); g != nil && g.TokensPerEvent > 0 {
		return g.TokensPerEvent
	}
	return 1
}

// write passes one event on, after the header where it is the first.
func (s *stream) write(a *Answer, b []byte) error {
	e := s.exchange
	_ = s.control.SetWriteDeadline(time.Now().Add(eventWritePeriod))
	s.writeHead(a)
	if _, err := e.writer.Write(b); err != nil {
		return err
	}
	return s.control.Flush()
}

// writeHead passes the head of an answer on, unless that of one was.
func (s *stream) writeHead(a *Answer) {
	e := s.exchange
	if e.status != 0 {
		return
	}
	copyHeader(e.writer.Header(), a.Header)
	e.status = a.Status
	e.writer.WriteHeader(a.Status)
}

// eventNumber returns the number that an event's id is, and whether it is one.
func eventNumber(id string) (int64, bool) {
	n, err := strconv.ParseInt(id, 10, 64)
	return n, err == nil && n >= 0
}
