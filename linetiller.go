// Package linetiller serves text generations of unknown length on crowded,
// shared model engines.
//
// A Box is one entry box: it answers clients and operators over HTTP, speaks to
// the other boxes of the system, to model engines and plain services, and to
// the platform's table, object store and list of boxes. It keeps nothing on
// disk.
package linetiller

import (
	"context"
	"errors"
	"log/slog"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/linetiller/linetiller/internal/box"
	"github.com/linetiller/linetiller/internal/configuration"
	"github.com/linetiller/linetiller/internal/delivery"
	"github.com/linetiller/linetiller/internal/event"
	"github.com/linetiller/linetiller/internal/member"
	"github.com/linetiller/linetiller/internal/metric"
	"github.com/linetiller/linetiller/internal/order"
	"github.com/linetiller/linetiller/internal/ownership"
	"github.com/linetiller/linetiller/internal/placement"
	"github.com/linetiller/linetiller/internal/relay"
	"github.com/linetiller/linetiller/internal/requestkey"
	"github.com/linetiller/linetiller/internal/resource"
	"github.com/linetiller/linetiller/internal/settings"
	"github.com/linetiller/linetiller/internal/table"
	"github.com/linetiller/linetiller/internal/upstream"
	"github.com/linetiller/linetiller/platform"
)

// Box is one entry box. Serve runs it; Close stops it and waits.
type Box struct {
	log      *slog.Logger
	settings *settings.Settings

	clientListener   net.Listener
	clientServer     *http.Server
	deliverer        *delivery.Deliverer
	engines          *upstream.Engines
	follower         *configuration.Follower
	keys             *requestkey.Keys
	links            *box.Links
	members          *member.Table
	metrics          *metric.Set
	naive            *placement.Naive
	operatorListener net.Listener
	operatorServer   *http.Server
	orders           *order.Reconciler
	owners           *ownership.Owners
	relay            *relay.Relay
	reserved         *placement.Reserved
	routed           *platform.Engines // the upstreams of declared routes
	store            *table.Store
	tracker          *placement.Tracker
	turns            ownership.Turns
	view             *resource.View

	entry []served // the listeners of the entry from the platform's balancer

	// Seams: how the box is joined to its peers.
	connect           func() error
	engineTransport   http.RoundTripper
	platformTransport http.RoundTripper
	routedTransport   http.RoundTripper

	beat     atomic.Int64 // nanoseconds since started, of the last beat
	cancel   context.CancelFunc
	closing  sync.Once
	left     chan struct{} // closed when a stop was asked for
	ready    atomic.Bool
	running  context.Context // ends with Serve
	started  time.Time
	stopping atomic.Bool
	workers  sync.WaitGroup
}

// served is a server with its listener.
type served struct {
	listener net.Listener
	server   *http.Server
}

// Option sets one thing of a Box.
type Option func(*Box)

const (
	engineCallPeriod = 2 * time.Second // for a call of a declared engine, but for streams
	// lastCallsPeriod is what is left for calls in progress once no more are taken: they
	// take some 60 ms, and 0.3 s is wanted.
	lastCallsPeriod = time.Second
	// streamsEvery is the time between looks whether streams are still in progress.
	streamsEvery = 50 * time.Millisecond
	// graceMargin is what is left of the grace for the last answers and the box's own
	// row: a small box closes its connections within some 100 ms.
	graceMargin = 500 * time.Millisecond
	shutPeriod  = 5 * time.Second // for the last answers to reach their clients
)

// New returns a box that listens at its addresses, but does not serve yet.
func New(s *settings.Settings, options ...Option) (*Box, error) {
	b := &Box{
		left: make(chan struct{}), log: slog.New(slog.DiscardHandler), metrics: metric.NewSet(),
		settings: s, started: time.Now(), view: resource.NewView(),
	}
	b.connect = b.listen
	for _, o := range options {
		o(b)
	}
	self := box.Member{Address: s.BoxAddress, Hall: s.Hall, Name: s.Box, State: box.StateServing}
	b.members = member.NewTable(self)
	if err := b.connect(); err != nil {
		return nil, err
	}
	b.assemble()
	return b, nil
}

// WithLog sets where the box logs; by default nowhere.
func WithLog(l *slog.Logger) Option {
	return func(b *Box) { b.log = l }
}

// BoxAddress returns the address for other boxes.
func (b *Box) BoxAddress() string { return b.links.Address() }

// ClientAddress returns the address for clients.
func (b *Box) ClientAddress() string { return b.clientListener.Addr().String() }

// Close stops the box at once, without waiting for requests in progress, and
// waits for all that it started.
func (b *Box) Close() error {
	var err error
	b.closing.Do(func() {
		b.stopping.Store(true)
		if b.cancel != nil {
			b.cancel()
		}
		for _, v := range b.listeners() {
			err = errors.Join(err, v.server.Close())
			if v.listener != nil {
				_ = v.listener.Close()
			}
		}
		err = errors.Join(err, b.relay.Abort(), b.deliverer.Abort()) // workers may wait for what is in progress
		b.workers.Wait()
		err = errors.Join(err, b.keys.Close(), b.links.Close(), b.engines.Close(), b.routed.Close(), b.store.Close())
	})
	return err
}

