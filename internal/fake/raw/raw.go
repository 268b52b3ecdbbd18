// Package raw is a stand-in for an HTTP server that answers with bytes of a test's choice. It uses TCP on the loopback
// interface, in real time.
package raw

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"
)

// Answer is how a Server answers a request.
type Answer struct {
	End    End
	Pause  time.Duration // before the end
	Pieces []string      // sent unchanged, one write each
	Read   int64         // bytes that are read of the request's body before each piece
}

// End is how a Server ends a connection.
type End string

// The ways to end a connection.
const (
	EndClose End = "close" // closes the connection, which resets it if a part of the request is unread
	EndDrain End = "drain" // reads the rest of the request, then closes the connection
	EndReset End = "reset" // resets the connection
)

// All is a value of Answer.Read that is larger than any body.
const All = int64(1) << 40

// Server answers each request with the same Answer and ends its connection. It is safe for concurrent use.
type Server struct {
	answer      Answer
	connections map[net.Conn]bool
	listener    net.Listener
	mutex       sync.Mutex // guards the fields answer, connections and requests
	requests    int
	workers     sync.WaitGroup
}

// Listen returns a server at a free port.
func Listen(a Answer) (*Server, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	s := &Server{answer: a, connections: make(map[net.Conn]bool), listener: l}
	s.workers.Go(s.accept)
	return s, nil
}

// Address returns the address (IP:port) of the server.
func (s *Server) Address() string {
	return s.listener.Addr().String()
}

// Close closes all connections and waits for the end of their requests.
func (s *Server) Close() error {
	err := s.listener.Close()
	s.mutex.Lock()
	for c := range s.connections {
		_ = c.Close()
	}
	s.mutex.Unlock()
	s.workers.Wait()
	return err
}

// Requests returns the number of requests received.
func (s *Server) Requests() int {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.requests
}

// SetAnswer sets the answer to later requests.
func (s *Server) SetAnswer(a Answer) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.answer = a
}

func (s *Server) accept() {
	for {
		c, err := s.listener.Accept()
		if err != nil {
			return
		}
		s.mutex.Lock()
		s.connections[c] = true
		s.mutex.Unlock()
		s.workers.Go(func() {
			s.serve(c.(*net.TCPConn))
			s.mutex.Lock()
			delete(s.connections, c)
			s.mutex.Unlock()
		})
	}
}

// begin counts a request and returns its answer.
func (s *Server) begin() Answer {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.requests++
	return s.answer
}

// serve handles the only request of a connection.
func (s *Server) serve(c *net.TCPConn) {
	defer func() { _ = c.Close() }()
	r, err := http.ReadRequest(bufio.NewReader(c))
	if err != nil {
		return
	}
	a := s.begin()
	for _, p := range a.Pieces {
		if _, err := io.CopyN(io.Discard, r.Body, a.Read); err != nil && a.Read != All {
			return
		}
		if _, err := io.Copy(c, strings.NewReader(p)); err != nil {
			return
		}
	}
	time.Sleep(a.Pause)
	switch a.End {
	case EndDrain:
		_, _ = io.Copy(io.Discard, r.Body)
	case EndReset:
		_ = c.SetLinger(0)
	case EndClose:
	}
}
