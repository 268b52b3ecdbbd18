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
	"github.com/linetiller/linetiller/internal/health"
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
	crashBatch       crashBatch
	engines          *upstream.Client
	follower         *configuration.Follower
	ignored          ignoredRows
	keys             *requestkey.Keys
	limits           *limitState
	links            *box.Endpoint
	members          *member.Table
	metrics          *metric.Set
	naive            *placement.Naive
	operatorListener net.Listener
	operatorServer   *http.Server
	orders           *order.Reconciler
	owners           *ownership.Owners
	relay            *relay.Relay
	reserved         *placement.Reserved
	backoffs         *health.Backoffs
	routedEngines    *platform.Engines // the upstreams of declared routes
	recorder         *recorder
	store            *table.Store
	tracker          *placement.Tracker
	moveTurns        ownership.MoveTurns
	view             *resource.View

	entry []endpoint // the listeners of the entry from the platform's balancer

	// Seams: how the box is joined to its peers.
	connect           func() error
	engineTransport   http.RoundTripper
	platformTransport http.RoundTripper
	routedTransport   http.RoundTripper

	lastTick       atomic.Int64 // nanoseconds since started, of the last beat
	closing        sync.Once
	pushRequested  chan struct{}   // holds one where something was fetched of crashes that is not passed on yet
	leaveRequested chan struct{}   // closed when a stop was asked for
	joined         atomic.Bool     // it has joined
	serveContext   context.Context // ends with Serve
	serving        chan struct{}   // closed as Serve begins
	started        time.Time
	stopping       atomic.Bool
	workers        sync.WaitGroup

	lifecycle sync.Mutex // guards the fields below, and starts of workers
	cancel    context.CancelFunc
	closed    bool
}

// endpoint is a server with its listener.
type endpoint struct {
	listener net.Listener
	server   *http.Server
}

// Option sets one thing of a Box.
type Option func(*Box)

// engineCallTimeout bounds a call of a declared engine, but for streams.
const engineCallTimeout = 2 * time.Second

// New returns a box that listens at its addresses, but does not serve yet.
func New(s *settings.Settings, options ...Option) (*Box, error) {
	b := &Box{
		serving: make(chan struct{}), pushRequested: make(chan struct{}, 1), leaveRequested: make(chan struct{}), log: slog.New(slog.DiscardHandler), metrics: metric.NewSet(),
		recorder: newRecorder(), settings: s, started: time.Now(), view: resource.NewView(),
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

// InProgress returns how many requests are in progress.
func (b *Box) InProgress() int { return b.deliverer.InProgress() + b.relay.InProgress() }

// OperatorAddress returns the address for operators.
func (b *Box) OperatorAddress() string { return b.operatorListener.Addr().String() }

// Serve runs the box until ctx ends, which stops it at once, or until Leave was
// called and every request has had its final answer.
func (b *Box) Serve(ctx context.Context) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	if !b.beginServing(ctx, cancel) {
		return b.Close()
	}
	b.runWorker(func() { b.join(ctx) })
	for _, f := range b.backgroundLoops() {
		b.startWorker(func() { f(ctx) })
	}
	failed := make(chan error, len(b.listeners()))
	for _, v := range b.listeners() {
		if v.listener != nil {
			b.startWorker(func() { failed <- v.server.Serve(v.listener) })
		}
	}
	if b.clientListener != nil {
		event.BoxStarted.Log(b.log, "hall", b.settings.Hall, "clients", b.ClientAddress(), "operators", b.OperatorAddress(), "boxes", b.BoxAddress())
	}
	b.joined.Store(true)
	select {
	case <-ctx.Done():
	case <-b.leaveRequested:
		b.drain(ctx)
	case err := <-failed:
		if ctx.Err() == nil { // or Close has ended it
			return errors.Join(err, b.Close())
		}
	}
	err := b.Close()
	event.BoxStopped.Log(b.log)
	return err
}

// runWorker runs f as one of the box's workers and waits for its end, but not once the box is closed.
func (b *Box) runWorker(f func()) {
	done := make(chan struct{})
	if b.startWorker(func() { defer close(done); f() }) {
		<-done
	}
}

// beginServing records that the box serves from now on, unless it is closed.
func (b *Box) beginServing(ctx context.Context, cancel context.CancelFunc) bool {
	b.lifecycle.Lock()
	defer b.lifecycle.Unlock()
	if b.closed {
		return false
	}
	b.cancel, b.serveContext = cancel, ctx
	close(b.serving)
	return true
}

// isReady reports whether the box has joined, and was not asked to stop.
func (b *Box) isReady() bool { return b.joined.Load() && !b.stopping.Load() }

// listeners returns all servers of the box with their listeners.
func (b *Box) listeners() []endpoint {
	return append([]endpoint{{b.clientListener, b.clientServer}, {b.operatorListener, b.operatorServer}}, b.entry...)
}

// backgroundLoops returns what runs as long as the box does.
func (b *Box) backgroundLoops() []func(context.Context) {
	l := []func(context.Context){
		b.follower.Run, b.follower.MonitorViewAge, b.owners.Run, b.tracker.Run, b.relay.Run, b.runHeartbeats, b.runMembers, b.runTicks, b.runPush, b.runRegister,
	}
	if b.hasEntry() {
		l = append(l, b.runRecorder)
	} else {
		l = append(l, b.orders.Run, b.runRewrite) // the platform's operators and engines write theirs themselves
	}
	if b.naive != nil {
		l = append(l, b.naive.Run)
	}
	return l
}

// startWorker runs f as one of the box's workers, and reports whether it does: Close waits for all of them, so
// that none starts once the box is closed.
func (b *Box) startWorker(f func()) bool {
	b.lifecycle.Lock()
	defer b.lifecycle.Unlock()
	if b.closed {
		return false
	}
	b.workers.Go(f)
	return true
}