// Held returns how many requests are in progress.
func (b *Box) Held() int { return b.deliverer.Held() + b.relay.Held() }

// Leave makes Serve finish what is in progress and return: other boxes are
// told, the balancer sees it as not ready, new requests are refused.
func (b *Box) Leave() {
	if b.stopping.Swap(true) {
		return
	}
	b.ready.Store(false)
	event.BoxLeaving.Log(b.log, "held", b.Held())
	b.members.Leave()
	close(b.left)
}

// OperatorAddress returns the address for operators.
func (b *Box) OperatorAddress() string { return b.operatorListener.Addr().String() }

// Serve runs the box until ctx ends, which stops it at once, or until Leave was
// called and every request has had its final answer.
func (b *Box) Serve(ctx context.Context) error {
	ctx, cancel := context.WithCancel(ctx)
	b.cancel, b.running = cancel, ctx
	defer cancel()
	b.join(ctx)
	for _, f := range b.loops() {
		b.workers.Go(func() { f(ctx) })
	}
	failed := make(chan error, len(b.listeners()))
	for _, v := range b.listeners() {
		if v.listener != nil {
			b.workers.Go(func() { failed <- v.server.Serve(v.listener) })
		}
	}
	if b.clientListener != nil {
		event.BoxStarted.Log(b.log, "hall", b.settings.Hall, "clients", b.ClientAddress(), "operators", b.OperatorAddress(), "boxes", b.BoxAddress())
	}
	b.ready.Store(true)
	select {
	case <-ctx.Done():
	case <-b.left:
		b.finish(ctx)
	case err := <-failed:
		return errors.Join(err, b.Close())
	}
	err := b.Close()
	event.BoxStopped.Log(b.log)
	return err
}

// awaitStreams goes on taking calls while streams are in progress, up to a time.
func (b *Box) awaitStreams(ctx context.Context, until time.Time) {
	for b.relay.Streams() > 0 && time.Now().Before(until) {
		select {
		case <-ctx.Done():
			return
		case <-time.After(streamsEvery):
		}
	}
}

// drainPeriod returns how long a box that was asked to stop goes on taking requests: at
// most half of the grace.
func (b *Box) drainPeriod() time.Duration {
	t := b.settings.Timeouts
	if t.Grace.Duration > 0 {
		return min(t.Drain.Duration, t.Grace.Duration/2)
	}
	return t.Drain.Duration
}

// finish goes on serving until the balancer must have seen that the box is not
// ready, and then waits for the requests in progress, up to the time for leaving.
func (b *Box) finish(ctx context.Context) {
	leaveBy := b.leaveBy(time.Now())
	select {
	case <-ctx.Done():
		return
	case <-time.After(b.drainPeriod()):
	}
	ctx, cancel := context.WithDeadline(ctx, leaveBy)
	defer cancel()
	b.relay.RefuseStreams()
	b.awaitStreams(ctx, leaveBy.Add(-lastCallsPeriod))
	done := make(chan struct{})
	b.workers.Go(func() {
		_ = b.relay.Close()
		_ = b.deliverer.Close()
		close(done)
	})
	select {
	case <-done:
	case <-ctx.Done():
		event.BoxStopIncomplete.Log(b.log, "held", b.Held())
		return
	}
	s, cancel := context.WithTimeout(ctx, shutPeriod)
	defer cancel()
	_ = b.clientServer.Shutdown(s)
	for _, v := range b.entry {
		_ = v.server.Shutdown(s)
	}
	b.unregister(s)
}

// leaveBy returns when streams are ended of a box that was asked to stop at a time:
// shortly before it is killed, where somebody does that.
func (b *Box) leaveBy(asked time.Time) time.Time {
	t := b.settings.Timeouts
	if t.Grace.Duration > 0 {
		return asked.Add(t.Grace.Duration - graceMargin)
	}
	return asked.Add(t.Drain.Duration + t.Leave.Duration)
}

// listeners returns all servers of the box with their listeners.
func (b *Box) listeners() []served {
	return append([]served{{b.clientListener, b.clientServer}, {b.operatorListener, b.operatorServer}}, b.entry...)
}

// loops returns what runs as long as the box does.
func (b *Box) loops() []func(context.Context) {
	l := []func(context.Context){
		b.follower.Run, b.owners.Run, b.tracker.Run, b.relay.Run, b.runHeartbeats, b.runMembers, b.runBeat, b.runPush, b.runRegister,
	}
	if !b.hasEntry() {
		l = append(l, b.orders.Run) // the platform orders its engines itself
	}
	if b.naive != nil {
		l = append(l, b.naive.Run)
	}
	return l
}
