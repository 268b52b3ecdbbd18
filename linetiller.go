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
	crand "crypto/rand"
	"errors"
	"log/slog"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/linetiller/linetiller/internal/box"
	"github.com/linetiller/linetiller/internal/certificate"
	"github.com/linetiller/linetiller/internal/client"
	"github.com/linetiller/linetiller/internal/configuration"
	"github.com/linetiller/linetiller/internal/delivery"
	"github.com/linetiller/linetiller/internal/event"
	"github.com/linetiller/linetiller/internal/fail"
	"github.com/linetiller/linetiller/internal/lease"
	"github.com/linetiller/linetiller/internal/member"
	"github.com/linetiller/linetiller/internal/metric"
	"github.com/linetiller/linetiller/internal/operator"
	"github.com/linetiller/linetiller/internal/order"
	"github.com/linetiller/linetiller/internal/ownership"
	"github.com/linetiller/linetiller/internal/placement"
	"github.com/linetiller/linetiller/internal/platform"
	"github.com/linetiller/linetiller/internal/policy"
	"github.com/linetiller/linetiller/internal/requestkey"
	"github.com/linetiller/linetiller/internal/resource"
	"github.com/linetiller/linetiller/internal/service"
	"github.com/linetiller/linetiller/internal/settings"
	"github.com/linetiller/linetiller/internal/upstream"
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
	platform         *platform.Client
	reserved         *placement.Reserved
	tracker          *placement.Tracker
	view             *resource.View

	// Seams: how the box is joined to its peers.
	connect           func() error
	engineTransport   http.RoundTripper
	platformTransport http.RoundTripper

	beat     atomic.Int64 // nanoseconds since started, of the last beat
	cancel   context.CancelFunc
	closing  sync.Once
	left     chan struct{} // closed when a stop was asked for
	ready    atomic.Bool
	started  time.Time
	stopping atomic.Bool
	workers  sync.WaitGroup
}

// Option sets one thing of a Box.
type Option func(*Box)

const (
	reportPeriod = 2 * time.Second
	shutPeriod   = 5 * time.Second // for the last answers to reach their clients
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
		err = errors.Join(b.clientServer.Close(), b.operatorServer.Close())
		if b.clientListener != nil {
			_ = b.clientListener.Close()
			_ = b.operatorListener.Close()
		}
		b.workers.Wait()
		err = errors.Join(err, b.deliverer.Abort(), b.keys.Close(), b.links.Close(), b.engines.Close(), b.platform.Close())
	})
	return err
}

