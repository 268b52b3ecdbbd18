// Package idle closes connections of an HTTP server that serve no request: idle ones after a timeout, which unlike
// that of http.Server can change while the server runs, and those of least use when there is no room for others.
package idle

import (
	"container/list"
	"context"
	"net"
	"net/http"
	"sync"
	"time"
)

// Closer closes connections of a server on which no request is in progress. It is safe for concurrent use. Reserve and
// OnClose are called without its mutex, under which no other lock is taken but those of the functions that Reserve
// returns.
type Closer struct {
	// OnClose is called with the reason when a connection is closed early. By default it does nothing.
	OnClose func(reason Reason)
	// Reserve reserves what a new connection needs until release is called. A connection for which it returns false
	// is closed before anything is read from it. By default it always succeeds.
	Reserve func() (release func(), ok bool)

	maxOpen int                  // number of connections that may be open; 0 for no limit
	timeout func() time.Duration // after which an idle connection is closed; never if 0

	mutex       sync.Mutex
	closing     int // connections that the Closer has closed and the server has not reported as closed
	connections map[net.Conn]*connection
	idle        *list.List // of *connection, the longest idle one first
	opening     *list.List // of *connection on which no request has arrived yet, the oldest first
}

// Option configures a Closer.
type Option func(*Closer)

// Reason says why a connection was closed early.
type Reason string

// Reasons.
const (
	ReasonIdle    Reason = "idle"    // it was idle, and another one needed room
	ReasonNoRoom  Reason = "no_room" // there was no room for it
	ReasonOpening Reason = "opening" // no request had arrived on it for openingGrace, and another one needed room
)

// connection is one connection. It is guarded by the mutex of Closer.
type connection struct {
	closed   bool // by Closer
	conn     net.Conn
	element  *list.Element // in the list of the connections of its kind; nil while a request is in progress
	list     *list.List
	openedAt time.Time
	release  func()
	timer    *time.Timer // closes the connection; nil unless it is idle
}

// openingGrace is how long a caller may take to send the header of its first request before its connection may be closed
// in favour of others.
const openingGrace = time.Second

// NewCloser returns a Closer. It calls timeout whenever a connection becomes idle; the result is how long the connection
// may be idle, without limit if 0.
func NewCloser(timeout func() time.Duration, options ...Option) *Closer {
	c := &Closer{
		OnClose: func(Reason) {}, Reserve: func() (func(), bool) { return func() {}, true },
		timeout: timeout, connections: make(map[net.Conn]*connection), idle: list.New(), opening: list.New(),
	}
	for _, o := range options {
		o(c)
	}
	return c
}

// WithMaxOpen sets the number of connections that may be open at once. A new one beyond it replaces the one of least use, or
// is closed if there is none. By default there is no limit.
func WithMaxOpen(n int) Option {
	return func(c *Closer) { c.maxOpen = n }
}

// connKey is the key of a request's connection in its context.
type connKey struct{}

// Attach makes the Closer track the connections of a server. It must be called before the server is started, after its
// handler was set.
func (c *Closer) Attach(s *http.Server) {
	h := s.Handler
	s.ConnContext = func(ctx context.Context, n net.Conn) context.Context { return context.WithValue(ctx, connKey{}, n) }
	s.ConnState = c.Track
	s.Handler = http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if n, ok := r.Context().Value(connKey{}).(net.Conn); ok && !c.Begin(n) {
			panic(http.ErrAbortHandler)
		}
		h.ServeHTTP(w, r)
	})
}

// Begin records that a request has arrived on a connection. It reports false if the connection has been closed, so that
// the request must not be served.
func (c *Closer) Begin(n net.Conn) bool {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	x := c.connections[n]
	if x == nil {
		return true // not tracked
	}
	c.unlist(x)
	return !x.closed
}

// Closable returns the number of connections that CloseOne could close one after another.
func (c *Closer) Closable() int {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	n := c.idle.Len()
	for e := c.opening.Front(); e != nil && e.Value.(*connection).silent(); e = e.Next() {
		n++
	}
	return n
}

