package box

import (
	"context"
	"time"

	"github.com/linetiller/linetiller/internal/fail"
)

// ReasonUnreachable is the reason of a call that did not reach the other box, or whose answer was lost.
const ReasonUnreachable = "box_unreachable"

// Endpoint are the calls that a box makes to others. Its fields are seams: a
// Transport fills them with QUIC, a Plain with HTTP, tests with links in memory.
type Endpoint struct {
	// Address returns the address for the other boxes.
	Address func() string
	// Call sends a request to the box at address.
	Call func(ctx context.Context, address string, q *Request) (*Call, error)
	// Close hangs up on every box and waits.
	Close func() error
}

// Call is one call in progress. Its fields are seams.
type Call struct {
	// Drain reads on to the end of the replies, where that lets a connection be kept;
	// nil where it does not.
	Drain func()
	// Abort ends the call.
	Abort func()
	// Peer names the other box, for errors.
	Peer string
	// Read reads the next reply.
	Read func(r *Reply) error
	// SetReadDeadline bounds the wait for replies; the zero time lifts the bound.
	SetReadDeadline func(t time.Time)
}

// CallOnce sends q and returns its one reply.
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

// Close hangs up.
func (c *Call) Close() error {
	c.Abort()
	return nil
}

// Next returns the next reply.
func (c *Call) Next() (*Reply, error) {
	p := fail.Place{Peer: c.Peer, Step: "read reply"}
	r := new(Reply)
	if err := c.Read(r); err != nil {
		return nil, fail.Wrap(fail.Unavailable, p, ReasonUnreachable, err)
	}
	if r.Error != "" {
		return nil, fail.New(fail.Unavailable, p, r.Error, "refused: %s", r.Error)
	}
	return r, nil
}
