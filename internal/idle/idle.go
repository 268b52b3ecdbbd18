// Package idle closes idle connections of an HTTP server. Unlike http.Server.IdleTimeout, the timeout
// can change while the server runs.
package idle

import (
	"net"
	"net/http"
	"sync"
	"time"
)

// Closer closes idle connections of a server. It is safe for concurrent use. No other lock is taken
// while its mutex is held.
type Closer struct {
	timeout func() time.Duration // after which an idle connection is closed; never if 0

	mutex sync.Mutex
	idle  map[net.Conn]*idlePeriod
}

// idlePeriod is one period in which a connection is idle. It is guarded by the mutex of Closer.
type idlePeriod struct {
	timer *time.Timer // closes the connection
}

// NewCloser returns a Closer. It calls timeout at each state change of a connection; the result is how
// long the connection may be idle, without limit if 0.
func NewCloser(timeout func() time.Duration) *Closer {
	return &Closer{timeout: timeout, idle: make(map[net.Conn]*idlePeriod)}
}

// Track records a new state of a connection. It is meant to be the ConnState of a server.
func (c *Closer) Track(n net.Conn, s http.ConnState) {
	d := c.timeout()
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if p := c.idle[n]; p != nil {
		p.timer.Stop()
		delete(c.idle, n)
	}
	if s != http.StateIdle || d <= 0 {
		return
	}
	p := new(idlePeriod)
	p.timer = time.AfterFunc(d, func() { c.close(n, p) })
	c.idle[n] = p
}

// close closes a connection if it is still in the idle period p. If the first byte of a request was
// read in the meantime, that period has ended and the request is served.
func (c *Closer) close(n net.Conn, p *idlePeriod) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if c.idle[n] != p {
		return
	}
	delete(c.idle, n)
	_ = n.Close() // the server then reports StateClosed
}