// CloseOne closes the connection of least use on which no request is in progress, and reports whether there was one: the
// longest idle one, or else the oldest one whose caller has been silent for openingGrace.
func (c *Closer) CloseOne() bool {
	c.mutex.Lock()
	reason := ReasonIdle
	e := c.idle.Front()
	if e == nil {
		e, reason = c.opening.Front(), ReasonOpening
	}
	if e == nil || (reason == ReasonOpening && !e.Value.(*connection).silent()) {
		c.mutex.Unlock()
		return false
	}
	x := e.Value.(*connection)
	c.end(x)
	c.mutex.Unlock()
	_ = x.conn.Close() // the server then reports StateClosed
	c.OnClose(reason)
	return true
}

// Count returns the number of open connections.
func (c *Closer) Count() int {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return len(c.connections)
}

// Track records a new state of a connection. It is meant to be the ConnState of a server.
func (c *Closer) Track(n net.Conn, s http.ConnState) {
	switch s {
	case http.StateNew:
		c.open(n)
	case http.StateActive:
		c.Begin(n)
	case http.StateIdle:
		c.rest(n, c.timeout())
	case http.StateClosed, http.StateHijacked:
		c.forget(n)
	}
}

// silent reports whether the caller has not sent the header of its first request for openingGrace.
func (x *connection) silent() bool { return time.Since(x.openedAt) >= openingGrace }

// closeIdle closes a connection at the end of its idle timeout, unless it is no longer idle.
func (c *Closer) closeIdle(x *connection, e *list.Element) {
	c.mutex.Lock()
	idle := x.element == e
	if idle {
		c.end(x)
	}
	c.mutex.Unlock()
	if idle {
		_ = x.conn.Close()
	}
}

// end marks a connection as closed, which its caller then closes without the mutex: that may block. The mutex is held.
func (c *Closer) end(x *connection) {
	c.unlist(x)
	x.closed = true
	c.closing++
	x.release()
}

// forget removes a connection that the server has closed.
func (c *Closer) forget(n net.Conn) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	x := c.connections[n]
	if x == nil {
		return
	}
	c.unlist(x)
	x.release()
	if x.closed {
		c.closing--
	}
	delete(c.connections, n)
}

// makeRoom closes a connection if as many are open as may be. It reports false if none can be closed.
func (c *Closer) makeRoom() bool {
	return c.maxOpen <= 0 || c.openCount() < c.maxOpen || c.CloseOne()
}

// open adds a new connection, or closes it if there is no room for it.
func (c *Closer) open(n net.Conn) {
	release, ok := func() {}, c.makeRoom()
	if ok {
		if release, ok = c.Reserve(); !ok {
			release = func() {}
		}
	}
	x := &connection{closed: !ok, conn: n, openedAt: time.Now(), release: sync.OnceFunc(release)}
	c.mutex.Lock()
	c.connections[n] = x
	if !ok {
		c.closing++
	} else {
		x.list, x.element = c.opening, c.opening.PushBack(x)
	}
	c.mutex.Unlock()
	if !ok {
		_ = n.Close()
		c.OnClose(ReasonNoRoom)
	}
}

// openCount returns the number of connections that the Closer has not closed.
func (c *Closer) openCount() int {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return len(c.connections) - c.closing
}

// rest records that a connection has become idle, and closes it after d unless that is 0.
func (c *Closer) rest(n net.Conn, d time.Duration) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	x := c.connections[n]
	if x == nil || x.closed {
		return
	}
	c.unlist(x)
	e := c.idle.PushBack(x)
	x.list, x.element = c.idle, e
	if d > 0 {
		x.timer = time.AfterFunc(d, func() { c.closeIdle(x, e) })
	}
}

// unlist removes a connection from the list of those that may be closed. The mutex is held.
func (c *Closer) unlist(x *connection) {
	if x.element == nil {
		return
	}
	x.list.Remove(x.element)
	x.element = nil
	if x.timer != nil {
		x.timer.Stop()
		x.timer = nil
	}
}
