// Package linetiller serves text generations of unknown length on shared, heavily loaded model
// engines.
//
// A Box is one entry node: it serves clients and operators over HTTP and communicates with the
// other boxes of the system, with model engines and plain services, and with the platform's table,
// object store and list of boxes. It stores nothing on disk.
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
	"github.com/linetiller/linetiller/internal/budget"
	"github.com/linetiller/linetiller/internal/configuration"
	"github.com/linetiller/linetiller/internal/delivery"
	"github.com/linetiller/linetiller/internal/event"
	"github.com/linetiller/linetiller/internal/health"
	"github.com/linetiller/linetiller/internal/idle"
	"github.com/linetiller/linetiller/internal/member"
	"github.com/linetiller/linetiller/internal/memory"
	"github.com/linetiller/linetiller/internal/metric"
	"github.com/linetiller/linetiller/internal/order"
	"github.com/linetiller/linetiller/internal/ownership"
	"github.com/linetiller/linetiller/internal/placement"
	"github.com/linetiller/linetiller/internal/reach"
	"github.com/linetiller/linetiller/internal/relay"
	"github.com/linetiller/linetiller/internal/requestkey"
	"github.com/linetiller/linetiller/internal/resource"
	"github.com/linetiller/linetiller/internal/service"
	"github.com/linetiller/linetiller/internal/settings"
	"github.com/linetiller/linetiller/internal/table"
	"github.com/linetiller/linetiller/internal/upstream"
	"github.com/linetiller/linetiller/platform"
)

// Box is one entry node. Serve runs it; Close stops it and waits until everything that it started
// has ended.
type Box struct {
	log      *slog.Logger
	settings *settings.Settings

	callerConnections []*idle.Closer // one for each server of callers
	clientListener    net.Listener
	clearances        *clearances
	clientServer      *http.Server
	deliverer         *delivery.Deliverer
	crashBatch        crashBatch
	engines           *upstream.Client
	follower          *configuration.Follower
	ignored           ignoredRows
	keys              *requestkey.Keys
	limits            *limitState
	links             *box.Endpoint
	members           *member.Table
	memory            *memory.Account // what callers make the box hold
	metrics           *metric.Set
	naive             *placement.Naive
	operatorListener  net.Listener
	operatorServer    *http.Server
	orders            *order.Reconciler
	owners            *ownership.Owners
	relay             *relay.Relay
	reserved          *placement.Reserver
	backoffs          *health.Backoffs
	retryBudget       *budget.Budget
	routedEngines     *platform.Engines // upstreams of declared routes
	upstreamDialer    *reach.Dialer
	upstreamIndex     upstreamIndex
	upstreamSource    upstreamSource
	relayed           relayedConnections
	recorder          *recorder
	services          *service.Router
	store             *table.Store
	tracker           *placement.Tracker
	moveSlots         ownership.MoveSlots
	pushes            *pushes
	view              *resource.View

	// entry holds the servers for the platform's load balancer: for requests, readiness checks and
	// metrics, in this order. It is empty without an entry.
	entry []endpoint

	// openListeners opens the addresses of the box; dialUpstream connects it to upstreams; the
	// transports carry its calls to them, in place of connections, and to the platform. Tests replace them.
	openListeners     func() error
	dialUpstream      reach.DialFunc
	engineTransport   http.RoundTripper
	platformTransport http.RoundTripper
	routedTransport   http.RoundTripper

	memoryShortAt  atomic.Int64 // when a lack of memory for callers was last logged, in nanoseconds since started; 0 for never
	lastTick       atomic.Int64 // time of the last tick, in nanoseconds since started
	closing        sync.Once
	pushRequested  chan struct{}   // buffered; holds a value if the neighbours are to fetch newly learned crashes
	leaveRequested chan struct{}   // closed by Leave
	joined         atomic.Bool     // set once the box has joined the system
	serveContext   context.Context // ends when Serve returns; set before serving is closed
	serving        chan struct{}   // closed when Serve begins
	started        time.Time
	stopping       atomic.Bool
	workers        sync.WaitGroup

	lifecycle sync.Mutex // guards the fields below and the start of workers
	cancel    context.CancelFunc
	closed    bool
}

