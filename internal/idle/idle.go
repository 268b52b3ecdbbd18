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
	after func() time.Duration // that a connection may rest; 0 is for ever

	mutex   sync.Mutex
	resting map[net.Conn]*rest
}

// rest is the time in which a connection has no request. The lock of Closer guards it.
type rest struct {
	timer *time.Timer // ends it
}

// NewCloser returns a closer of connections that rest for as long as after says.
func NewCloser(after func() time.Duration) *Closer {
	return &Closer{after: after, resting: make(map[net.Conn]*rest)}
}

// Track takes in a connection's new state; it is to be a server's ConnState.
func (c *Closer) Track(n net.Conn, s http.ConnState) {
	d := c.after()
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if r := c.resting[n]; r != nil {
		r.timer.Stop()
		delete(c.resting, n)
	}
	if s != http.StateIdle || d <= 0 {
		return
	}
	r := new(rest)
	r.timer = time.AfterFunc(d, func() { c.close(n, r) })
	c.resting[n] = r
}

// close closes a connection at the end of r, unless a request has come since: one whose
// first byte was read is answered.
func (c *Closer) close(n net.Conn, r *rest) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if c.resting[n] != r {
		return
	}
	delete(c.resting, n)
	_ = n.Close() // the server tells of it by StateClosed
}
