package routed

import (
	"net/http"
	"time"
)

// Pause suspends the process for d: its streams send nothing, and calls get no answer, until it resumes.
func (e *Engine) Pause(d time.Duration) {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	e.pausedUntil = time.Now().Add(d)
}

// awaitRunning waits until the process is not paused, and reports whether the call r is still open then.
func (e *Engine) awaitRunning(r *http.Request) bool {
	for {
		e.mutex.Lock()
		d := time.Until(e.pausedUntil)
		e.mutex.Unlock()
		if d <= 0 {
			return r.Context().Err() == nil
		}
		select {
		case <-time.After(d):
		case <-r.Context().Done():
			return false
		}
	}
}

// stall waits until the engine crashes, its streams are reset, or the caller of r leaves.
func (e *Engine) stall(r *http.Request) {
	e.mutex.Lock()
	c := e.changed
	e.mutex.Unlock()
	select {
	case <-c:
	case <-r.Context().Done():
	}
}

// Reset breaks off the answers of all streams, as a lost link does. The engine keeps running.
func (e *Engine) Reset() {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	e.wakeStreams()
}
