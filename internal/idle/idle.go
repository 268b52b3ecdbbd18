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
	resting map[net.Conn]*time.Timer
}

// NewCloser returns a closer of connections that rest for as long as after says.
func NewCloser(after func() time.Duration) *Closer {
	return &Closer{after: after, resting: make(map[net.Conn]*time.Timer)}
}

// Track takes in a connection's new state; it is to be a server's ConnState.
func (c *Closer) Track(n net.Conn, s http.ConnState) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if t := c.resting[n]; t != nil {
		t.Stop()
		delete(c.resting, n)
	}
	d := c.after()
	if s != http.StateIdle || d <= 0 {
		return
	}
	var t *time.Timer
	t = time.AfterFunc(d, func() { c.close(n, t) })
	c.resting[n] = t
}

// close closes a connection unless a request has come since its timer t was set: one
// whose first byte was read is answered.
func (c *Closer) close(n net.Conn, t *time.Timer) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if c.resting[n] != t {
		return
	}
	delete(c.resting, n)
	_ = n.Close() // the server tells of it by StateClosed
}
