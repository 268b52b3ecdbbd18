package httpclient

import (
	"context"
	"errors"
	"io"
	"net"
	"sync"
	"time"
)

// Conn is a TCP connection that ends with io.EOF only if the peer has ended it in order. The kernel reports a reset once:
// if a write takes the error, later reads return io.EOF.
type Conn struct {
	net.Conn

	mutex    sync.Mutex // held during writes; guards writeErr
	writeErr error      // of the first write that failed
}

// Dial returns a function that opens TCP connections with d and returns them as Conn.
func Dial(d *net.Dialer) func(ctx context.Context, network, address string) (net.Conn, error) {
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		c, err := d.DialContext(ctx, network, address)
		if err != nil {
			return nil, err
		}
		return &Conn{Conn: c}, nil
	}
}

// Read reads from the connection. Instead of io.EOF it returns the error of an earlier write, if there is one.
func (c *Conn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	if !errors.Is(err, io.EOF) {
		return n, err
	}
	if w := c.endWrite(); w != nil {
		return n, w
	}
	return n, err
}

// Write writes to the connection.
func (c *Conn) Write(b []byte) (int, error) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	n, err := c.Conn.Write(b)
	if err != nil && c.writeErr == nil {
		c.writeErr = err
	}
	return n, err
}

// endWrite ends a write in progress, which may never be read by a peer that has ended its side, and returns the error of
// the first write that failed.
func (c *Conn) endWrite() error {
	if !c.mutex.TryLock() {
		_ = c.SetWriteDeadline(time.Now()) // a write that the kernel has accepted still succeeds
		c.mutex.Lock()
	}
	defer c.mutex.Unlock()
	return c.writeErr
}
