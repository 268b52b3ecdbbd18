// Package routed is a small stand-in of the engines and services that requests
// of routes go to on the users' platform. It speaks the published protocol:
// streams of events, reports, refusals that say that nothing ran, and copies of a
// run's memory from which another engine goes on.
package routed

import (
	"encoding/json"
	"fmt"
	"hash/fnv"
	"io"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

// Settings describes an engine.
type Settings struct {
	CopyToken     time.Duration // to copy one token of memory to another engine
	EventEvery    time.Duration // between two events of a stream
	KVTokens      int
	PrefillToken  time.Duration // to read one token of a prompt
	TokensAnEvent int
}

// Faults are the switches of the stand-in.
type Faults struct {
	BreakAfter int           // streams break off in the middle of an event after that many
	FailCopies int           // status of the next copies, 0 for none
	LateStops  time.Duration // after which an order to stop a run is looked at
	Gap        bool          // streams leave out their third event
	OtherEcho  bool          // answers name another request
	Refuse     int           // status of answers that say that nothing ran, 0 for none
	Silent     bool          // nothing is answered
	Status     int           // of answers in place of 200, 0 for none
	Unsigned   bool          // answers lack the engine's mark
	LoseCopies bool          // copies are made and their answers lost
	Body       string        // of answers that are no streams
}

// Engine is the stand-in. It is an http.Handler.
type Engine struct {
	// Peer returns the engine at an address; a seam.
	Peer func(address string) *Engine

	id       string
	mutex    sync.Mutex
	changed  chan struct{} // closed when the engine dies or a run is stopped
	copies   map[string]*memory
	dead     bool
	faults   Faults
	leaving  bool
	link     sync.Mutex // one copy goes over the link at a time
	requests []http.Header
	runs     map[string]*run
	settings Settings
	started  map[string]int // by request: runs from their beginning
}

// memory is what an engine holds of a run.
type memory struct {
	events  int
	request string
	tokens  int
}

// run is a request at work.
type run struct {
	memory  memory
	stopped chan struct{} // closed when the run was stopped for a move
	stop    bool
}

// DefaultSettings returns an engine like those of the users: an event each 32 ms,
// 64 MB a run over 2.7 Gbit/s.
func DefaultSettings() Settings {
	return Settings{
		CopyToken: 55 * time.Microsecond, EventEvery: 32 * time.Millisecond, KVTokens: 34_500,
		PrefillToken: 70 * time.Microsecond, TokensAnEvent: 4,
	}
}

// New returns an engine of that id.
func New(id string, s Settings) *Engine {
	return &Engine{
		Peer: func(string) *Engine { return nil }, changed: make(chan struct{}), copies: make(map[string]*memory), id: id,
		runs: make(map[string]*run), settings: s, started: make(map[string]int),
	}
}

// Event returns the data of event n of a request, which is the same at every
// engine, as that of one generation is.
func Event(request string, n int) string {
	h := fnv.New32a()
	_, _ = fmt.Fprintf(h, "%s/%d", request, n)
	return fmt.Sprintf("%s.%d.%08x", request, n, h.Sum32())
}

// Copies returns how many copies the engine holds.
func (e *Engine) Copies() int {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	return len(e.copies)
}

// Die ends the engine: its streams break off, and it answers nothing any more.
func (e *Engine) Die() {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	e.dead = true
	e.signal()
}

// Leave makes the engine's report say that it is leaving.
func (e *Engine) Leave() {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	e.leaving = true
}

// Requests returns the headers of the requests that reached the engine.
func (e *Engine) Requests() []http.Header {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	return append([]http.Header(nil), e.requests...)
}

// Running returns how many requests are at work.
func (e *Engine) Running() int {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	return len(e.runs)
}

// SetFaults switches faults on and off.
func (e *Engine) SetFaults(f Faults) {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	e.faults = f
}

// Started returns how often a request was run from its beginning.
func (e *Engine) Started(request string) int {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	return e.started[request]
}

// ServeHTTP answers one call.
func (e *Engine) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	e.mutex.Lock()
	f, dead := e.faults, e.dead
	e.mutex.Unlock()
	if dead {
		panic(http.ErrAbortHandler)
	}
	if f.Silent {
		<-r.Context().Done()
		return
	}
	switch {
	case r.URL.Path == "/report":
		e.report(w)
	case r.URL.Path == "/kv-move":
		e.move(w, r, &f)
	case strings.HasPrefix(r.URL.Path, "/kv-handle/"):
		e.release(strings.TrimPrefix(r.URL.Path, "/kv-handle/"))
	default:
		e.serve(w, r, &f)
	}
}

// admit finds where a request begins: at its first event or at that after the
// last one which its caller has. It returns nil where the copy is not held.
func (e *Engine) admit(r *http.Request) *run {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	id := r.Header.Get("X-Linetiller-Request-Id")
	prompt, _, _ := strings.Cut(r.Header.Get("X-Linetiller-Token-Count"), ",")
	tokens, _ := strconv.Atoi(prompt)
	x := &run{memory: memory{request: id, tokens: tokens}, stopped: make(chan struct{})}
	if from := r.Header.Get("Kv-From"); from != "" {
		_, handle, _ := strings.Cut(from, "/")
		m := e.copies[handle]
		if m == nil || m.request != id {
			return nil
		}
		delete(e.copies, handle)
		last, _ := strconv.Atoi(r.Header.Get("Last-Event-Id"))
		x.memory = *m
		x.memory.events = last
	} else {
		e.started[id]++
	}
	e.runs[id] = x
	return x
}

