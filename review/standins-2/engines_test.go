package standins

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"time"
)

// engine is a stand-in for an engine of a plain service.
type engine struct {
	id, service, address string
	fleet                *fleet
	listener             net.Listener
	server               *http.Server

	mutex   sync.Mutex
	drainAt time.Time // when the store has acknowledged that it drains or is gone; zero before
}

// arrival is a request that reached an engine.
type arrival struct {
	at      time.Time
	request string
	engine  *engine
	from    string // remote address
	run     bool
}

// fleet holds all engines and what reached them.
type fleet struct {
	work time.Duration

	mutex    sync.Mutex
	arrivals []arrival
}

func (f *fleet) start(service, id string) (*engine, error) {
	l, err := listen()
	if err != nil {
		return nil, err
	}
	e := &engine{id: id, service: service, address: l.Addr().String(), fleet: f, listener: l}
	e.server = &http.Server{Handler: e, ReadHeaderTimeout: time.Minute}
	go func() { _ = e.server.Serve(l) }()
	return e, nil
}

// entry is what an engine keeps in the store.
func (e *engine) entry(state string) map[string]any {
	return map[string]any{
		"service": e.service, "address": e.address, "zone": "zone-a", "version": "v1", "slots": 6, "state": state, "cold_left_ms": 0, "call_seq": 0,
	}
}

func (e *engine) stop() { _ = e.server.Close() }

func (e *engine) setDrained(t time.Time) {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	e.drainAt = t
}

func (e *engine) drainedAt() time.Time {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	return e.drainAt
}

// ServeHTTP runs a request.
func (e *engine) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	at := time.Now()
	b, _ := io.ReadAll(r.Body)
	id := r.Header.Get("X-Linetiller-Request-Id")
	w.Header().Set("X-Linetiller-Request-Id", id)
	if x := r.Header.Get("X-Linetiller-Expect-Instance"); x != "" && x != e.id {
		w.Header().Set("X-Linetiller-Instance-Id", e.id)
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	if r.URL.Path == "/health" || r.URL.Path == "/report" {
		w.Header().Set("X-Linetiller-Instance-Id", e.id)
		return
	}
	e.fleet.mutex.Lock()
	e.fleet.arrivals = append(e.fleet.arrivals, arrival{at: at, request: id, engine: e, from: r.RemoteAddr, run: true})
	e.fleet.mutex.Unlock()
	time.Sleep(e.fleet.work)
	if !e.drainedAt().IsZero() {
		w.Header().Set("Connection", "close")
	}
	w.Header().Set("X-Linetiller-Server-Stamp", "stamp."+e.id)
	_, _ = fmt.Fprintf(w, "%s ran %s %s (%d bytes)", e.id, r.Method, id, len(b))
}
