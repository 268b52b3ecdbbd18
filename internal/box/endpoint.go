package box

import (
	"context"
	"net"
	"time"

	"github.com/linetiller/linetiller/internal/fail"
)

// ReasonUnreachable is the error reason of a call that did not reach the other box, or whose reply
// was lost.
const ReasonUnreachable = "box_unreachable"

// Endpoint is a box's own address and its means to call other boxes. A QUICTransport implements
// the functions over QUIC and an HTTPTransport over HTTP; tests replace them in memory.
type Endpoint struct {
	// Address returns the address at which other boxes reach this one.
	Address func() string
	// Call sends a request to the box at address.
	Call func(ctx context.Context, address string, q *Request) (*Call, error)
	// Close closes all connections and waits for the calls in progress.
	Close func() error
	// Connect opens a connection to the upstream that q names by way of the box at address. The reason
	// of its error is one of that box, or ReasonUnreachable.
	Connect func(ctx context.Context, address string, q *Request) (net.Conn, error)
}

// Call is a call in progress. Tests may set its functions.
type Call struct {
	// Drain reads the rest of the response, so that its connection can be reused; nil if the
	// transport does not need it.
	Drain func()
	// Abort ends the call, whether or not its replies have arrived.
	Abort func()
	// Peer names the other box in errors.
	Peer string
	// Read reads the next reply.
	Read func(r *Reply) error
	// SetReadDeadline limits the wait for replies; the zero time removes the limit.
	SetReadDeadline func(t time.Time)
}

// CallOnce sends q and returns its single reply.
func (l *Endpoint) CallOnce(ctx context.Context, address string, q *Request) (*Reply, error) {
	c, err := l.Call(ctx, address, q)
	if err != nil {
		return nil, err
	}
	defer func() { _ = c.Close() }()
	r, err := c.Next()
	if err == nil && c.Drain != nil {
		c.Drain()
	}
	return r, err
}

// Close aborts the call.
func (c *Call) Close() error {
	c.Abort()
	return nil
}

// Next returns the next reply. It returns an error if the reply cannot be read or reports a
// failure.
func (c *Call) Next() (*Reply, error) {
	p := fail.Origin{Peer: c.Peer, Step: "read reply"}
	r := new(Reply)
	if err := c.Read(r); err != nil {
		return nil, fail.Wrap(fail.Unavailable, p, ReasonUnreachable, err)
	}
	if r.Error != "" {
		return nil, fail.New(fail.Unavailable, p, r.Error, "refused: %s", r.Error)
	}
	return r, nil
}
