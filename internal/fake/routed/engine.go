// Package routed is a small fake of the platform's engines and services that requests of routes are
// sent to. It implements the published protocol: event streams, load reports, refusals which state that
// the request did not run, and copies of a run's KV cache from which another engine resumes it.
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

// Engine is a fake engine or service. It is an http.Handler.
type Engine struct {
	// OnCrash is a test hook, called with the ID of the poison request that crashed the engine.
	OnCrash func(request string)
	// OnCrashBody is a test hook, called with the body of the poison request that crashed the
	// engine.
	OnCrashBody func(body string)
	// OnCrashPart is a test hook, called with the poison part of a prompt that crashed the engine.
	OnCrashPart func(part string)
	// FindPoisonPart is a test hook that returns the part of a prompt under which the engine crashes
	// as it begins to write an answer, or "" if there is none. The last part of the prompt is left out.
	FindPoisonPart func(parts []string) string
	// Peer is a test hook that returns the engine at an address, or nil if there is none.
	Peer func(address string) *Engine

	id          string
	mutex       sync.Mutex
	changed     chan struct{} // closed and replaced when the engine crashes
	cold        coldStart
	copies      map[string]*kvState
	crashed     bool
	faults      Faults
	leaving     bool
	limit       string        // in requests per second, as announced in answers; "" for none
	pausedUntil time.Time     // until when the process does not run
	linkSlot    chan struct{} // semaphore of the link that copies use; a channel, because waiting for a mutex would stop virtual time
	requests    []http.Header
	runs        map[string]*run
	settings    Settings
	startCounts map[string]int // by request ID: runs that were started from the first event
	arrivals    []Arrival
}

// New returns an engine with an ID.
func New(id string, s Settings) *Engine {
	return &Engine{
		OnCrash: func(string) {}, OnCrashBody: func(string) {}, OnCrashPart: func(string) {}, FindPoisonPart: findPoisonPart,
		Peer: func(string) *Engine { return nil }, changed: make(chan struct{}), copies: make(map[string]*kvState), id: id, linkSlot: make(chan struct{}, 1),
		runs: make(map[string]*run), settings: s, startCounts: make(map[string]int),
	}
}

// PoisonPrefix is the beginning of the body of a poison request, which crashes every engine that
// it reaches.
const PoisonPrefix = "deadly"

// PoisonPartPrefix is the beginning of the id of a poison part, which crashes every engine that begins
// to write an answer to a prompt with it.
const PoisonPartPrefix = "dead"

// Event returns the data of event n of a request. It is the same on every engine, so that a
// resumed stream can be checked.
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

// Crash ends the engine: its streams break off, and it answers no more calls.
func (e *Engine) Crash() {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	e.crashed = true
	e.wakeStreams()
}

// Crashed reports whether the engine has crashed.
func (e *Engine) Crashed() bool {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	return e.crashed
}

// Leave makes the engine announce in its load report and in all answers that it is leaving.
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

// RunningRequests returns how many requests the engine is processing.
func (e *Engine) RunningRequests() int {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	return len(e.runs)
}

// ServeHTTP answers one call.
func (e *Engine) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if !e.awaitRunning(r) {
		return
	}
	e.mutex.Lock()
	f, crashed := e.faults, e.crashed
	e.mutex.Unlock()
	if crashed {
		panic(http.ErrAbortHandler)
	}
	if f.Silent {
		<-r.Context().Done()
		return
	}
	switch {
	case r.URL.Path == "/report":
		e.writeReport(w)
	case r.URL.Path == "/kv-move":
		e.handleMove(w, r, &f)
	case strings.HasPrefix(r.URL.Path, "/kv-handle/"):
		e.releaseCopy(strings.TrimPrefix(r.URL.Path, "/kv-handle/"))
	default:
		e.serveRequest(w, r, &f)
	}
}

// SetFaults replaces the injected faults.
func (e *Engine) SetFaults(f Faults) {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	e.faults = f
}

// StartCount returns how often a request was started from its beginning, not resumed.
func (e *Engine) StartCount(request string) int {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	return e.startCounts[request]
}

// crashOn crashes the engine under a request with a poison part, and aborts the request.
func (e *Engine) crashOn(request, part string) {
	e.Crash()
	e.OnCrash(request)
	e.OnCrashPart(part)
	panic(http.ErrAbortHandler)
}

