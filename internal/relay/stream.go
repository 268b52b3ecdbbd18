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
	control    *http.ResponseController
	ended      chan struct{} // closed with the stream
	exchange   *exchange
	finished   bool          // the stream reached its own end
	firstEvent chan struct{} // closed once an event was passed on
	times      meter.Times

	mutex         sync.Mutex  // guards the fields below; those of a move, of lengths and of metrics are taken under it
	closed        bool        // no move may start any more
	events        int         // passed on
	firstEventAt  time.Time   // of the first event passed on
	reassignments int         // moves and new runs
	lastEventAt   time.Time   // of the last event passed on
	move          *move       // under way, or made and not used yet
	assignment    *assignment // where it runs
}

const (
	// eventWriteTimeout bounds how long a caller may take to take one event.
	eventWriteTimeout = 10 * time.Second
	// firstEventTimeout is how long a stream that may be resumed may take to its first event
	// before it is run elsewhere: 99 in 100 come within 2 s under load.
	firstEventTimeout = 2 * time.Second
	// nextEventTimeout is the same between two events, which come every 30 to 60 ms: more than
	// an engine that reads a long prompt takes, and less than the 2 s after which callers leave.
	nextEventTimeout = time.Second
)

// newStream returns the stream of e that runs at t.
func newStream(e *exchange, t *assignment) *stream {
	s := &stream{
		control: http.NewResponseController(e.writer), ended: make(chan struct{}), exchange: e, firstEvent: make(chan struct{}), assignment: t,
	}
	x := e.relay
	x.mutex.Lock()
	defer x.mutex.Unlock()
	if t.running != nil && e.route.Spec.Stream {
		x.streams[s] = true
	}
	return s
}

// upstream returns the upstream at which the generation runs.
func (s *stream) upstream() *resource.Upstream {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.assignment.upstream
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
	t, m := s.assignment, s.move
	x.pace.record(s.tokensDelivered(), s.lastEventAt.Sub(s.firstEventAt))
	s.mutex.Unlock()
	t.release(x, s.finished)
	if m != nil {
		m.abandon(x)
	}
}

// currentRun returns the generation as it is now, to be moved; the lock is held.
func (s *stream) currentRun() *policy.Run {
	e := s.exchange
	w := e.work()
	made := s.tokensDelivered()
	return &policy.Run{
		Deadline: w.Deadline, ID: w.ID, Kind: w.Kind, Left: e.relay.expectedRemaining(w, made), Model: w.Model, Priority: w.Priority, Tokens: w.Prompt + made,
	}
}

// isComplete reports whether a stream that ends now has reached its own end: it has
// events, unless the caller may have had all of them before, and was not stopped for a
// move. A stream that is stopped is cut off, so that an end which the answer itself tells is
// the run's own; without it, an order to stop may come too late, which its answer tells.
func (s *stream) isComplete(ctx context.Context, a *Answer) bool {
	s.mutex.Lock()
	m, events := s.move, s.events
	s.mutex.Unlock()
	if events == 0 && s.exchange.lastEventID == "" {
		return false
	}
	if m == nil || a.SelfDelimiting {
		return true
	}
	if m.sourceStopped() {
		m.wait(ctx)
	}
	return !m.sourceStopped()
}

// eventsDelivered returns how many events were passed on.
func (s *stream) eventsDelivered() int {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.events
}

// checkSequence returns an error where an event is not the one that is next, or has no number
// while the others have one.
func (s *stream) checkSequence(id string) error {
	last, counted := eventNumber(s.exchange.lastEventID)
	if !counted {
		return nil
	}
	if n, ok := eventNumber(id); ok && n == last+1 {
		return nil
	}
	event.UpstreamMismatch.Log(s.exchange.relay.log, "request", s.exchange.request.ID, "upstream", s.upstream().Name, "event_id", id, "last_id", last)
	return fail.New(fail.Interrupted, s.upstreamPlace("read stream"), "stream_gap", "event %q came after %d", id, last)
}

// alreadyDelivered reports whether the caller has an event already: an engine that takes up a run which
// had made all its events sends the last one again.
func (s *stream) alreadyDelivered(id string) bool {
	last, counted := eventNumber(s.exchange.lastEventID)
	n, ok := eventNumber(id)
	return counted && ok && n <= last
}

// tokensDelivered returns how many tokens were passed on; the lock is held.
func (s *stream) tokensDelivered() int {
	return s.events * s.tokensPerEvent()
}