// Held returns how many requests are in progress.
func (b *Box) Held() int { return b.deliverer.Held() }

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
	b.cancel = cancel
	defer cancel()
	b.join(ctx)
	for _, f := range []func(context.Context){
		b.follower.Run, b.owners.Run, b.tracker.Run, b.orders.Run, b.runHeartbeats, b.runList, b.runBeat, b.runPush,
	} {
		b.workers.Go(func() { f(ctx) })
	}
	if b.naive != nil {
		b.workers.Go(func() { b.naive.Run(ctx) })
	}
	failed := make(chan error, 2)
	if b.clientListener != nil {
		b.workers.Go(func() { failed <- b.clientServer.Serve(b.clientListener) })
		b.workers.Go(func() { failed <- b.operatorServer.Serve(b.operatorListener) })
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

// finish goes on serving until the balancer must have seen that the box is not
// ready, and then waits for the requests in progress, up to the time for leaving.
func (b *Box) finish(ctx context.Context) {
	select {
	case <-ctx.Done():
		return
	case <-time.After(b.settings.Timeouts.Drain.Duration):
	}
	ctx, cancel := context.WithTimeout(ctx, b.settings.Timeouts.Leave.Duration)
	defer cancel()
	done := make(chan struct{})
	b.workers.Go(func() {
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
}

// assemble makes the parts and joins them by their seams.
func (b *Box) assemble() {
	s := b.settings
	seed := xxhash.Sum64String(s.Box)
	lengths := policy.NewLengths()
	b.platform = platform.NewClient(s.Platform, platform.WithTimeout(s.Timeouts.Platform.Duration), platform.WithTransport(b.platformTransport))
	b.engines = upstream.NewEngines(reportPeriod, upstream.WithTransport(b.engineTransport))
	b.keys = requestkey.New(b.platform, b.metrics)

	b.follower = configuration.NewFollower(b.view, b.members, b.log)
	b.follower.Ask = b.links.Once
	b.follower.Read = func(ctx context.Context, after int64) (*platform.Changes, error) {
		return b.platform.Changes(ctx, configuration.Prefix, after)
	}
	b.follower.Spread = rand.Float64

	b.owners = ownership.New(b.view, b.members, lengths, b.metrics, b.log,
		ownership.WithMaxQueued(s.Limits.Queued), ownership.WithReportEvery(s.Timeouts.Report.Duration))
	b.owners.ReadLoad = b.engines.Load

	b.reserved = placement.NewReserved(b.view, b.members, lengths, b.metrics, seed)
	b.reserved.AskLocal = b.owners.Ask
	b.reserved.Call = b.callAsk
	b.tracker = placement.NewTracker(b.reserved.Learn)
	b.tracker.Send = b.sendUpdate

	b.deliverer = delivery.New(b.engines, b.keys, b.tracker, b.view, b.metrics, b.log,
		delivery.WithLimit(s.Limits.Streams), delivery.WithSilence(s.Timeouts.Silence.Duration))
	b.deliverer.Fresh = b.fresh
	b.deliverer.Place = b.reserved.Place
	if s.Policy == settings.PolicyNaive {
		b.naive = placement.NewNaive(b.view, s.Timeouts.Report.Duration, seed)
		b.naive.ReadLoad = b.engines.Load
		b.deliverer.Place = b.naive.Place
	}
	b.assembleOrders()
	b.assembleServers()
	b.metrics.Gauge(metric.Boxes, func() float64 { return float64(len(b.members.Alive(""))) })
	b.metrics.Gauge(metric.Revision, func() float64 { return float64(b.view.Revision()) })
}

func (b *Box) assembleOrders() {
	k := lease.NewKeeper(b.settings.Box + "/" + crand.Text())
	k.Commit = b.platform.Commit
	k.Get = b.platform.Get
	k.Name = crand.Text
	b.orders = order.New(b.view, k, b.metrics, b.log, b.settings.Limits.WeightLoads)
	b.orders.Give = b.engines.Order
	b.orders.Mine = b.owners.Mine
	b.orders.ReadLoad = b.engines.Load
}

func (b *Box) assembleServers() {
	s := b.settings
	services := service.NewRouter(b.view, b.keys, b.metrics)
	services.Do = b.engines.Call
	c := client.New(b.view, b.metrics, client.WithBodyBytes(s.Limits.BodyBytes), client.WithDeadline(s.Timeouts.Request.Duration))
	c.CallService = services.Call
	c.Generate = b.deliverer.Generate
	c.Ready = b.ready.Load
	b.clientServer = b.httpServer(c)

	o := operator.New(b.view, b.metrics, b.log, s.OperatorKeyHash)
	o.Commit = b.platform.Commit
	o.Get = b.platform.Get
	o.InForce = b.inForce
	o.Refresh = b.follower.Refresh
	b.operatorServer = b.httpServer(o)
}

func (b *Box) httpServer(h http.Handler) *http.Server {
	return &http.Server{
		ErrorLog: slog.NewLogLogger(b.log.Handler(), slog.LevelDebug), Handler: h,
		IdleTimeout: time.Minute, MaxHeaderBytes: b.settings.Limits.HeaderBytes, ReadHeaderTimeout: 10 * time.Second,
	}
}

// listen opens the box's three addresses.
func (b *Box) listen() error {
	s := b.settings
	server, dial, err := b.linkSecurity()
	if err != nil {
		return fail.Wrap(fail.BadInput, fail.Place{Peer: "boxes", Step: "load certificates"}, "bad_certificate", err)
	}
	t, err := box.Listen(s.BoxAddress, server, dial, b.answer)
	if err != nil {
		return err
	}
	b.links = t.Links()
	b.members.SetAddress(b.links.Address())
	b.clientListener, err = b.listenHTTP(s.ClientAddress)
	if err != nil {
		return errors.Join(err, b.links.Close())
	}
	b.operatorListener, err = b.listenHTTP(s.OperatorAddress)
	if err != nil {
		return errors.Join(err, b.links.Close(), b.clientListener.Close())
	}
	return nil
}

func (b *Box) listenHTTP(address string) (net.Listener, error) {
	l, err := net.Listen("tcp", address)
	if err != nil {
		return nil, fail.Wrap(fail.Unavailable, fail.Place{Peer: "callers", Step: "listen"}, "listen", err)
	}
	return certificate.Wrap(l, b.settings.TLS.Clients, b.settings.TLS.Certificate, b.settings.TLS.Key)
}

// linkSecurity returns how the links between boxes are secured. Without
// certificates, only boxes on one machine can be linked.
func (b *Box) linkSecurity() (server, dial *tlsConfig, err error) {
	t := b.settings.TLS
	if t.Certificate != "" {
		return certificate.Load(t.Authority, t.Certificate, t.Key, box.Protocol)
	}
	if h, _, _ := net.SplitHostPort(b.settings.BoxAddress); !net.ParseIP(h).IsLoopback() {
		return nil, nil, errors.New("box_address is not a loopback address, so the tls settings must be given")
	}
	return certificate.Ephemeral(box.Protocol)
}

func init() {
	// The library's advice on the size of the socket's buffer goes to standard
	// error unasked; docs/operator/install.md gives it instead.
	_ = os.Setenv("QUIC_GO_DISABLE_RECEIVE_BUFFER_WARNING", "true")
}
