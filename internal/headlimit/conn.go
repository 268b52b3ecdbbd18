package headlimit

import (
	"net"
	"sync"

	"github.com/linetiller/linetiller/internal/memory"
)

// conn is a connection of a client. It returns the head of a request and what follows it in separate reads, so that what
// the server buffers beyond a request is not parsed before it is counted.
type conn struct {
	net.Conn
	limiter     *Limiter
	reservation *memory.Reservation

	mutex    sync.Mutex // guards the fields below
	body     int64      // bytes of the current request's body that are yet to be read; -1 if its length is unknown
	head     meter
	inHead   bool   // whether the head of a request is expected or arriving
	last     meter  // what the last read of a body of unknown length returned
	pending  []byte // was read beyond the end of a head
	reserved int64  // bytes of the reservation
}

const (
	// includedBytes is the part of a head that memory.ConnectionBytes includes.
	includedBytes = 4 << 10
	// ordinaryBytes is the size of the heads that may displace idle connections and use the whole account, as new
	// requests do.
	ordinaryBytes = 16 << 10
	// reservationStep is the unit in which memory is reserved.
	reservationStep = 4 << 10
)

// CloseWrite closes the writing side of the connection, which lets the server send a last response before it closes the
// connection.
func (c *conn) CloseWrite() error {
	if w, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		return w.CloseWrite()
	}
	return nil
}

// Read reads from the connection. It returns an error if there is no memory for the head of a request, after which the
// server closes the connection without a response.
func (c *conn) Read(b []byte) (int, error) {
	n, err := c.readPart(b)
	if n == 0 {
		return n, err
	}
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if !c.inHead {
		c.countBody(b[:n])
		return n, err
	}
	k, ended := c.head.scan(b[:n])
	if k < n {
		c.pending, err = append(append([]byte(nil), b[k:n]...), c.pending...), nil
	}
	if ended {
		c.inHead, c.body = false, -1
	}
	if !c.reserve() {
		c.limiter.OnShort()
		return 0, &net.OpError{Op: "read", Net: "tcp", Source: c.RemoteAddr(), Addr: c.LocalAddr(), Err: memory.ErrShort}
	}
	return k, err
}

// beginBody records that the head of a request was parsed, and the length of its body, -1 if that is unknown.
func (c *conn) beginBody(length int64) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.inHead, c.body = false, length
}

// countBody records what was read beyond a head. The mutex is held.
func (c *conn) countBody(b []byte) {
	if c.body < 0 {
		c.last = meter{}
		c.last.count(b)
		return
	}
	c.body = max(0, c.body-int64(len(b)))
}

// expectHead records that a request has ended and the head of another one may follow, of which the server may have
// buffered a part with the end of a body of unknown length. It closes the connection if there is no memory for that part.
func (c *conn) expectHead() {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.head = meter{}
	if c.body < 0 {
		c.head = c.last
	}
	c.inHead, c.last = true, meter{}
	if n := c.needed(); n < c.reserved {
		c.reservation.Shrink(c.reserved - n)
		c.reserved = n
	}
	if !c.reserve() {
		c.limiter.OnShort()
		_ = c.Close()
	}
}

// needed returns how much memory is to be reserved for the head. The mutex is held.
func (c *conn) needed() int64 {
	n := max(0, c.head.cost()-includedBytes)
	return (n + reservationStep - 1) / reservationStep * reservationStep
}

// readPart reads what is pending, or else from the connection, but no further than to the end of a body of known length.
func (c *conn) readPart(b []byte) (int, error) {
	c.mutex.Lock()
	if !c.inHead && c.body >= 0 {
		b = b[:min(int64(len(b)), max(1, c.body))]
	}
	n := copy(b, c.pending)
	if c.pending = c.pending[n:]; len(c.pending) == 0 {
		c.pending = nil
	}
	c.mutex.Unlock()
	if n > 0 {
		return n, nil
	}
	return c.Conn.Read(b)
}

// reserve reserves the memory of the head and reports whether there was room. The mutex is held.
func (c *conn) reserve() bool {
	n := c.needed()
	if n <= c.reserved {
		return true
	}
	grow := c.reservation.Grow
	if n > ordinaryBytes {
		grow = c.reservation.TryGrow
	}
	if grow(n-c.reserved) != nil {
		return false
	}
	c.reserved = n
	return true
}
