// Package reach connects a box to upstreams, and tracks to which of them connections fail.
package reach

import (
	"context"
	"net"
	"sync"
	"time"
)

// Dialer connects to upstreams. While connections to an upstream fail, it tries to connect in the
// background until one succeeds. It is safe for concurrent use.
type Dialer struct {
	// Addresses returns the addresses (IP:port) of all upstreams. It must be set before Run.
	Addresses func() []string

	direct DialFunc
	wake   chan struct{} // buffered; holds a value once a connection has failed

	mutex       sync.Mutex // guards the fields below; no other lock is taken under it
	connectedAt time.Time  // last connection to any upstream
	connections uint64     // number of connections to upstreams
	failures    map[string]*failedUpstream
	linksLost   bool // connections to all upstreams that were tried fail
}

// DialFunc opens a connection, as net.Dialer.DialContext does.
type DialFunc func(ctx context.Context, network, address string) (net.Conn, error)

// failedUpstream is an upstream to which the last connections failed.
type failedUpstream struct {
	count   int // consecutive failed connections
	triedAt time.Time
}

// dialTimeout bounds an attempt to connect: a connection takes milliseconds, if need be with one lost
// packet sent again.
const dialTimeout = 300 * time.Millisecond

// unreachableThreshold is the number of consecutive failed connections after which an upstream counts
// as unreachable. On a link with packet loss, single connections fail although the upstream is up.
const unreachableThreshold = 2

// NewDialer returns a Dialer that opens connections with direct.
func NewDialer(direct DialFunc) *Dialer {
	return &Dialer{
		Addresses: func() []string { return nil },
		direct:    direct, failures: make(map[string]*failedUpstream), wake: make(chan struct{}, 1),
	}
}

// AllReachable reports whether no upstream is known to be unreachable.
func (d *Dialer) AllReachable() bool {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	return len(d.failures) == 0
}

// DialContext connects to the upstream at an address (IP:port).
func (d *Dialer) DialContext(ctx context.Context, network, address string) (net.Conn, error) {
	limited, cancel := context.WithTimeout(ctx, dialTimeout)
	defer cancel()
	c, err := d.direct(limited, network, address)
	if err == nil || ctx.Err() == nil { // otherwise the attempt was given up
		d.record(address, err == nil, time.Now())
	}
	return c, err
}

// Unreachable reports whether connections to the upstream at an address are known to fail.
func (d *Dialer) Unreachable(address string) bool {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	if d.linksLost {
		return true
	}
	f := d.failures[address]
	return f != nil && f.count >= unreachableThreshold
}

// UnreachableCount returns the number of upstreams that are known to be unreachable.
func (d *Dialer) UnreachableCount() int {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	n := 0
	for _, f := range d.failures {
		if f.count >= unreachableThreshold {
			n++
		}
	}
	return n
}

// record records the outcome of an attempt to connect.
func (d *Dialer) record(address string, connected bool, now time.Time) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	if connected {
		d.connectedAt, d.linksLost = now, false
		d.connections++
		delete(d.failures, address)
		return
	}
	f := d.failures[address]
	if f == nil {
		f = new(failedUpstream)
		d.failures[address] = f
	}
	f.count++
	f.triedAt = now
	select {
	case d.wake <- struct{}{}:
	default:
	}
}
