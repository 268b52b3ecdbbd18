package linetiller

import (
	"context"
	"errors"
	"net"
	"sync"
	"syscall"

	"github.com/linetiller/linetiller/internal/box"
	"github.com/linetiller/linetiller/internal/fail"
	"github.com/linetiller/linetiller/internal/memory"
	"github.com/linetiller/linetiller/internal/metric"
	"github.com/linetiller/linetiller/internal/reach"
)

// relayedConnections counts the connections to upstreams that the box has open for other boxes.
type relayedConnections struct {
	limit int

	mutex sync.Mutex // guards the fields below
	count int
	idle  chan struct{} // closed when count becomes 0; nil while nobody waits for that
}

// relayedConnection is a connection to an upstream that is open for another box.
type relayedConnection struct {
	net.Conn
	end func()
}

// Close closes the connection.
func (c *relayedConnection) Close() error {
	c.end()
	return c.Conn.Close()
}

// begin counts a connection until end is called, or reports false if the limit is reached.
func (r *relayedConnections) begin() (end func(), ok bool) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	if r.count >= r.limit {
		return nil, false
	}
	r.count++
	return sync.OnceFunc(r.end), true
}

// Count returns the number of connections.
func (r *relayedConnections) Count() int {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	return r.count
}

// wait waits until no connection is open or ctx ends.
func (r *relayedConnections) wait(ctx context.Context) {
	r.mutex.Lock()
	if r.count == 0 {
		r.mutex.Unlock()
		return
	}
	if r.idle == nil {
		r.idle = make(chan struct{})
	}
	idle := r.idle
	r.mutex.Unlock()
	select {
	case <-ctx.Done():
	case <-idle:
	}
}

func (r *relayedConnections) end() {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.count--
	if r.count == 0 && r.idle != nil {
		close(r.idle)
		r.idle = nil
	}
}

// beginRelayed counts a connection to an upstream for another box, and its memory, until end is called. It reports false
// if there may be no more of them.
func (b *Box) beginRelayed() (end func(), ok bool) {
	endCount, ok := b.relayed.begin()
	if !ok {
		return nil, false
	}
	m, err := b.memory.Reserve(memory.RequestBytes)
	if err != nil {
		endCount()
		return nil, false
	}
	return func() {
		m.Release()
		endCount()
	}, true
}

// connectForPeer opens a connection to an upstream for another box. It connects directly, so that no
// connection goes over more than one box.
func (b *Box) connectForPeer(ctx context.Context, q *box.Request) (net.Conn, error) {
	address := q.Connect.Address
	c, reason, err := b.openForPeer(ctx, address)
	if err != nil {
		b.metrics.Count(metric.RelayRefusals, "reason", reason)
		return nil, fail.Wrap(fail.Unavailable, fail.Origin{Peer: "upstream " + address, Step: "connect for " + q.From.Name}, reason, err)
	}
	b.metrics.Add(metric.RelayedTotal, 1)
	return c, nil
}

// openForPeer opens a connection to the upstream at an address, or returns why it does not.
func (b *Box) openForPeer(ctx context.Context, address string) (c net.Conn, reason string, err error) {
	if !b.awaitServing(ctx) {
		return nil, box.ReasonUpstreamUnreachable, ctx.Err()
	}
	if !b.upstreamIndex.contains(b.view, address) {
		return nil, box.ReasonUpstreamUnknown, errors.New("no such upstream is listed")
	}
	end, ok := b.beginRelayed()
	if !ok {
		return nil, box.ReasonTooManyConnections, errors.New("too many connections are open for other boxes")
	}
	c, err = b.upstreamDialer.DialDirect(ctx, "tcp", address)
	switch {
	case err == nil:
		return &relayedConnection{c, end}, "", nil
	case errors.Is(err, syscall.ECONNREFUSED):
		reason = box.ReasonUpstreamRefused
	default:
		reason = box.ReasonUpstreamUnreachable
	}
	end()
	return nil, reason, err
}

// connectVia opens a connection to the upstream at an address by way of another box.
func (b *Box) connectVia(ctx context.Context, peer, address string) (net.Conn, error) {
	c, err := b.links.Connect(ctx, b.members.Address(peer), b.newRequest(box.Request{Kind: box.KindConnect, Connect: &box.ConnectRequest{Address: address}}))
	switch r := fail.Reason(err); r {
	case box.ReasonUpstreamRefused, box.ReasonUpstreamUnreachable:
		return nil, reach.UpstreamError{Err: err, Refused: r == box.ReasonUpstreamRefused}
	}
	return c, err
}
