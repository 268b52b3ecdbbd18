// Package idle closes connections that rest for too long, where the time that they
// may rest can change while they are open.
package idle

import (
	"net"
	"net/http"
	"sync"
	"time"
)

// Closer closes idle connections of a server. It is safe for concurrent use; its lock
// is a leaf.
type Closer struct {
	timeout func() time.Duration // that a connection may rest; 0 is for ever

	mutex sync.Mutex
	idle  map[net.Conn]*idlePeriod
}

// idlePeriod is the time in which a connection has no request. The lock of Closer guards it.
type idlePeriod struct {
	timer *time.Timer // ends it
}

// NewCloser returns a closer of connections that rest for as long as after says.
func NewCloser(timeout func() time.Duration) *Closer {
	return &Closer{timeout: timeout, idle: make(map[net.Conn]*idlePeriod)}
}

// Track takes in a connection's new state; it is to be a server's ConnState.
func (c *Closer) Track(n net.Conn, s http.ConnState) {
	d := c.timeout()
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if r := c.idle[n]; r != nil {
		r.timer.Stop()
		delete(c.idle, n)
	}
	if s != http.StateIdle || d <= 0 {
		return
	}
	r := new(idlePeriod)
	r.timer = time.AfterFunc(d, func() { c.close(n, r) })
	c.idle[n] = r
}

// close closes a connection at the end of r, unless a request has come since: one whose
// first byte was read is answered.
func (c *Closer) close(n net.Conn, r *idlePeriod) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if c.idle[n] != r {
		return
	}
	delete(c.idle, n)
	_ = n.Close() // the server tells of it by StateClosed
}
