package relay

import (
	"context"
	"sync"
	"time"

	"github.com/linetiller/linetiller/internal/event"
	"github.com/linetiller/linetiller/internal/placement"
	"github.com/linetiller/linetiller/internal/resource"
)

// move is the way of one running generation from an engine that is leaving to
// another one: its memory is copied while it runs, then it is stopped, the rest
// is copied, and its stream goes on at the other engine.
type move struct {
	done chan struct{} // closed at its end
	from *resource.Upstream

	mutex   sync.Mutex // guards the fields below until done is closed
	copy    *Copy      // the newest copy, nil where there is none
	running *placement.Running
	stopped bool // the source was told to stop
	to      *resource.Upstream
}

// moveWaitTimeout bounds the wait for a move's end once the stream has ended:
// callers leave after a pause of two seconds or more.
const moveWaitTimeout = 2 * time.Second

// releaseTimeout bounds the call that gives up a copy, which nobody waits for.
const releaseTimeout = 2 * time.Second

// abandon gives up a move whose generation has ended or whose caller has gone.
func (m *move) abandon(x *Relay) {
	x.workers.Go(func() {
		<-m.done
		m.mutex.Lock()
		c := m.copy
		m.mutex.Unlock()
		m.releaseReservation(x)
		if c == nil {
			return
		}
		ctx, cancel := context.WithTimeout(context.Background(), releaseTimeout)
		defer cancel()
		if err := x.Upstreams.Release(ctx, m.from, c.Handle); err != nil {
			event.MoveFailed.Log(x.log, "from", m.from.Name, "reason", "release_failed", "error", err.Error())
		}
	})
}

// hasCopy reports whether the generation can go on from a copy.
func (m *move) hasCopy() bool {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	return m.copy != nil && m.to != nil
}

// releaseReservation gives back the place that was reserved at the engine to move to.
func (m *move) releaseReservation(x *Relay) {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	if m.running != nil {
		x.tracker.Finish(m.running, false)
	}
	m.running, m.to = nil, nil
}

// sourceStopped reports whether the source was told to stop.
func (m *move) sourceStopped() bool {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	return m.stopped
}

// target returns the engine to move to, or nil.
func (m *move) target() *resource.Upstream {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	return m.to
}

// wait waits for the move's end, but not for long: callers leave after a pause.
func (m *move) wait(ctx context.Context) {
	select {
	case <-m.done:
	case <-ctx.Done():
	case <-time.After(moveWaitTimeout):
	}
}
