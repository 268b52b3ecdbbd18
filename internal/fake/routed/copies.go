package routed

import (
	"encoding/json"
	"net/http"
	"time"
)

// kvState is the KV cache of a run, on the engine that runs it or as a copy on another one.
type kvState struct {
	events  int     // number emitted so far
	peer    *Engine // set in a copy: the engine that holds the other copy; nil if there is none
	request string
	tokens  int // size of the cache in tokens
}

// copyTo copies the part of a run's KV cache that the peer does not have yet, and stores it there
// under the handle. It takes as long as the transfer would.
func (e *Engine) copyTo(p *Engine, x *run, handle string) {
	e.linkSlot <- struct{}{}
	defer func() { <-e.linkSlot }()
	e.mutex.Lock()
	m := x.kv
	e.mutex.Unlock()
	p.mutex.Lock()
	old := p.copies[handle]
	p.mutex.Unlock()
	tokens := m.tokens
	if old != nil {
		tokens -= old.tokens
	}
	time.Sleep(time.Millisecond + time.Duration(tokens)*e.settings.CopyPerToken)
	m.peer = e
	p.mutex.Lock()
	defer p.mutex.Unlock()
	p.copies[handle] = &m
}

// deleteCopy deletes a copy and returns it, or nil if there is none.
func (e *Engine) deleteCopy(handle string) *kvState {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	m := e.copies[handle]
	delete(e.copies, handle)
	return m
}

// handleMove handles an order to copy a run to another engine. The last copy stops the run here first.
func (e *Engine) handleMove(w http.ResponseWriter, r *http.Request, f *Faults) {
	var o struct {
		ID   string `json:"id"`
		Last bool   `json:"last"`
		To   string `json:"target_version"`
	}
	_ = json.NewDecoder(r.Body).Decode(&o)
	if o.Last {
		time.Sleep(f.StopDelay)
	}
	e.mutex.Lock()
	x := e.runs[o.ID]
	e.mutex.Unlock()
	p := e.Peer(o.To)
	switch {
	case f.CopyStatus != 0:
		w.WriteHeader(f.CopyStatus)
		return
	case x == nil:
		w.WriteHeader(http.StatusNotFound)
		return
	case p == nil:
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	if o.Last {
		e.stopRun(x)
	}
	handle := "h-" + o.ID
	e.copyTo(p, x, handle)
	e.mutex.Lock()
	crashed, events := e.crashed, x.kv.events
	if o.Last { // the run may also be resumed here
		m := x.kv
		m.peer = p
		e.copies[handle] = &m
	}
	e.mutex.Unlock()
	if crashed || f.LoseCopyAnswers {
		panic(http.ErrAbortHandler)
	}
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(map[string]any{"handle": handle, "made": events})
}

// releaseCopy deletes a copy on this engine and on its peer.
func (e *Engine) releaseCopy(handle string) {
	if m := e.deleteCopy(handle); m != nil && m.peer != nil {
		m.peer.deleteCopy(handle)
	}
}
