package reach

import (
	"context"
	"errors"
	"net"
	"slices"
	"syscall"
	"time"
)

// directPath is the path without a peer.
const directPath = ""

// attempt is the outcome of an attempt to connect over one path.
type attempt struct {
	conn net.Conn
	err  error
	path string // the peer, or directPath
}

// pathsError is the error for attempts over several paths, none of which led to the upstream.
type pathsError []attempt

// pathQueue holds the paths that are still to be tried for one connection.
type pathQueue struct {
	more  func() []string // returns those behind paths; nil once it was called
	paths []string
}

// race is the attempt to connect to one upstream over several paths.
type race struct {
	address  string
	attempts chan attempt
	dialer   *Dialer
	direct   context.Context // of the direct attempt
	failed   []attempt
	pending  int // attempts in progress
	queue    *pathQueue
	started  []string        // paths
	via      context.Context // of attempts by way of peers
}

// connect connects to an upstream over the first path of the queue that leads there within dialTimeout. Each
// path is tried once the attempt before it has failed or takes longer than hedgeDelay. It returns the path, or
// a pathsError.
func (d *Dialer) connect(ctx context.Context, address string, q *pathQueue) (net.Conn, string, error) {
	via, cancelVia := context.WithCancel(ctx)
	// The direct attempt goes on if another path is faster, so that its outcome is known.
	direct, cancelDirect := context.WithCancel(d.ctx)
	stop := context.AfterFunc(ctx, cancelDirect)
	r := &race{address: address, attempts: make(chan attempt), dialer: d, direct: direct, queue: q, via: via}
	a, err := r.run(ctx)
	cancelVia()
	d.workers.Go(func() {
		r.discard()
		stop()
		cancelDirect()
	})
	return a.conn, a.path, err
}

// paths returns the paths over which to connect to an upstream. The direct path is left out if it is known
// to fail and there are others.
func (d *Dialer) paths(address string) *pathQueue {
	if fails, _ := d.directFails(address); fails {
		if peers := d.peerPaths(); len(peers) > 0 {
			return &pathQueue{paths: peers}
		}
	}
	return &pathQueue{paths: []string{directPath}, more: d.peerPaths}
}

// peerPaths returns the peers by way of which to connect.
func (d *Dialer) peerPaths() []string {
	now := time.Now()
	peers := d.Peers(d.peers.usable(now))
	if p := d.peers.lastWorked(now); p != "" && !slices.Contains(peers, p) {
		peers = append(peers, p)
	}
	return peers
}

// try attempts to connect over one path.
func (d *Dialer) try(ctx context.Context, path, address string) attempt {
	if path == directPath {
		c, err := d.dial(ctx, address)
		return attempt{c, err, path}
	}
	limited, cancel := context.WithTimeout(ctx, dialTimeout)
	defer cancel()
	c, err := d.Via(limited, path, address)
	var u UpstreamError
	switch {
	case err == nil, ctx.Err() != nil:
	case errors.As(err, &u):
		d.peers.recordNoPath(path)
	default:
		d.peers.recordFailure(path, time.Now())
	}
	return attempt{c, err, path}
}

// Error returns the messages of the attempts.
func (p pathsError) Error() string {
	return "no path to the upstream: " + errors.Join(p.Unwrap()...).Error()
}

// Unwrap returns the errors of the attempts.
func (p pathsError) Unwrap() []error {
	var errs []error
	for _, a := range p {
		errs = append(errs, a.err)
	}
	return errs
}

// refusals reports whether the upstream's machine refused a direct connection, whether it refused one of a
// peer, and whether a peer failed to connect for another reason.
func (p pathsError) refusals() (direct, peers, tried bool) {
	for _, a := range p {
		var u UpstreamError
		switch {
		case a.path == directPath:
			direct = direct || errors.Is(a.err, syscall.ECONNREFUSED)
		case !errors.As(a.err, &u): // the peer did not try
		case u.Refused:
			peers = true
		default:
			tried = true
		}
	}
	return direct, peers, tried
}

// next returns the next path, or false if there is none.
func (q *pathQueue) next() (path string, ok bool) {
	if len(q.paths) == 0 && q.more != nil {
		q.paths, q.more = q.more(), nil
	}
	if len(q.paths) == 0 {
		return "", false
	}
	path, q.paths = q.paths[0], q.paths[1:]
	return path, true
}

// discard closes the connections of attempts that came too late.
func (r *race) discard() {
	for range r.pending {
		if a := <-r.attempts; a.err == nil {
			_ = a.conn.Close()
		}
	}
}

// recordSuccess records that a path led to the upstream. Peers that were tried before and did not connect
// are avoided for a while.
func (r *race) recordSuccess(path string) {
	d, now := r.dialer, time.Now()
	d.recordPaths(r.address, true)
	if path != directPath {
		d.peers.recordSuccess(path, now)
	}
	for _, p := range r.started[:slices.Index(r.started, path)] {
		if p != directPath {
			d.peers.recordFailure(p, now)
		}
	}
}

// run returns the first attempt that succeeds.
func (r *race) run(ctx context.Context) (attempt, error) {
	hedge := time.NewTicker(hedgeDelay)
	defer hedge.Stop()
	timeout := time.NewTimer(dialTimeout)
	defer timeout.Stop()
	r.start()
	for timedOut := false; r.pending > 0 && !timedOut; {
		select {
		case a := <-r.attempts:
			r.pending--
			if a.err == nil {
				r.recordSuccess(a.path)
				return a, nil
			}
			r.failed = append(r.failed, a)
			r.start()
		case <-hedge.C:
			r.start()
		case <-timeout.C:
			timedOut = true
			r.failed = append(r.failed, attempt{err: context.DeadlineExceeded})
		case <-ctx.Done():
			return attempt{}, pathsError(append(r.failed, attempt{err: ctx.Err()}))
		}
	}
	if ctx.Err() != nil {
		return attempt{}, pathsError(r.failed)
	}
	r.dialer.recordPaths(r.address, false)
	return attempt{}, pathsError(r.failed)
}

// start begins an attempt over the next path, if there is one.
func (r *race) start() {
	path, ok := r.queue.next()
	if !ok {
		return
	}
	ctx := r.via
	if path == directPath {
		ctx = r.direct
	}
	r.pending++
	r.started = append(r.started, path)
	r.dialer.workers.Go(func() { r.attempts <- r.dialer.try(ctx, path, r.address) })
}
