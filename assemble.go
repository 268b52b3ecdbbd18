package linetiller

import (
	"context"
	crand "crypto/rand"
	"math/rand/v2"
	"net/http"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/linetiller/linetiller/internal/budget"
	"github.com/linetiller/linetiller/internal/client"
	"github.com/linetiller/linetiller/internal/configuration"
	"github.com/linetiller/linetiller/internal/delivery"
	"github.com/linetiller/linetiller/internal/event"
	"github.com/linetiller/linetiller/internal/health"
	"github.com/linetiller/linetiller/internal/lease"
	"github.com/linetiller/linetiller/internal/memory"
	"github.com/linetiller/linetiller/internal/metric"
	"github.com/linetiller/linetiller/internal/operator"
	"github.com/linetiller/linetiller/internal/order"
	"github.com/linetiller/linetiller/internal/ownership"
	"github.com/linetiller/linetiller/internal/placement"
	"github.com/linetiller/linetiller/internal/policy"
	"github.com/linetiller/linetiller/internal/reach"
	"github.com/linetiller/linetiller/internal/relay"
	"github.com/linetiller/linetiller/internal/requestkey"
	"github.com/linetiller/linetiller/internal/resource"
	"github.com/linetiller/linetiller/internal/service"
	"github.com/linetiller/linetiller/internal/settings"
	"github.com/linetiller/linetiller/internal/upstream"
	"github.com/linetiller/linetiller/platform"
)

// Timeouts of connections from clients, operators and the load balancer.
const (
	headerTimeout     = 10 * time.Second // to read a request's headers
	clientIdleTimeout = time.Minute      // for an idle keep-alive connection, unless operators configure another timeout
	// memoryShortInterval is the shortest time between two log lines that say that there is no memory for callers.
	memoryShortInterval = 10 * time.Second
)

// assemble creates the components of the box and connects them through their function fields.
func (b *Box) assemble() {
	s := b.settings
	seed := xxhash.Sum64String(s.Box)
	lengths := policy.NewLengths()
	store := platform.NewStore(s.Platform, platform.WithStoreTimeout(s.Timeouts.Platform.Duration), platform.WithStoreTransport(b.platformTransport),
		platform.WithStoreRestoreObserver(func(era int64) { b.follower.RecordEra(era) }),
		platform.WithStoreCallObserver(func(step, outcome string) { b.metrics.CountTwo(metric.PlatformCalls, "step", step, "outcome", outcome) }))
	b.store = store.Table()
	b.assembleMemory()
	b.assembleUpstreamDialer()
	b.engines = upstream.NewClient(engineCallTimeout, upstream.WithDialers(b.upstreamDialer.DialDirect, b.upstreamDialer.DialContext), upstream.WithTransport(b.engineTransport))
	b.routedEngines = platform.NewEngines(platform.WithEnginesDialer(b.upstreamDialer.DialDirect, b.upstreamDialer.DialContext), platform.WithProcessCheck(b.upstreamDialer.CheckProcess), platform.WithEnginesTransport(b.routedTransport))
	b.keys = requestkey.New(b.store, b.metrics)
	b.assembleFollower(store)
	b.keys.Era = b.follower.Era
	b.limits = newLimitState()
	b.limits.limiter.RequestPermits = b.requestPermit
	b.backoffs = health.NewBackoffs(b.view)
	b.retryBudget = budget.New(s.Budget.Ratio, s.Budget.Extra, s.Budget.Window.Duration, b.members.PossiblyServing, time.Now())

	b.owners = ownership.New(b.view, b.members, lengths, b.metrics, b.log,
		ownership.WithColdStartLimits(ownership.ColdStartLimits(s.Cold)), ownership.WithMaxQueued(s.Limits.Queued), ownership.WithReportInterval(s.Timeouts.Report.Duration))
	b.owners.PlatformUnavailable = b.follower.ListUnavailable
	b.owners.OnLeaving = func(u *resource.Upstream) { b.announceLeaving(u, "its report") }
	b.owners.BackedOff = func(n string) bool { return !b.backoffs.Until(n, time.Now()).IsZero() }
	b.owners.ReadLoad = b.readLoad

	b.reserved = placement.NewReserver(b.view, b.members, lengths, b.metrics, seed)
	b.reserved.RequestLocal = b.owners.RequestPlace
	b.reserved.RequestRemote = b.requestPlacement
	b.tracker = placement.NewTracker(b.recordLoad)
	b.tracker.Send = b.sendProgress

	b.deliverer = delivery.New(b.engines, b.keys, b.tracker, b.view, b.metrics, b.log,
		delivery.WithMaxInProgress(s.Limits.Streams), delivery.WithBackoffs(b.backoffs), delivery.WithRetryBudget(b.retryBudget), delivery.WithStallTimeout(s.Timeouts.Silence.Duration))
	b.deliverer.RefreshViews = b.refreshAfterPause
	b.deliverer.Place = b.reserved.Place
	b.deliverer.Unreachable = b.unreachableUpstreams
	if s.Policy == settings.PolicyNaive {
		b.naive = placement.NewNaive(b.view, s.Timeouts.Report.Duration, seed)
		b.naive.ReadLoad = b.engines.Load
		b.deliverer.Place = b.naive.Place
	}
	b.assembleRelay(lengths)
	b.assembleOrders()
	b.assembleServers()
	b.metrics.Gauge(metric.PlatformEra, func() float64 {
		era, _ := b.follower.Era()
		return float64(era)
	})
	b.metrics.Gauge(metric.Boxes, func() float64 { return float64(len(b.members.Alive(""))) })
	b.metrics.Gauge(metric.Revision, func() float64 { return float64(b.view.Revision()) })
}

