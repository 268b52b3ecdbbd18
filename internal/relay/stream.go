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
)

// stream is the answer to one generation, across all upstreams that it runs at.
// Fields that the mutex does not guard are used only by the goroutine of the exchange.
type stream struct {
	control    *http.ResponseController
	ended      chan struct{} // closed by close
	exchange   *exchange
	finished   bool          // the generation ran to completion
	firstEvent chan struct{} // closed when the first event was forwarded
	times      meter.RequestTimes

	mutex         sync.Mutex  // guards the fields below; the locks of moves, lengths and metrics may be taken while it is held
	closed        bool        // no more moves may start
	closeAnswer   func()      // ends the reading of the current answer; nil before the first
	endsOutside   bool        // endOutsideRegions was called
	events        int         // number of events forwarded
	firstEventAt  time.Time   // when the first event was forwarded
	reassignments int         // number of moves and reruns
	lastEventAt   time.Time   // when the last event was forwarded
	move          *move       // under way, or finished and not used yet
	assignment    *assignment // where the generation runs
}

const (
	// eventWriteTimeout bounds the write of one event to the caller.
	eventWriteTimeout = 10 * time.Second
	// firstEventTimeout is how long a stream that may be resumed waits for its first event before a
	// takeover begins: under load, 99 % of first events arrive within 2 s.
	firstEventTimeout = 2 * time.Second
	// nextEventTimeout is the same between two events, which arrive every 30 to 60 ms. It is longer
	// than the pause of an engine that prefills a long prompt, and shorter than the 2 s after which
	// callers disconnect.
	nextEventTimeout = time.Second
)

// newStream returns the stream of e, assigned to t.
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

// alreadyDelivered reports whether the caller has an event already: an engine that resumes a run which
// had produced all its events sends the last one again.
func (s *stream) alreadyDelivered(id string) bool {
	last, numbered := eventNumber(s.exchange.lastEventID)
	n, ok := eventNumber(id)
	return numbered && ok && n <= last
}

// checkSequence returns an error if an event's id does not follow that of the last event, or is
// not a number although that of the last event is. Ids that are not numbers are not checked.
func (s *stream) checkSequence(id string) error {
	last, numbered := eventNumber(s.exchange.lastEventID)
	if !numbered {
		return nil
	}
	if n, ok := eventNumber(id); ok && n == last+1 {
		return nil
	}
	event.UpstreamFrameMismatch.Log(s.exchange.relay.log, "request", s.exchange.request.ID, "upstream", s.upstream().Name, "event_id", id, "last_id", last)
	return fail.New(fail.Interrupted, s.upstreamOrigin("read stream"), "stream_gap", "event id %q does not follow %d", id, last)
}

// close ends the stream and releases its assignment and its move.
func (s *stream) close() {
	x := s.exchange.relay
	x.mutex.Lock()
	delete(x.streams, s)
	x.mutex.Unlock()
	close(s.ended)
	x.meter.RecordEnd(&s.times)
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

// currentRun describes the generation in its current state, for a move. The caller holds the mutex.
func (s *stream) currentRun() *policy.Run {
	e := s.exchange
	w := e.work()
	produced := s.tokensDelivered()
	return &policy.Run{
		Deadline: w.Deadline, ID: w.ID, Kind: w.Kind, Left: e.relay.expectedRemaining(w, produced), Model: w.Model, Priority: w.Priority, Tokens: w.Prompt + produced,
	}
}

// eventTimeout returns how long an upstream may take to send the next event before it counts as silent.
func (s *stream) eventTimeout() time.Duration {
	if s.eventsDelivered() == 0 {
		return firstEventTimeout
	}
	return nextEventTimeout
}

// discard closes a source that is not needed; nil is ignored.
func (s *stream) discard(x *source) {
	if x != nil {
		x.close()
		x.assignment.release(s.exchange.relay, false)
	}
}

// endsAfterLastEvent reports whether a read error means that the upstream has ended the stream after the
// last event that the caller has.
func (s *stream) endsAfterLastEvent(err error) bool {
	return errors.Is(err, io.EOF) && s.exchange.lastEventID != ""
}

// eventsDelivered returns the number of events forwarded.
func (s *stream) eventsDelivered() int {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.events
}

// forward forwards the events of a source to the caller. It returns another source if the stream continues
// there, since the upstream of x was silent. Otherwise, a nil error means that the stream is complete.
func (s *stream) forward(ctx context.Context, x *source) (other *source, err error) {
	defer context.AfterFunc(ctx, x.close)()
	s.mutex.Lock()
	s.closeAnswer = x.close
	s.mutex.Unlock()
	w := s.newWatch(ctx, x.close)
	events := 0
	for {
		w.arm(s.eventTimeout())
		b, id, err := x.next()
		complete := errors.Is(err, io.EOF) && s.isComplete(ctx, x.answer)
		other := w.stop(err != nil && !complete)
		if complete {
			s.discard(other)
			return nil, nil
		}
		if other != nil {
			return other, nil
		}
		if err != nil {
			return nil, err
		}
		if s.alreadyDelivered(string(id)) {
			continue
		}
		if err := s.checkSequence(string(id)); err != nil {
			return nil, err
		}
		if err := s.writeEvent(x.answer, b); err != nil {
			return nil, fail.Wrap(fail.Interrupted, clientOrigin("deliver"), reasonCallerDisconnected, err)
		}
		s.recordEvent(string(id))
		if events++; events == clearanceLeadEvents {
			s.exchange.recordPartsHarmless()
		}
	}
}

// isComplete reports whether a stream whose answer has just ended without an error is complete. A
// stream without events is incomplete, unless the caller resumed it and may have had all events
// before. A stream whose run was stopped for a move is incomplete, too. An engine cuts off the answer
// of a stopped run, so that a self-delimiting answer which ends properly is that of a completed run.
// For other answers isComplete waits for the move to end: the response to the order to stop shows
// whether the run had completed before the order arrived.
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

// position returns the number of the last event forwarded, counted from the beginning of the
// generation, also where the caller resumed it.
func (s *stream) position() int {
	n, _ := eventNumber(s.exchange.request.LastEventID)
	return int(n) + s.eventsDelivered()
}

// recordEvent records that an event was forwarded.
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
	x.meter.RecordTokens(n, now, s.exchange.request.Arrived, &s.times)
	if s.assignment.running == nil {
		return
	}
	if s.assignment.running.Produced.Add(int64(n)) == int64(n) {
		x.tracker.RecordFirstToken(s.assignment.running)
	}
}