// forward passes the events of one engine's answer on. A nil error means that the
// stream has reached its own end.
func (s *stream) forward(ctx context.Context, a *Answer) error {
	hangUp := func() { _ = a.Body.Close() }
	defer context.AfterFunc(ctx, hangUp)()
	silence := time.AfterFunc(s.eventTimeout(), hangUp)
	defer silence.Stop()
	x := sse.NewSplitter(a.Body)
	for {
		silence.Reset(s.eventTimeout())
		b, id, err := x.Next()
		silence.Stop()
		if errors.Is(err, io.EOF) && s.isComplete(ctx, a) {
			return nil
		}
		if err != nil {
			return err
		}
		if s.alreadyDelivered(string(id)) {
			continue
		}
		if err := s.checkSequence(string(id)); err != nil {
			return err
		}
		if err := s.writeEvent(a, b); err != nil {
			return fail.Wrap(fail.Interrupted, clientPlace("deliver"), reasonCallerGone, err)
		}
		s.recordEvent(string(id))
	}
}

// recordEvent records that an event was passed on.
func (s *stream) recordEvent(id string) {
	x, now := s.exchange.relay, time.Now()
	s.exchange.lastEventID = id
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if s.events == 0 {
		close(s.firstEvent)
		s.firstEventAt = now
		s.exchange.firstEventDelay = now.Sub(s.exchange.request.Arrived)
	} else {
		s.exchange.longestGap = max(s.exchange.longestGap, now.Sub(s.lastEventAt))
	}
	s.events++
	s.lastEventAt = now
	n := s.tokensPerEvent()
	x.meter.Tokens(n, now, s.exchange.request.Arrived, &s.times)
	if s.assignment.running == nil {
		return
	}
	if s.assignment.running.Produced.Add(int64(n)) == int64(n) {
		x.tracker.First(s.assignment.running)
	}
}

func (s *stream) upstreamPlace(step string) fail.Place {
	return fail.Place{Peer: "upstream " + s.upstream().Name, Step: step}
}

// position returns the number of the last event passed on, counted from the beginning of the
// generation.
func (s *stream) position() int {
	n, _ := eventNumber(s.exchange.request.LastEventID)
	return int(n) + s.eventsDelivered()
}

// run passes the stream on until its end, from one upstream after another. It reports
// whether another upstream may be tried from the beginning.
func (s *stream) run(ctx context.Context, a *Answer) (retry bool, err error) {
	if a.Status != http.StatusOK {
		return s.exchange.deliver(ctx, a)
	}
	for {
		err := s.forward(ctx, a)
		_ = a.Body.Close()
		if err == nil {
			s.finished = true
			s.exchange.recordServed()
			s.writeHeader(a) // of a stream without an event, whose caller has had all of them
			return false, nil
		}
		if ctx.Err() != nil || fail.Reason(err) == reasonCallerGone {
			if s.eventsDelivered() == 0 {
				s.exchange.checkCrashAfterCallerLeft(s.upstream())
			}
			return false, fail.Wrap(fail.Interrupted, s.upstreamPlace("read stream"), reasonCallerGone, err)
		}
		s.exchange.checkCrash(s.upstream(), s.position())
		if a, err = s.failOver(ctx, err); err != nil {
			return false, err
		}
	}
}

// eventTimeout returns how long the next event may be waited for. Of a stream that may not be
// resumed nothing is gained by giving it up: it ends with its caller's patience.
func (s *stream) eventTimeout() time.Duration {
	e := s.exchange
	switch {
	case e.route.Spec.Repeat != resource.RepeatResume:
		return time.Until(e.deadline)
	case s.eventsDelivered() == 0:
		return firstEventTimeout
	}
	return nextEventTimeout
}

// tokensPerEvent returns how many tokens an event holds; the lock is held.
func (s *stream) tokensPerEvent() int {
	if g := s.assignment.upstream.Engine(); g != nil && g.TokensPerEvent > 0 {
		return g.TokensPerEvent
	}
	return 1
}

// writeEvent passes one event on, after the header where it is the first.
func (s *stream) writeEvent(a *Answer, b []byte) error {
	e := s.exchange
	_ = s.control.SetWriteDeadline(time.Now().Add(eventWriteTimeout))
	s.writeHeader(a)
	if _, err := e.writer.Write(b); err != nil {
		return err
	}
	return s.control.Flush()
}

// writeHeader passes the head of an answer on, unless that of one was.
func (s *stream) writeHeader(a *Answer) {
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
