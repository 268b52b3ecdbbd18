package routed

import (
	"encoding/json"
	"net/http"
	"time"
)

// kvState is what an engine holds of a run.
type kvState struct {
	events  int
	peer    *Engine // of a copy: the engine that holds the other one, nil where none does
	request string
	tokens  int
}

// copyTo copies what is new of a run to a peer, which holds it under a handle.
func (e *Engine) copyTo(p *Engine, x *run, handle string) {
	e.link <- struct{}{}
	defer func() { <-e.link }()
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

// move answers an order to copy a run to another engine.
func (e *Engine) move(w http.ResponseWriter, r *http.Request, f *Faults) {
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
		e.stop(x)
	}
	handle := "h-" + o.ID
	e.copyTo(p, x, handle)
	e.mutex.Lock()
	dead, made := e.crashed, x.kv.events
	if o.Last { // it may be taken up here, too
		m := x.kv
		m.peer = p
		e.copies[handle] = &m
	}
	e.mutex.Unlock()
	if dead || f.LoseCopyAnswers {
		panic(http.ErrAbortHandler)
	}
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(map[string]any{"handle": handle, "made": made})
}

// release gives up a copy, at both ends.
func (e *Engine) release(handle string) {
	if m := e.drop(handle); m != nil && m.peer != nil {
		m.peer.drop(handle)
	}
}

// drop forgets a copy and returns it, or nil.
func (e *Engine) drop(handle string) *kvState {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	m := e.copies[handle]
	delete(e.copies, handle)
	return m
}