// assembleEntry creates the servers for the load balancer, in the order in which listenEntry opens
// their listeners.
func (b *Box) assembleEntry() {
	if !b.hasEntry() {
		return
	}
	i := platform.NewIngress(b.relay, b.settings.Limits.BodyBytes)
	i.Leaving = b.stopping.Load
	i.Limits = b.view.Limits
	i.Memory = b.memory
	m := http.NewServeMux()
	m.HandleFunc("GET /metrics", func(w http.ResponseWriter, _ *http.Request) { b.metrics.Write(w) })
	b.entry[0].server = b.httpServer(i)
	b.entry[0].listener = b.trackCallers(b.entry[0], "entry", callerDescriptorShare, b.idleTimeout)
	b.entry[1].server = b.httpServer(platform.Readiness(func() bool { return b.isReady() && b.relay.HasConfiguration() }))
	b.entry[1].listener = b.trackControl(b.entry[1], "readiness")
	b.entry[2].server = b.httpServer(m)
	b.entry[2].listener = b.trackControl(b.entry[2], "metrics")
}

func (b *Box) assembleFollower(s *platform.Store) {
	b.follower = configuration.NewFollower(b.view, b.members, b.log)
	b.follower.Call = b.links.CallOnce
	b.follower.Reconnect = func() { _ = s.Close() }
	b.follower.OnRestored = b.keys.StoreRestored
	b.follower.AnnounceListUnavailable = b.announceListUnavailable
	b.follower.Jitter = rand.Float64
	b.follower.Add(resource.SourceBoxes, configuration.BoxReader(s.Changes))
	if b.hasEntry() {
		b.follower.Add(resource.SourceConfiguration, platform.ConfigurationReader(s))
		b.follower.Add(resource.SourceUpstreams, platform.UpstreamReader(s, b.recordIgnoredRow))
	} else {
		b.follower.Add(resource.SourceResources, configuration.ResourceReader(s.Changes))
	}
	b.follower.RegisterMetrics(b.metrics)
}

// assembleMemory creates the account of what callers make the box hold.
func (b *Box) assembleMemory() {
	b.memory = memory.NewAccount(memory.CallerLimit(b.settings.Limits.MemoryMB))
	b.memory.OnShort = b.logMemoryShort
	b.memory.Reclaim = b.reclaimConnections
	b.metrics.GaugeOf(metric.CallerMemory, "state", "limit", func() float64 { return float64(b.memory.Limit()) })
	b.metrics.GaugeOf(metric.CallerMemory, "state", "reserved", func() float64 { return float64(b.memory.Reserved()) })
}

func (b *Box) assembleOrders() {
	k := lease.NewManager(b.settings.Box + "/" + crand.Text())
	k.Commit = b.store.Commit
	k.Era = b.follower.Era
	k.Get = b.store.Get
	k.NewWriteID = crand.Text
	b.orders = order.New(b.view, k, b.metrics, b.log, b.settings.Limits.WeightLoads)
	b.orders.SendOrder = b.engines.Order
	b.orders.Owns = b.owners.Owns
	b.orders.ReadLoad = b.engines.Load
}

func (b *Box) assembleRelay(l *policy.Lengths) {
	s := b.settings
	b.relay = relay.New(b.view, b.tracker, l, b.settings.Hall, b.metrics, b.log,
		relay.WithRetryBudget(b.retryBudget), relay.WithColdRateLimits(b.coldCapacity, b.coldShare), relay.WithLimiter(b.limits.limiter), relay.WithBackoffs(b.backoffs), relay.WithHallRegions(resource.HallRegions(s.Regions)))
	b.relay.AnnounceClearance = b.announceClearance
	b.relay.AnnounceCrashes = b.announceCrashes
	b.relay.Quarantine().TrialDelay = b.trialDelay
	b.relay.RefreshViews = b.refreshAfterPause
	b.relay.ChooseLocally = b.reserved.ChooseLocally
	b.relay.AnnounceLimit = b.announceLimit
	b.relay.RecordLeaving = func(u *resource.Upstream) { b.announceLeaving(u, "its answer") }
	b.relay.Place = b.reserved.Place
	b.relay.HasOtherBoxes = b.hasOtherBoxes
	b.relay.NextBoxAt = b.nextBoxAt
	b.relay.AcquireMoveSlot = b.acquireMoveSlot
	b.relay.Unreachable = b.unreachableUpstreams
	b.relay.ViewAge = b.follower.ViewAge
	b.relay.Upstreams = relay.UpstreamCalls{ProcessEnded: b.routedEngines.ProcessEnded, Migrate: b.routedEngines.Migrate, Release: b.routedEngines.Release, Send: b.routedEngines.Send}
}

