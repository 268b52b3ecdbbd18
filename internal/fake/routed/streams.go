package routed

import (
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"
)

// run is a request that the engine is processing.
type run struct {
	kv            kvState
	stopped       chan struct{} // closed when the run is stopped for a move
	stopRequested bool
}

// admit starts or resumes the run of a request: at the first event, or after the last event that
// the caller has. It returns nil if the copy to resume from is not here. A copy can be used once,
// on either engine, so the peer's copy is deleted.
func (e *Engine) admit(r *http.Request) *run {
	_, handle, _ := strings.Cut(r.Header.Get("Kv-From"), "/")
	x := e.createRun(r, handle)
	if x != nil && x.kv.peer != nil {
		x.kv.peer.deleteCopy(handle)
	}
	return x
}

// awaitNextEvent waits until the next event is due, and reports whether the run continues.
func (e *Engine) awaitNextEvent(r *http.Request, x *run) bool {
	e.mutex.Lock()
	c, crashed := e.changed, e.crashed
	e.mutex.Unlock()
	if crashed {
		return false
	}
	select {
	case <-time.After(e.settings.EventInterval):
		return e.awaitRunning(r)
	case <-c:
	case <-x.stopped:
	case <-r.Context().Done():
	}
	return false
}

// createRun creates the run of a request, from the copy of that handle, or from scratch if the handle
// is empty. It returns nil if there is no such copy.
func (e *Engine) createRun(r *http.Request, handle string) *run {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	id := r.Header.Get("X-Linetiller-Request-Id")
	prompt, _, _ := strings.Cut(r.Header.Get("X-Linetiller-Token-Count"), ",")
	tokens, _ := strconv.Atoi(prompt)
	x := &run{kv: kvState{request: id, tokens: tokens}, stopped: make(chan struct{})}
	last, _ := strconv.Atoi(r.Header.Get("Last-Event-Id"))
	if handle != "" {
		m := e.copies[handle]
		if m == nil || m.request != id {
			return nil
		}
		delete(e.copies, handle)
		x.kv = *m
	} else {
		e.startCounts[id]++
	}
	x.kv.events = last
	e.runs[id] = x
	return x
}

// stopRun stops a run for a move. The engine keeps its KV cache.
func (e *Engine) stopRun(x *run) {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	if !x.stopRequested {
		x.stopRequested = true
		close(x.stopped)
	}
}

// stream writes the events of a run until its end.
func (e *Engine) stream(w http.ResponseWriter, r *http.Request, arrival int, f *Faults) {
	x := e.admit(r)
	if x == nil {
		e.writeStateHeaders(w.Header(), arrival, 0)
		e.refuse(w, http.StatusServiceUnavailable)
		return
	}
	id := x.kv.request
	defer func() {
		e.mutex.Lock()
		defer e.mutex.Unlock()
		if !x.stopRequested && e.runs[id] == x {
			delete(e.runs, id)
		}
	}()
	length, _ := strconv.Atoi(r.Header.Get("Length-Hint"))
	events := length / e.settings.TokensPerEvent
	if r.Header.Get("Kv-From") == "" {
		time.Sleep(time.Duration(x.kv.tokens) * e.settings.PrefillPerToken)
		e.awaitRunning(r)
	} else if x.kv.events >= events {
		x.kv.events = events - 1 // a resumed run emits at least one event
	}
	if f.RepeatLastEvent && x.kv.events > 0 {
		x.kv.events--
	}
	w.Header().Set("Content-Type", "text/event-stream")
	e.writeStateHeaders(w.Header(), arrival, 0)
	c := http.NewResponseController(w)
	poisonPart := e.poisonPartOf(r)
	for n := x.kv.events + 1; n <= events; n++ {
		if f.StallAfter > 0 && n > f.StallAfter {
			e.stall(r)
			panic(http.ErrAbortHandler)
		}
		if !e.awaitNextEvent(r, x) {
			panic(http.ErrAbortHandler)
		}
		if poisonPart != "" {
			e.crashOn(id, poisonPart)
		}
		e.writeEvent(w, f, id, n)
		_ = c.Flush()
		e.mutex.Lock()
		x.kv.events = n
		x.kv.tokens += e.settings.TokensPerEvent
		e.mutex.Unlock()
	}
}

// wakeStreams wakes all streams; the lock is held.
func (e *Engine) wakeStreams() {
	close(e.changed)
	e.changed = make(chan struct{})
}

// writeEvent writes event n, altered by the faults.
func (e *Engine) writeEvent(w io.Writer, f *Faults, id string, n int) {
	const faultAt = 3
	switch {
	case f.SkipEvent && n == faultAt:
		return
	case f.BadEventID && n == faultAt:
		_, _ = fmt.Fprintf(w, "id: %dx\ndata: %s\n\n", n, Event(id, n))
		return
	}
	if f.CutAfter > 0 && n > f.CutAfter {
		_, _ = fmt.Fprintf(w, "id: %d\ndata: ha", n)
		panic(http.ErrAbortHandler)
	}
	_, _ = fmt.Fprintf(w, "id: %d\ndata: %s\n\n", n, Event(id, n))
}
