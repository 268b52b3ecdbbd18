// Package reach connects a box to upstreams: directly or, where that fails, by way of another box. It
// tracks to which upstreams connections fail.
package reach

import (
	"context"
	"errors"
	"net"
	"sync"
	"syscall"
	"time"
)

// Dialer connects to upstreams. While connections to an upstream fail, it tries to connect in the
// background until one succeeds. It is safe for concurrent use.
type Dialer struct {
	// Addresses returns the addresses (IP:port) of all upstreams. It must be set before Run.
	Addresses func() []string
	// OnConnected is called for each connection that DialContext returns; peer is the box in between, or
	// "" for a direct connection.
	OnConnected func(peer string)
	// OnDirectChange is called when direct connections to an upstream begin to fail, and when one
	// succeeds again.
	OnDirectChange func(address string, reachable bool, err error)
	// Peers returns the boxes by way of which to connect, the best first, of those for which usable
	// returns true.
	Peers func(usable func(peer string) bool) []string
	// Via opens a connection to the upstream at an address by way of another box. Its error is an
	// UpstreamError if that box tried and failed, or knows that it would.
	Via func(ctx context.Context, peer, address string) (net.Conn, error)

	cancel  context.CancelFunc
	ctx     context.Context // cancelled by Close
	direct  DialFunc
	peers   *peerStates
	wake    chan struct{}  // buffered; holds a value once a connection has failed
	workers sync.WaitGroup // attempts that nobody waits for

	mutex       sync.Mutex // guards the fields below; no other lock is taken under it
	connectedAt time.Time  // last direct connection to any upstream
	connections uint64     // number of direct connections to upstreams
	failures    map[string]*failedUpstream
	linksLost   bool // direct connections to all upstreams that were tried fail
	unreachable int  // number of consecutive upstreams to which no path led since a path to any did
}

// DialFunc opens a connection, as net.Dialer.DialContext does.
type DialFunc func(ctx context.Context, network, address string) (net.Conn, error)

// UpstreamError is the error of a peer that cannot connect to an upstream either.
type UpstreamError struct {
	Err     error
	Refused bool // the upstream's machine refused the peer's connection
}

// failedUpstream is an upstream to which the last direct connections failed.
type failedUpstream struct {
	direct     int       // consecutive failed direct connections
	paths      int       // how often in a row no path led to the upstream
	refused    bool      // the last direct connection was refused
	triedAt    time.Time // last direct connection
	triedViaAt time.Time // last attempt of a probe by way of peers
}

const (
	// dialTimeout bounds an attempt to connect: a connection takes milliseconds, if need be with one lost
	// packet sent again.
	dialTimeout = 300 * time.Millisecond
	// hedgeDelay is how long an attempt may take before the next path is tried beside it.
	hedgeDelay = 50 * time.Millisecond
	// unreachableThreshold is the number of consecutive failed connections after which an upstream
	// counts as unreachable. On a link with packet loss, single connections fail although the upstream
	// is up.
	unreachableThreshold = 2
)

// errProcessUnknown is returned by CheckProcess if it cannot tell whether a process has ended.
var errProcessUnknown = errors.New("no path to the upstream tells whether its process has ended")

// errKnownUnreachable is returned by DialDirect for an upstream to which direct connections are known to
// fail.
var errKnownUnreachable = errors.New("connections to the upstream are known to fail")

// NewDialer returns a Dialer that opens direct connections with direct, and knows no peers.
func NewDialer(direct DialFunc) *Dialer {
	ctx, cancel := context.WithCancel(context.Background())
	return &Dialer{
		Addresses:      func() []string { return nil },
		OnConnected:    func(string) {},
		OnDirectChange: func(string, bool, error) {},
		Peers:          func(func(string) bool) []string { return nil },
		cancel:         cancel, ctx: ctx, direct: direct, failures: make(map[string]*failedUpstream), peers: newPeerStates(), wake: make(chan struct{}, 1),
	}
}

// AllReachable reports whether direct connections to all upstreams succeed as far as is known.
func (d *Dialer) AllReachable() bool {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	return len(d.failures) == 0
}

// CheckProcess connects to the upstream at an address to find out whether its process has ended, and closes
// the connection. It returns nil if the process accepts connections, ECONNREFUSED if its machine refuses
// them, and another error if that cannot be told. A direct connection may be refused by the link between
// this box and the upstream. It counts if a peer is refused as well, if no peer tries, or if peers cannot
// connect either but this box connects to another upstream.
func (d *Dialer) CheckProcess(ctx context.Context, address string) error {
	_, refused := d.directFails(address)
	c, _, err := d.connect(ctx, address, d.paths(address))
	if err == nil {
		return c.Close()
	}
	var p pathsError
	if !errors.As(err, &p) {
		return errProcessUnknown
	}
	direct, peers, tried := p.refusals()
	if peers || ((direct || refused) && (!tried || d.reachesOther(ctx, address))) {
		return syscall.ECONNREFUSED
	}
	return errProcessUnknown
}

