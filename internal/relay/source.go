package relay

import (
	"context"
	"net/http"

	"github.com/linetiller/linetiller/internal/fail"
	"github.com/linetiller/linetiller/internal/resource"
	"github.com/linetiller/linetiller/internal/sse"
)

// source is the answer of one upstream with the events of a stream.
type source struct {
	answer     *Answer
	assignment *assignment // nil if the run was resumed from a copy
	cancel     context.CancelFunc
	events     *sse.Splitter
	firstRead  *readEvent // the first event if it was read ahead; nil once it was returned
	sent       sendAttempt
}

// readEvent is the outcome of reading an event.
type readEvent struct {
	data, id []byte
	err      error
}

// awaitFirstEvent reads the first event of a source ahead. If the upstream is silent and another one sends its
// first event before, it returns the source of that one.
func (s *stream) awaitFirstEvent(ctx context.Context, x *source) (*source, error) {
	defer context.AfterFunc(ctx, x.close)()
	w := s.newWatch(ctx, x.close)
	w.arm(firstEventTimeout)
	var v readEvent
	v.data, v.id, v.err = x.events.Next()
	failed := v.err != nil && !s.endsAfterLastEvent(v.err)
	if other := w.stop(failed); other != nil {
		s.discard(x)
		return other, nil
	}
	if failed {
		x.close()
		return nil, fail.Wrap(fail.Unknown, fail.Origin{Peer: "upstream " + x.sent.upstream.Name, Step: "read stream"}, "stream_broken", v.err)
	}
	x.firstRead = &v
	return x, nil
}

// open sends the request to u, where t assigns it, or resumes a run there if r is set, and returns the source once the
// answer has begun. If the upstream is silent and another one sends its first event before, open returns the
// source of that one and continues the stream there.
func (s *stream) open(ctx context.Context, t *assignment, u *resource.Upstream, r *Resume) (*source, error) {
	x, err := s.openUnadopted(ctx, t, u, r)
	if err == nil && x.assignment != t {
		s.adopt(x)
	}
	return x, err
}

// openAssigned opens a source of the rest of the stream at the upstream of an assignment, and returns it once its
// first event has come.
func (s *stream) openAssigned(t *takeover, a *assignment) (*source, error) {
	e := s.exchange
	if !e.takeRetry() {
		return nil, e.budgetError()
	}
	u, err := e.checkBeforeSend(t.ctx, a)
	if err != nil {
		return nil, err
	}
	if !t.beginSend() {
		return nil, t.ctx.Err()
	}
	e.recordRetry(reasonSilent, "upstream "+e.sent.upstream.Name)
	x, err := s.openUnadopted(t.ctx, a, u, nil)
	if err != nil {
		return nil, err
	}
	if x.assignment != a {
		a.release(e.relay, false)
		return x, nil
	}
	if x.answer.Status != http.StatusOK {
		x.close()
		return nil, fail.New(fail.Unknown, fail.Origin{Peer: "upstream " + u.Name, Step: "resume"}, "upstream_failed", "status %d", x.answer.Status)
	}
	return s.awaitFirstEvent(t.ctx, x)
}

// openElsewhere chooses another upstream, opens a source of the rest of the stream there, and returns it once its first
// event has come.
func (s *stream) openElsewhere(t *takeover) (*source, error) {
	e := s.exchange
	w := s.takeoverWork()
	w.NoQueue = t.tries < unqueuedTries
	t.tries++
	a, err := e.assign(t.ctx, w, e.relay.avoidSilent(e.avoid))
	if err != nil {
		return nil, err
	}
	x, err := s.openAssigned(t, a)
	if err != nil {
		a.release(e.relay, false)
	}
	return x, err
}

// openUnadopted is open, but leaves it to its caller to continue the stream at the other upstream.
func (s *stream) openUnadopted(ctx context.Context, t *assignment, u *resource.Upstream, r *Resume) (*source, error) {
	e := s.exchange
	o := e.beginSend(u, r)
	sent := e.sent
	sendCtx, cancel := context.WithCancel(ctx)
	w := s.newWatch(ctx, cancel)
	w.arm(firstEventTimeout)
	a, err := e.relay.Upstreams.Send(sendCtx, u, e.request, o)
	if other := w.stop(err != nil); other != nil {
		cancel()
		e.endSuperseded(&sent, a)
		return other, nil
	}
	if a, err = e.endSend(ctx, &sent, a, err); err != nil {
		cancel()
		return nil, err
	}
	v := sse.NewSplitter(a.Body)
	v.OnGrow = func(n int) { e.request.Memory.Add(int64(n)) }
	return &source{answer: a, assignment: t, cancel: cancel, events: v, sent: sent}, nil
}

// close ends the answer.
func (x *source) close() {
	x.cancel()
	_ = x.answer.Body.Close()
}

// next returns the next event and its ID, which are valid until the next call.
func (x *source) next() (data, id []byte, err error) {
	if v := x.firstRead; v != nil {
		x.firstRead = nil
		return v.data, v.id, v.err
	}
	return x.events.Next()
}
