package relay

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/linetiller/linetiller/internal/event"
	"github.com/linetiller/linetiller/internal/fail"
	"github.com/linetiller/linetiller/internal/metric"
	"github.com/linetiller/linetiller/internal/policy"
	"github.com/linetiller/linetiller/internal/resource"
)

// takeover is an attempt to continue a stream at another upstream while the one that runs it is silent. The answer
// of the silent upstream stays open until the other one has sent an event, so that the stream continues with
// whichever is first.
type takeover struct {
	cancel     context.CancelCauseFunc
	ctx        context.Context
	done       chan struct{} // closed when the attempt has ended
	overBudget bool          // the retry budget did not allow a try
	source     *source       // set before done is closed; nil if the stream does not continue elsewhere
	tries      int

	mutex    sync.Mutex // guards the fields below
	failed   bool       // the answer of the silent upstream has broken off
	sent     bool       // the request was sent to another upstream, which may continue the stream
	finished bool       // source is set
}

const (
	// silentAfter is how long all streams of an upstream at this box must have waited for their next event before
	// takeovers avoid the upstream.
	silentAfter = nextEventTimeout / 2
	// takeoverPause is the pause between two tries of a takeover.
	takeoverPause = 500 * time.Millisecond
	// unqueuedTries is how many tries of a takeover do not wait in a queue: most silences are short, and owners
	// refuse other work because of work that is queued.
	unqueuedTries = 3
	// reasonSilent is the reason why a stream continues elsewhere after a takeover.
	reasonSilent = "upstream_silent"
)

// errUpstreamHeard is the cause of the cancellation of a takeover: the silent upstream has sent something.
var errUpstreamHeard = errors.New("the silent upstream has sent something")

// newTakeover returns a takeover of a stream with the context ctx.
func newTakeover(ctx context.Context) *takeover {
	t := &takeover{done: make(chan struct{})}
	t.ctx, t.cancel = context.WithCancelCause(ctx)
	return t
}

// beginSend records that the request is about to be sent. It reports whether it still may be.
func (t *takeover) beginSend() bool {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	t.sent = t.ctx.Err() == nil
	return t.sent
}

// endSend records that the upstream to which the request was sent cannot continue the stream.
func (t *takeover) endSend() {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	t.sent = false
}

// finish ends the takeover with a source, unless it was cancelled before.
func (t *takeover) finish(x *source) bool {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	if t.ctx.Err() != nil {
		return false
	}
	t.source, t.finished = x, true
	return true
}

// mayContinue reports whether the takeover may try another upstream.
func (t *takeover) mayContinue() bool {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	return !t.failed && t.ctx.Err() == nil
}

// pause waits for takeoverPause, or until the takeover must not continue.
func (t *takeover) pause() {
	if !t.mayContinue() {
		return
	}
	select {
	case <-t.ctx.Done():
	case <-time.After(takeoverPause):
	}
}

// stop ends the takeover as something has come from the silent upstream, or as its answer has broken off if failed
// is set.
func (t *takeover) stop(failed bool) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	t.failed = failed
	if !t.finished && (!failed || !t.sent) {
		t.cancel(errUpstreamHeard)
	}
}

// adopt continues the stream with a source that a takeover has opened.
func (s *stream) adopt(x *source) {
	e := s.exchange
	s.abandonMove()
	s.mutex.Lock()
	old := s.assignment
	s.assignment = x.assignment
	s.mutex.Unlock()
	old.release(e.relay, false)
	e.relay.metrics.Count(metric.Resumptions, "reason", reasonSilent)
	event.StreamResumed.Log(e.relay.log, "request", e.request.ID, "upstream", s.upstream().Name, "reason", reasonSilent, "last_event", e.lastEventID)
	e.relay.startMoves() // the engine may have announced its shutdown since it was chosen
}

// hasCopy reports whether a move has ended with a copy from which the run can be resumed.
func (s *stream) hasCopy() bool {
	s.mutex.Lock()
	m := s.move
	s.mutex.Unlock()
	if m == nil {
		return false
	}
	select {
	case <-m.done:
		return m.hasCopy()
	default:
		return false
	}
}

// lastEvent returns where the stream runs and when its last event came, the zero time if it has none.
func (s *stream) lastEvent() (*resource.Upstream, time.Time) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.assignment.upstream, s.lastEventAt
}

// takeOver tries to continue the stream at other upstreams, one after another, until one has sent its first event or
// the takeover is cancelled. It reports whether the wait for the silent upstream must end: the stream continues at
// another one, or from a copy of its run that is complete.
func (s *stream) takeOver(t *takeover) bool {
	e := s.exchange
	silent := e.sent
	e.recordSilence(silent.upstream, s.eventsDelivered())
	awaitCrashCheck(e.startCrashCheckOfSilent(&silent, s.position()))
	for t.mayContinue() && e.maySendAgain() && e.mayRunAgain() {
		if s.hasCopy() {
			return true
		}
		x, err := s.tryTakeover(t)
		if err == nil && t.finish(x) {
			return true
		}
		if err == nil {
			s.discard(x)
			break
		}
		t.endSend()
		t.pause()
	}
	e.sent = silent
	return false
}

// takeoverWork describes the rest of the generation as remainingWork does. Its reservation has an id of its own, also
// beside one of a move.
func (s *stream) takeoverWork() *policy.Work {
	s.countReassignment()
	w := s.remainingWork()
	s.countReassignment()
	return w
}

// tryTakeover tries one other upstream if the retry budget allows it.
func (s *stream) tryTakeover(t *takeover) (*source, error) {
	e := s.exchange
	if e.retryChargedAt.IsZero() && !e.relay.retryBudget.HasRoom(e.service.Name, time.Now()) {
		if !t.overBudget {
			e.recordOverBudget(reasonSilent, "upstream "+e.sent.upstream.Name)
		}
		t.overBudget = true
		return nil, e.budgetError()
	}
	return s.openElsewhere(t)
}

// budgetError returns the error for a takeover that the retry budget does not allow.
func (e *exchange) budgetError() error {
	return fail.New(fail.NotRun, e.serviceOrigin(), string(policy.ReasonRetryBudget), "the retry budget is used up")
}

// endSuperseded records that an attempt to send was ended because the stream continues at another upstream. Its answer
// may have begun.
func (e *exchange) endSuperseded(c *sendAttempt, a *Answer) {
	if a != nil {
		_ = a.Body.Close()
	}
	e.relay.health.RecordAnswer(c.upstream.Name, true, nil, time.Now())
	event.UpstreamFailed.Log(e.relay.log, "request", e.request.ID, "upstream", c.upstream.Name, "reason", reasonSilent)
}

// avoidSilent returns avoid with the upstreams added that are silent: all streams in progress there, of those of this
// box that had an event, have waited for their next one for silentAfter.
func (x *Relay) avoidSilent(avoid map[string]bool) map[string]bool {
	all := make(map[string]bool, len(avoid))
	for n, at := range x.lastEvents() {
		if time.Since(at) >= silentAfter {
			all[n] = true
		}
	}
	for n := range avoid {
		all[n] = true
	}
	return all
}

// lastEvents returns when the last event of any stream in progress came from each upstream.
func (x *Relay) lastEvents() map[string]time.Time {
	x.mutex.Lock()
	l := make([]*stream, 0, len(x.streams))
	for s := range x.streams {
		l = append(l, s)
	}
	x.mutex.Unlock()
	last := make(map[string]time.Time)
	for _, s := range l {
		u, at := s.lastEvent()
		if at.After(last[u.Name]) {
			last[u.Name] = at
		}
	}
	return last
}