// Close ends the attempts that nobody waits for.
func (d *Dialer) Close() error {
	d.cancel()
	d.workers.Wait()
	return nil
}

// DialContext connects to the upstream at an address (IP:port), directly or by way of a peer.
func (d *Dialer) DialContext(ctx context.Context, _, address string) (net.Conn, error) {
	c, path, err := d.connect(ctx, address, d.paths(address))
	if err != nil {
		return nil, &net.OpError{Op: "dial", Net: "tcp", Err: err}
	}
	d.OnConnected(path)
	return c, nil
}

// DialDirect connects directly to the upstream at an address (IP:port). It fails at once if direct
// connections to the upstream are known to fail. The error is ECONNREFUSED if the upstream's machine refuses
// connections.
func (d *Dialer) DialDirect(ctx context.Context, _, address string) (net.Conn, error) {
	fails, refused := d.directFails(address)
	err := errKnownUnreachable
	switch {
	case refused:
		err = syscall.ECONNREFUSED
	case !fails:
		var c net.Conn
		if c, err = d.dial(ctx, address); err == nil {
			return c, nil
		}
	}
	return nil, &net.OpError{Op: "dial", Net: "tcp", Err: err}
}

// Error returns the message of the error.
func (e UpstreamError) Error() string { return "upstream unreachable from the peer: " + e.Err.Error() }

// Unreachable reports whether no path is known to lead to the upstream at an address.
func (d *Dialer) Unreachable(address string) bool {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	if d.linksLost && d.unreachable >= lostLinksThreshold {
		return true
	}
	f := d.failures[address]
	return f != nil && f.unreachable()
}

// UnreachableCounts returns the number of upstreams to which direct connections are known to fail, and
// of those the number to which no path leads.
func (d *Dialer) UnreachableCounts() (direct, paths int) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	for _, f := range d.failures {
		if f.direct >= unreachableThreshold {
			direct++
		}
		if f.unreachable() {
			paths++
		}
	}
	return direct, paths
}

// Unwrap returns the cause.
func (e UpstreamError) Unwrap() error { return e.Err }

// dial connects directly and records the outcome, unless ctx ends first.
func (d *Dialer) dial(ctx context.Context, address string) (net.Conn, error) {
	limited, cancel := context.WithTimeout(ctx, dialTimeout)
	defer cancel()
	c, err := d.direct(limited, "tcp", address)
	if err == nil || ctx.Err() == nil {
		d.recordDirect(address, err, time.Now())
	}
	return c, err
}

// directFails reports whether direct connections to an upstream are known to fail, and whether its
// machine refuses them while this box reaches others.
func (d *Dialer) directFails(address string) (fails, refused bool) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	if d.linksLost {
		return true, false
	}
	f := d.failures[address]
	fails = f != nil && f.direct >= unreachableThreshold
	return fails, fails && f.refused
}

// failed returns the record of failures of an upstream, and creates it if needed. The caller holds the
// lock.
func (d *Dialer) failed(address string) *failedUpstream {
	f := d.failures[address]
	if f == nil {
		f = new(failedUpstream)
		d.failures[address] = f
	}
	return f
}

// recordDirect records the outcome of a direct connection.
func (d *Dialer) recordDirect(address string, err error, now time.Time) {
	if d.countDirect(address, err, now) {
		d.OnDirectChange(address, err == nil, err)
	}
}

// countDirect counts the outcome of a direct connection, and reports whether direct connections have begun
// to fail or succeed again by it.
func (d *Dialer) countDirect(address string, err error, now time.Time) (changed bool) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	f := d.failures[address]
	if err == nil {
		d.connectedAt, d.linksLost, d.unreachable = now, false, 0
		d.connections++
		delete(d.failures, address)
		return f != nil && f.direct >= unreachableThreshold
	}
	f = d.failed(address)
	f.direct++
	f.triedAt, f.refused = now, errors.Is(err, syscall.ECONNREFUSED)
	select {
	case d.wake <- struct{}{}:
	default:
	}
	return f.direct == unreachableThreshold
}

// recordPaths records whether any path led to an upstream.
func (d *Dialer) recordPaths(address string, connected bool) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	if !connected {
		d.failed(address).paths++
		d.unreachable++
		return
	}
	d.unreachable = 0
	if f := d.failures[address]; f != nil {
		f.paths = 0
	}
}

// unreachable reports whether no path is known to lead to the upstream.
func (f *failedUpstream) unreachable() bool {
	return f.paths > 0 && f.direct >= unreachableThreshold
}