// copyTo copies what is new of a run to a peer, which holds it under a handle.
func (e *Engine) copyTo(p *Engine, x *run, handle string) {
	e.link.Lock()
	defer e.link.Unlock()
	e.mutex.Lock()
	m := x.memory
	e.mutex.Unlock()
	p.mutex.Lock()
	old := p.copies[handle]
	p.mutex.Unlock()
	tokens := m.tokens
	if old != nil {
		tokens -= old.tokens
	}
	time.Sleep(time.Millisecond + time.Duration(tokens)*e.settings.CopyToken)
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
		time.Sleep(f.LateStops)
	}
	e.mutex.Lock()
	x := e.runs[o.ID]
	e.mutex.Unlock()
	p := e.Peer(o.To)
	switch {
	case f.FailCopies != 0:
		w.WriteHeader(f.FailCopies)
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
	dead, made := e.dead, x.memory.events
	e.mutex.Unlock()
	if dead || f.LoseCopies {
		panic(http.ErrAbortHandler)
	}
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(map[string]any{"handle": handle, "made": made})
}

func (e *Engine) release(handle string) {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	delete(e.copies, handle)
}

func (e *Engine) report(w http.ResponseWriter) {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	used := 0
	for _, x := range e.runs {
		used += x.memory.tokens
	}
	state := "ready"
	if e.leaving {
		state = "draining"
	}
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(map[string]any{"kv_total": e.settings.KVTokens, "kv_used": used, "queued": 0, "running": len(e.runs), "state": state})
}

// serve answers a request of a route.
func (e *Engine) serve(w http.ResponseWriter, r *http.Request, f *Faults) {
	b, _ := io.ReadAll(r.Body)
	e.mutex.Lock()
	e.requests = append(e.requests, r.Header.Clone())
	e.mutex.Unlock()
	id := r.Header.Get("X-Linetiller-Request-Id")
	if x := r.Header.Get("X-Linetiller-Expect-Instance"); x != "" && x != e.id {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	if f.Refuse != 0 {
		e.refuse(w, f.Refuse)
		return
	}
	h := w.Header()
	h.Set("X-Linetiller-Request-Id", id)
	h.Set("Content-Type", "text/plain")
	if f.OtherEcho {
		h.Set("X-Linetiller-Request-Id", "another")
	}
	if !f.Unsigned {
		h.Set("X-Linetiller-Server-Stamp", "stamp."+e.id)
	}
	if hint := r.Header.Get("Length-Hint"); hint != "" && f.Status == 0 {
		e.stream(w, r, f)
		return
	}
	if r.Header.Get("Kv-From") == "" { // or it is still the run that was begun elsewhere
		e.mutex.Lock()
		e.started[id]++
		e.mutex.Unlock()
	}
	if f.Status != 0 {
		w.WriteHeader(f.Status)
	}
	_, _ = fmt.Fprintf(w, "%s of %s: %s %s %s%s", e.id, id, r.Method, r.RequestURI, b, f.Body) //nolint:gosec // No browser reads what a stand-in says.
}

func (e *Engine) refuse(w http.ResponseWriter, status int) {
	w.Header().Set("X-Linetiller-Not-Executed", "1")
	w.WriteHeader(status)
}

// signal wakes all streams; the lock is held.
func (e *Engine) signal() {
	close(e.changed)
	e.changed = make(chan struct{})
}

func (e *Engine) stop(x *run) {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	if !x.stop {
		x.stop = true
		close(x.stopped)
	}
}

// stream writes the events of a run until its end.
func (e *Engine) stream(w http.ResponseWriter, r *http.Request, f *Faults) {
	x := e.admit(r)
	if x == nil {
		e.refuse(w, http.StatusServiceUnavailable)
		return
	}
	id := x.memory.request
	defer func() {
		e.mutex.Lock()
		defer e.mutex.Unlock()
		if !x.stop && e.runs[id] == x {
			delete(e.runs, id)
		}
	}()
	length, _ := strconv.Atoi(r.Header.Get("Length-Hint"))
	events := length / e.settings.TokensAnEvent
	if r.Header.Get("Kv-From") == "" {
		time.Sleep(time.Duration(x.memory.tokens) * e.settings.PrefillToken)
	}
	if x.memory.events >= events {
		x.memory.events = events - 1 // a run that is taken up makes one event at least
	}
	w.Header().Set("Content-Type", "text/event-stream")
	c := http.NewResponseController(w)
	for n := x.memory.events + 1; n <= events; n++ {
		if !e.wait(r, x) {
			panic(http.ErrAbortHandler)
		}
		e.write(w, f, id, n)
		_ = c.Flush()
		e.mutex.Lock()
		x.memory.events = n
		x.memory.tokens += e.settings.TokensAnEvent
		e.mutex.Unlock()
	}
}

// wait waits until the next event is due, and reports whether the run goes on.
func (e *Engine) wait(r *http.Request, x *run) bool {
	e.mutex.Lock()
	c, dead := e.changed, e.dead
	e.mutex.Unlock()
	if dead {
		return false
	}
	select {
	case <-time.After(e.settings.EventEvery):
		return true
	case <-c:
	case <-x.stopped:
	case <-r.Context().Done():
	}
	return false
}

func (e *Engine) write(w io.Writer, f *Faults, id string, n int) {
	const gapAt = 3
	if f.Gap && n == gapAt {
		return
	}
	if f.BreakAfter > 0 && n > f.BreakAfter {
		_, _ = fmt.Fprintf(w, "id: %d\ndata: ha", n)
		panic(http.ErrAbortHandler)
	}
	_, _ = fmt.Fprintf(w, "id: %d\ndata: %s\n\n", n, Event(id, n))
}
