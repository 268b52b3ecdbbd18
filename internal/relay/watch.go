package relay

import (
	"context"
	"sync"
	"time"

	"github.com/linetiller/linetiller/internal/resource"
)

// watch starts a takeover of a stream if something that is awaited from its upstream does not come in time. The
// takeover uses the exchange in place of the goroutine that waits, which must not use it until stop has returned.
// A nil watch does nothing.
type watch struct {
	ctx       context.Context // of the stream
	interrupt func()          // ends the wait
	stream    *stream
	timer     *time.Timer

	mutex    sync.Mutex // guards the fields below
	silentAt time.Time  // when the upstream counts as silent; zero if nothing is awaited
	takeover *takeover  // in progress; nil if there is none
}

// newWatch returns a watch whose waits are ended by interrupt once a takeover has succeeded. It returns nil for a
// stream that may not be resumed.
func (s *stream) newWatch(ctx context.Context, interrupt func()) *watch {
	if s.exchange.route.Spec.RetryPolicy != resource.RetryResume {
		return nil
	}
	return &watch{ctx: ctx, interrupt: interrupt, stream: s}
}

// arm begins a wait, in which the upstream counts as silent after d.
func (w *watch) arm(d time.Duration) {
	if w == nil {
		return
	}
	w.mutex.Lock()
	w.silentAt = time.Now().Add(d)
	w.mutex.Unlock()
	if w.timer == nil {
		w.timer = time.AfterFunc(d, w.fire)
		return
	}
	w.timer.Reset(d)
}

// stop ends the wait. It returns the source at another upstream if a takeover has succeeded, and nil otherwise. If
// the wait has failed, a takeover that has sent the request continues until its outcome is known; else it is
// cancelled.
func (w *watch) stop(failed bool) *source {
	if w == nil {
		return nil
	}
	w.timer.Stop()
	w.mutex.Lock()
	t := w.takeover
	w.silentAt, w.takeover = time.Time{}, nil
	w.mutex.Unlock()
	if t == nil {
		return nil
	}
	t.stop(failed)
	<-t.done
	return t.source
}

// fire runs a takeover if the wait has lasted too long.
func (w *watch) fire() {
	w.mutex.Lock()
	if w.silentAt.IsZero() || time.Now().Before(w.silentAt) {
		w.mutex.Unlock()
		return
	}
	t := newTakeover(w.ctx)
	w.silentAt, w.takeover = time.Time{}, t
	w.mutex.Unlock()
	defer close(t.done)
	if w.stream.takeOver(t) {
		w.interrupt()
	}
}