// poisonPartOf returns the poison part of a request's prompt, or "".
func (e *Engine) poisonPartOf(r *http.Request) string {
	parts := strings.Split(r.Header.Get("X-Linetiller-Prefix-Hash"), ",")
	parts = parts[:len(parts)-1]
	for i := range parts {
		parts[i], _, _ = strings.Cut(parts[i], ":")
	}
	return e.FindPoisonPart(parts)
}

// refuse answers with a status and the header that marks the request as not run.
func (e *Engine) refuse(w http.ResponseWriter, status int) {
	w.Header().Set("X-Linetiller-Not-Executed", "1")
	w.WriteHeader(status)
}

// refuseArrival answers with RefuseStatus that an arrival did not run, and requests back-off if
// RetryAfter is set.
func (e *Engine) refuseArrival(w http.ResponseWriter, arrival int, f *Faults) {
	e.writeStateHeaders(w.Header(), arrival, f.RetryAfter)
	e.refuse(w, f.RefuseStatus)
}

// serveRequest answers a request of a route.
func (e *Engine) serveRequest(w http.ResponseWriter, r *http.Request, f *Faults) {
	b, _ := io.ReadAll(r.Body)
	e.mutex.Lock()
	e.requests = append(e.requests, r.Header.Clone())
	e.mutex.Unlock()
	id := r.Header.Get("X-Linetiller-Request-Id")
	if x := r.Header.Get("X-Linetiller-Expect-Instance"); x != "" && x != e.id {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	resumed := r.Header.Get("Kv-From") != ""
	arrival := e.recordArrival(id, resumed)
	if strings.HasPrefix(string(b), PoisonPrefix) && f.Status == 0 {
		time.Sleep(f.CrashDelay)
		e.Crash()
		e.OnCrash(id)
		e.OnCrashBody(string(b))
		panic(http.ErrAbortHandler)
	}
	h := w.Header()
	if f.RefuseStatus != 0 {
		e.refuseArrival(w, arrival, f)
		return
	}
	h.Set("X-Linetiller-Request-Id", id)
	h.Set("Content-Type", "text/plain")
	if f.WrongRequestID {
		h.Set("X-Linetiller-Request-Id", "another")
	}
	if !f.OmitStamp {
		h.Set("X-Linetiller-Server-Stamp", "stamp."+e.id)
	}
	if hint := r.Header.Get("Length-Hint"); hint != "" && f.Status == 0 {
		e.stream(w, r, arrival, f)
		return
	}
	if p := e.poisonPartOf(r); p != "" && f.Status == 0 {
		time.Sleep(f.CrashDelay)
		e.crashOn(id, p)
	}
	if !resumed {
		e.mutex.Lock()
		e.startCounts[id]++
		e.mutex.Unlock()
	}
	e.writeAnswer(w, r, arrival, f, b)
}

// writeAnswer answers a request that is not a stream with an echo of it.
func (e *Engine) writeAnswer(w http.ResponseWriter, r *http.Request, arrival int, f *Faults, body []byte) {
	select {
	case <-time.After(f.Delay):
	case <-r.Context().Done():
		return
	}
	e.writeStateHeaders(w.Header(), arrival, 0)
	if f.Status != 0 {
		w.WriteHeader(f.Status)
	}
	_, _ = fmt.Fprintf(w, "%s of %s: %s %s %s%s", e.id, r.Header.Get("X-Linetiller-Request-Id"), r.Method, r.RequestURI, body, f.Body) //nolint:gosec // No browser renders the answers of this fake.
}

// writeReport answers with the engine's load.
func (e *Engine) writeReport(w http.ResponseWriter) {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	used := 0
	for _, x := range e.runs {
		used += x.kv.tokens
	}
	state := "ready"
	if e.leaving {
		state = "draining"
		w.Header().Set("Server-Leaving", "1")
	}
	e.writeLimit(w.Header())
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(map[string]any{"kv_total": e.settings.KVTokens, "kv_used": used, "queued": 0, "running": len(e.runs), "state": state})
}

// writeStateHeaders adds the headers of an answer that describe the engine: whether it is leaving,
// its rate limit and the back-off that it requests.
func (e *Engine) writeStateHeaders(h http.Header, arrival int, retryAfter time.Duration) {
	e.recordAnswer(h, arrival, retryAfter)
	if retryAfter > 0 {
		h.Set("Retry-After", strconv.FormatFloat(retryAfter.Seconds(), 'f', -1, 64))
	}
}

// findPoisonPart returns the first part with PoisonPartPrefix, or "".
func findPoisonPart(parts []string) string {
	for _, p := range parts {
		if strings.HasPrefix(p, PoisonPartPrefix) {
			return p
		}
	}
	return ""
}
