package relay

import (
	"context"
	"sync"
	"time"

	"github.com/linetiller/linetiller/internal/event"
	"github.com/linetiller/linetiller/internal/placement"
	"github.com/linetiller/linetiller/internal/resource"
)

// move is the live migration of one generation from an engine that is leaving to
// another one: its memory is copied while it runs, then it is stopped, the rest
// is copied, and its stream continues at the other engine.
type move struct {
	done chan struct{} // closed when the move has ended
	from *resource.Upstream

	mutex   sync.Mutex // guards the fields below until done is closed
	copy    *Copy      // the latest copy, nil if there is none
	running *placement.Generation
	stopped bool // the source was ordered to stop the generation
	to      *resource.Upstream
}

// moveWaitTimeout bounds the wait for a move to finish after the source's stream has
// ended: callers disconnect if a stream pauses for two seconds or more.
const moveWaitTimeout = 2 * time.Second

// releaseTimeout bounds the call that releases a copy. It runs in the background.
const releaseTimeout = 2 * time.Second

// abandon releases the copy and the reservation of a move that is no longer needed, because its
// generation is complete or its caller has disconnected. It does so in the background, once the
// move has ended.
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

// hasCopy reports whether the generation can be resumed from a copy.
func (m *move) hasCopy() bool {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	return m.copy != nil && m.to != nil
}

// releaseReservation releases the place reserved at the target engine.
func (m *move) releaseReservation(x *Relay) {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	if m.running != nil {
		x.tracker.Finish(m.running, false)
	}
	m.running, m.to = nil, nil
}

// sourceStopped reports whether the source was ordered to stop the generation.
func (m *move) sourceStopped() bool {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	return m.stopped
}

// target returns the engine to move to, or nil if none is chosen.
func (m *move) target() *resource.Upstream {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	return m.to
}

// wait waits until the move has ended, for moveWaitTimeout at most.
func (m *move) wait(ctx context.Context) {
	select {
	case <-m.done:
	case <-ctx.Done():
	case <-time.After(moveWaitTimeout):
	}
}
