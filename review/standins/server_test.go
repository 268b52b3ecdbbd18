package review

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"time"
)

// server is a stand-in for a server of a plain service.
type server struct {
	address string
	id      string
	mutex   sync.Mutex
	onRun   func(id, target string, body []byte) // called when a request begins to run
	runs    map[string]int                       // by request id
	work    time.Duration
}

// addServer starts a server and enters it into the store's list.
func (r *rig) addServer(id, service, zone string, work time.Duration, onRun func(id, target string, body []byte)) *server {
	s := &server{id: id, onRun: onRun, runs: make(map[string]int), work: work}
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		stop(err)
	}
	s.address = l.Addr().String()
	go func() { _ = (&http.Server{Handler: s}).Serve(l) }()
	r.put("servers", id, map[string]any{
		"service": service, "address": s.address, "zone": zone, "version": "v1", "slots": 64, "state": "ready", "cold_left_ms": 0, "call_seq": 1,
	})
	return s
}

// ran returns how often the server began to run a request.
func (s *server) ran(id string) int {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.runs[id]
}

// ServeHTTP runs a request, and drops it if its connection closes.
func (s *server) ServeHTTP(w http.ResponseWriter, q *http.Request) {
	body, err := io.ReadAll(q.Body)
	if err != nil {
		return
	}
	id := q.Header.Get("X-Linetiller-Request-Id")
	if x := q.Header.Get("X-Linetiller-Expect-Instance"); x != "" && x != s.id {
		w.Header().Set("X-Linetiller-Instance-Id", s.id)
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	s.mutex.Lock()
	s.runs[id]++
	s.mutex.Unlock()
	s.onRun(id, q.RequestURI, body)
	select {
	case <-q.Context().Done():
		return
	case <-time.After(s.work):
	}
	w.Header().Set("X-Linetiller-Request-Id", id)
	w.Header().Set("X-Linetiller-Server-Stamp", "stamp."+s.id)
	_, _ = fmt.Fprintf(w, "answer to %s\n", id)
}