// run forwards the stream to its end and fails over to other upstreams if it breaks. retry reports
// whether the request may be sent to another upstream from the beginning.
func (s *stream) run(ctx context.Context, x *source) (retry bool, err error) {
	e := s.exchange
	if x.answer.Status != http.StatusOK {
		defer x.close()
		return e.deliver(ctx, x.answer)
	}
	for {
		other, err := s.forward(ctx, x)
		x.close()
		switch {
		case other != nil:
			e.startCrashCheckOfSilent(&x.sent, s.position()) // it may have crashed since the takeover began
			s.adopt(other)
			x = other
			continue
		case err == nil:
			s.finished = true
			e.recordCompleted()
			s.writeHeader(x.answer) // no event has written it if the caller had all of them before
			return false, nil
		case ctx.Err() != nil || fail.Reason(err) == reasonCallerDisconnected:
			if s.eventsDelivered() == 0 {
				e.checkCrashAfterDisconnect(&e.sent)
			}
			return false, fail.Wrap(fail.Interrupted, s.upstreamOrigin("read stream"), reasonCallerDisconnected, err)
		}
		e.checkCrash(&e.sent, s.position())
		if x, err = s.failOver(ctx, err); err != nil {
			return false, err
		}
	}
}

// tokensDelivered returns the number of tokens forwarded; the caller holds the mutex.
func (s *stream) tokensDelivered() int {
	return s.events * s.tokensPerEvent()
}

// tokensPerEvent returns the number of tokens in an event; the caller holds the mutex.
func (s *stream) tokensPerEvent() int {
	if g := s.assignment.upstream.Engine(); g != nil && g.TokensPerEvent > 0 {
		return g.TokensPerEvent
	}
	return 1
}

// upstream returns the upstream at which the generation runs now.
func (s *stream) upstream() *resource.Upstream {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.assignment.upstream
}

func (s *stream) upstreamOrigin(step string) fail.Origin {
	return fail.Origin{Peer: "upstream " + s.upstream().Name, Step: step}
}

// writeEvent writes one event to the caller, after the answer's header if it is the first.
func (s *stream) writeEvent(a *Answer, b []byte) error {
	e := s.exchange
	_ = s.control.SetWriteDeadline(time.Now().Add(eventWriteTimeout))
	s.writeHeader(a)
	if _, err := e.writer.Write(b); err != nil {
		return err
	}
	return s.control.Flush()
}

// writeHeader writes status and header of an answer to the caller, unless that was done before.
func (s *stream) writeHeader(a *Answer) {
	e := s.exchange
	if e.status != 0 {
		return
	}
	copyHeader(e.writer.Header(), a.Header)
	e.status = a.Status
	e.writer.WriteHeader(a.Status)
}

// eventNumber parses an event's id as a non-negative number, and reports whether it is one.
func eventNumber(id string) (int64, bool) {
	n, err := strconv.ParseInt(id, 10, 64)
	return n, err == nil && n >= 0
}