// endpoint is an HTTP server and its listener.
type endpoint struct {
	listener net.Listener
	server   *http.Server
}

// Option configures a Box.
type Option func(*Box)

// engineCallTimeout limits a call to a declared engine; it does not apply to streams.
const engineCallTimeout = 2 * time.Second

// New returns a box that listens on its addresses but does not serve yet. It returns an error if an
// address cannot be opened or a certificate cannot be loaded.
func New(s *settings.Settings, options ...Option) (*Box, error) {
	b := &Box{
		serving: make(chan struct{}), pushRequested: make(chan struct{}, 1), leaveRequested: make(chan struct{}), log: slog.New(slog.DiscardHandler), metrics: metric.NewSet(),
		clearances: newClearances(), pushes: newPushes(time.Now()), recorder: newRecorder(), settings: s, started: time.Now(), view: resource.NewView(),
	}
	b.openListeners, b.dialUpstream = b.listen, b.upstreamSource.dial
	b.upstreamSource.set(s.UpstreamSource)
	for _, o := range options {
		o(b)
	}
	self := box.Member{Address: s.BoxAddress, Hall: s.Hall, Name: s.Box, State: box.StateServing}
	b.members = member.NewTable(self)
	if err := b.openListeners(); err != nil {
		return nil, err
	}
	b.assemble()
	return b, nil
}

// WithLog sets the logger. By default the box does not log.
func WithLog(l *slog.Logger) Option {
	return func(b *Box) { b.log = l }
}

// BoxAddress returns the address on which the box listens for other boxes.
func (b *Box) BoxAddress() string { return b.links.Address() }

// ClientAddress returns the address on which the box listens for clients.
func (b *Box) ClientAddress() string { return b.clientListener.Addr().String() }

// InProgress returns the number of requests in progress.
func (b *Box) InProgress() int {
	return b.deliverer.InProgress() + b.relay.InProgress() + b.services.InProgress()
}

// OperatorAddress returns the address on which the box listens for operators.
func (b *Box) OperatorAddress() string { return b.operatorListener.Addr().String() }

// Serve runs the box until ctx ends, which stops it at once, or until Leave was called and the box
// has drained. It returns an error if a server fails or cannot be closed.
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
		if ctx.Err() == nil { // otherwise Close has stopped the server
			return errors.Join(err, b.Close())
		}
	}
	err := b.Close()
	event.BoxStopped.Log(b.log)
	return err
}

// backgroundLoops returns the functions that run for as long as the box serves.
func (b *Box) backgroundLoops() []func(context.Context) {
	l := []func(context.Context){
		b.follower.Run, b.follower.MonitorViewAge, b.owners.Run, b.tracker.Run, b.relay.Run, b.runHeartbeats, b.runMembers, b.runTicks, b.runPush, b.runRegister, b.upstreamDialer.Run,
	}
	if b.hasEntry() {
		l = append(l, b.runRecorder)
	} else {
		l = append(l, b.orders.Run, b.runRewrite) // with an entry, the platform's operators and engines write their own rows
	}
	if b.naive != nil {
		l = append(l, b.naive.Run)
	}
	return l
}

// beginServing marks the box as serving. It reports false if the box is already closed.
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

// isReady reports whether the box has joined the system and was not asked to stop.
func (b *Box) isReady() bool { return b.joined.Load() && !b.stopping.Load() }

// listeners returns all HTTP servers of the box with their listeners.
func (b *Box) listeners() []endpoint {
	return append([]endpoint{{b.clientListener, b.clientServer}, {b.operatorListener, b.operatorServer}}, b.entry...)
}

// runWorker runs f as a worker and waits until it returns. It does nothing if the box is closed.
func (b *Box) runWorker(f func()) {
	done := make(chan struct{})
	if b.startWorker(func() { defer close(done); f() }) {
		<-done
	}
}

// startWorker runs f as a worker and reports whether it was started. Close waits for all workers,
// so none is started once the box is closed.
func (b *Box) startWorker(f func()) bool {
	b.lifecycle.Lock()
	defer b.lifecycle.Unlock()
	if b.closed {
		return false
	}
	b.workers.Go(f)
	return true
}