func (b *Box) assembleServers() {
	s := b.settings
	b.services = service.NewRouter(b.view, b.keys, b.metrics)
	b.services.Do = b.engines.Call
	b.services.Unreachable = b.unreachableUpstreams
	b.services.Backoffs = b.backoffs
	b.services.RetryBudget = b.retryBudget
	c := client.New(b.view, b.metrics, client.WithBodyBytes(s.Limits.BodyBytes), client.WithMemory(b.memory), client.WithDeadline(s.Timeouts.Request.Duration), client.WithRegions(resource.HallRegions(s.Regions), s.PlatformRegion))
	c.CallService = b.services.Call
	c.Generate = b.deliverer.Generate
	c.Ready = b.isReady
	b.clientServer = b.httpServer(c)
	share := callerDescriptorShare
	if b.hasEntry() {
		share = controlDescriptorShare // the entry is the first one for callers
	}
	b.clientListener = b.trackCallers(endpoint{b.clientListener, b.clientServer}, "clients", share, connectionIdleTimeout)

	o := operator.New(b.view, b.metrics, b.log, s.OperatorKeyHash)
	o.Commit = b.store.Commit
	o.Era = b.follower.Era
	o.Get = b.store.Get
	o.InForce = b.inForce
	o.Refresh = b.follower.Refresh
	b.operatorServer = b.httpServer(o)
	b.operatorServer.RegisterOnShutdown(o.EndWatches)
	b.operatorListener = b.trackControl(endpoint{b.operatorListener, b.operatorServer}, "operators")
	b.assembleEntry()
}

// assembleUpstreamDialer creates the dialer for connections to upstreams.
func (b *Box) assembleUpstreamDialer() {
	d := reach.NewDialer(b.dialUpstream)
	d.Addresses = b.upstreamAddresses
	d.OnConnected = func(peer string) {
		path := "direct"
		if peer != "" {
			path = "relayed"
		}
		b.metrics.Count(metric.UpstreamConnections, "path", path)
	}
	d.OnDirectChange = func(address string, reachable bool, err error) {
		if reachable {
			event.UpstreamLinkRestored.Log(b.log, "address", address)
			return
		}
		event.UpstreamLinkLost.Log(b.log, "address", address, "error", err.Error())
	}
	d.Peers = b.relayPeers
	d.Via = b.connectVia
	b.upstreamDialer = d
	b.relayed.limit = b.settings.Limits.Relayed
	b.metrics.GaugeOf(metric.UnreachableUpstreams, "path", "direct", func() float64 {
		n, _ := d.UnreachableCounts()
		return float64(n)
	})
	b.metrics.GaugeOf(metric.UnreachableUpstreams, "path", "any", func() float64 {
		_, n := d.UnreachableCounts()
		return float64(n)
	})
	b.metrics.Gauge(metric.RelayedConnections, func() float64 { return float64(b.relayed.Count()) })
}

// httpServer returns a server for h with the limits of the settings.
func (b *Box) httpServer(h http.Handler) *http.Server {
	return &http.Server{
		ErrorLog: serverErrorLog(b.log), Handler: h, IdleTimeout: clientIdleTimeout,
		MaxHeaderBytes: b.settings.Limits.HeaderBytes, ReadHeaderTimeout: headerTimeout,
	}
}

// connectionIdleTimeout returns how long an idle connection is kept open whose timeout operators do not configure.
func connectionIdleTimeout() time.Duration { return clientIdleTimeout }

// idleTimeout returns how long an idle connection from callers of routes is kept open.
func (b *Box) idleTimeout() time.Duration {
	return b.view.Limits().IdleTimeout.Duration()
}

// logMemoryShort logs that there was no memory for a caller, once in each memoryShortInterval.
func (b *Box) logMemoryShort() {
	now := int64(time.Since(b.started))
	last := b.memoryShortAt.Load()
	if last > 0 && now-last < int64(memoryShortInterval) || !b.memoryShortAt.CompareAndSwap(last, now) {
		return
	}
	connections := 0
	for _, c := range b.callerConnections {
		connections += c.Count()
	}
	event.MemoryShort.Log(b.log, "reserved", b.memory.Reserved(), "limit", b.memory.Limit(), "connections", connections, "held", b.InProgress())
}

// readLoad reads the load report of an engine. A box with an entry serves the engines of declared
// routes, any other box the engines that are declared as resources.
func (b *Box) readLoad(ctx context.Context, address string) (*upstream.Load, error) {
	if !b.hasEntry() {
		return b.engines.Load(ctx, address)
	}
	return b.routedEngines.Load(ctx, address)
}
