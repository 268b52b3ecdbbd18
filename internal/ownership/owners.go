// Package ownership runs the policy.Owner of each upstream that a box owns: it answers
// placement requests, records the progress of generations and reads load reports.
package ownership

import (
	"context"
	"log/slog"
	"slices"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"github.com/linetiller/linetiller/internal/box"
	"github.com/linetiller/linetiller/internal/member"
	"github.com/linetiller/linetiller/internal/metric"
	"github.com/linetiller/linetiller/internal/policy"
	"github.com/linetiller/linetiller/internal/resource"
	"github.com/linetiller/linetiller/internal/upstream"
)

// Owners holds the owners that run on this box. It is safe for concurrent use. Lock order:
// Owners.mutex, then ownedUpstream.mutex, then the locks of the packages member, resource and
// policy, under which no other lock is taken.
type Owners struct {
	// PlatformUnavailable, if set, reports whether the platform's list of upstreams can currently
	// not be read.
	PlatformUnavailable func() bool
	// OnLeaving, if set, is called when an upstream announces in its load report that it is
	// leaving.
	OnLeaving func(u *resource.Upstream)
	// BackedOff, if set, reports whether this box is to send nothing to an upstream for now; its
	// load report is not read then.
	BackedOff func(upstream string) bool
	// ReadLoad reads the load report of the upstream at an address. It must be set before Run.
	ReadLoad func(ctx context.Context, address string) (*upstream.Load, error)

	// The last assignment, used only by the goroutine of Run.
	assignedAt      time.Time
	assignedMembers uint64             // version of members
	assignedView    uint64             // version of view
	hallBoxes       *policy.Rendezvous // the boxes alive in this box's hall; nil before the first assignment

	coldStart      ColdStartLimits
	startedAt      time.Time
	lengths        *policy.Lengths
	log            *slog.Logger
	maxQueued      int
	members        *member.Table
	metrics        *metric.Set
	mutex          sync.Mutex // guards owners
	owners         map[string]*ownedUpstream
	reportInterval time.Duration // between reads of a load report, and the time-out of each
	unusedTimes    *metrics.Histogram
	view           *resource.View
}

// ColdStartLimits bounds how many generations are started per second at an engine that has just
// started: the rate that its service declares for cold engines, multiplied by Overage, plus
// Slack.
type ColdStartLimits struct{ Overage, Slack float64 }

// Option configures Owners.
type Option func(*Owners)

const (
	// assignInterval is the minimum time between two assignments of upstreams: one takes 1 ms in
	// a hall of 100 boxes and 1,000 upstreams, where something changes all the time.
	assignInterval = 100 * time.Millisecond
	// outageReportInterval is how often load reports are read while the platform's list of
	// upstreams is unavailable, so that only a report shows that an upstream is leaving.
	// Upstreams give 1.5 to 2.1 s of notice, and a report shows it half a second late; reading
	// one costs 1/2,500 of the value of a long generation.
	outageReportInterval = 150 * time.Millisecond
	// coldStartShare is the share of the start rate of a cold engine that one owner grants: two
	// boxes may briefly both consider themselves its owner.
	coldStartShare = 0.5
	// maxPrefillTokens is how many prompt tokens an engine that serves routes may have in
	// prefill at once. Such engines prefill about 7.5 tokens/ms while they decode other
	// generations, so this takes 0.9 s of a target of 1.5 s.
	maxPrefillTokens = 7000
	reportWorkers    = 16 // load reports read concurrently
	// IdleReportInterval is how often load reports of upstreams are read that are idle by their last
	// report and have no generation that the owner knows. Nothing is decided by them until a place
	// is granted, and the platform's list says that an upstream is leaving.
	IdleReportInterval = 5 * time.Second
	// restartPeriod is how long after its own start a box assumes that a cold engine had another
	// owner just before: that owner may have been this box itself, before a restart.
	restartPeriod = time.Second
	tickInterval  = 20 * time.Millisecond // between checks for queued work and load reports that are due
	tickWorkers   = 4                     // upstreams checked concurrently
)

// New returns Owners for the upstreams in v.
func New(v *resource.View, m *member.Table, l *policy.Lengths, s *metric.Set, log *slog.Logger, options ...Option) *Owners {
	o := &Owners{
		coldStart: ColdStartLimits{Overage: 1}, lengths: l, log: log, maxQueued: 10_000, members: m, metrics: s,
		owners: make(map[string]*ownedUpstream), reportInterval: time.Second, startedAt: time.Now(), unusedTimes: s.Histogram(metric.UnusedReservations), view: v,
	}
	for _, x := range options {
		x(o)
	}
	s.Gauge(metric.OwnedUpstreams, func() float64 { return float64(len(o.list())) })
	s.Gauge(metric.QueuedRequests, func() float64 { return o.sum((*policy.Owner).Queued) })
	s.Gauge(metric.Reservations, func() float64 { return o.sum((*policy.Owner).Running) })
	return o
}

// WithColdStartLimits sets the limits for engines that have just started.
func WithColdStartLimits(c ColdStartLimits) Option {
	return func(o *Owners) { o.coldStart = c }
}

// WithMaxQueued sets how much work may be queued at one upstream; the default is 10,000.
func WithMaxQueued(n int) Option {
	return func(o *Owners) { o.maxQueued = n }
}

// WithReportInterval sets how often load reports are read; the default is one second.
func WithReportInterval(d time.Duration) Option {
	return func(o *Owners) { o.reportInterval = d }
}

// Loads returns the loads of the upstreams that this box owns, or only of those that are not idle.
func (o *Owners) Loads(busyOnly bool) []policy.Load {
	now := time.Now()
	var l []policy.Load
	for _, x := range o.list() {
		x.mutex.Lock()
		if x.assigned {
			l = append(l, x.owner.Load(now))
		}
		x.mutex.Unlock()
	}
	if busyOnly {
		l = slices.DeleteFunc(l, func(l policy.Load) bool { return l.Idle() })
	}
	return l
}

// RecordProgress records the progress of generations at an upstream. The reply holds its load and the
// IDs of generations that the owner does not know; the caller is to send the work of these again
// in full.
func (o *Owners) RecordProgress(u *box.ProgressReport) *box.Reply {
	x := o.getOrCreate(u.Upstream)
	if x == nil {
		return &box.Reply{Revisions: o.view.Revisions()}
	}
	now := time.Now()
	x.mutex.Lock()
	defer x.mutex.Unlock()
	r := &box.Reply{Revisions: o.view.Revisions()}
	for n := range u.Items {
		i := &u.Items[n]
		switch {
		case i.Released:
			x.owner.Finish(i.ID, i.Produced, i.Ended, now)
		case i.Work != nil:
			x.owner.Register(i.Work, i.Produced, now)
		case !x.owner.IsRunning(i.ID):
			r.UnknownIDs = append(r.UnknownIDs, i.ID)
		default:
			x.owner.Progress(i.ID, i.Produced, now)
		}
	}
	x.grantNext(now)
	l := x.owner.Load(now)
	r.Load = &l
	return r
}

// RequestPlace answers a placement request: immediately, and if the work is queued, a second
// time when it gets a place or is refused. It returns after the final answer or when ctx ends.
// Work whose caller has disconnected is removed from the queue.
func (o *Owners) RequestPlace(ctx context.Context, a *box.PlacementRequest, answer func(*box.Reply) error) {
	x := o.getOrCreate(a.Upstream)
	if x == nil {
		_ = answer(&box.Reply{Answer: refusal(a, policy.ReasonNoUpstream), Revisions: o.view.Revisions()})
		return
	}
	now := time.Now()
	x.mutex.Lock()
	x.applyEntry(o.view.Upstream(a.Upstream)) // at least as recent as the view of the requesting box
	v := x.owner.RequestPlace(&a.Work, now)
	var c chan policy.Answer
	if v.Verdict == policy.VerdictQueue {
		c = make(chan policy.Answer, 1)
		x.waiters[a.Work.ID] = c
	}
	l := x.owner.Load(now)
	x.mutex.Unlock()
	if answer(o.reply(v, l)) != nil || c == nil {
		o.cancelWait(x, a, c)
		return
	}
	select {
	case v := <-c:
		_ = answer(o.reply(v, x.load()))
	case <-ctx.Done():
		o.cancelWait(x, a, c)
	}
}

// Run reads load reports and grants places to queued work until the context ends, then refuses
// what is still queued.
func (o *Owners) Run(ctx context.Context) {
	var g sync.WaitGroup
	ticks := make(chan *ownedUpstream)
	reports := make(chan *ownedUpstream)
	for range tickWorkers {
		g.Go(func() { forEach(ticks, o.tick) })
	}
	for range reportWorkers {
		g.Go(func() { forEach(reports, func(x *ownedUpstream) { o.readReport(ctx, x) }) })
	}
	t := time.NewTicker(tickInterval)
	defer t.Stop()
	for ctx.Err() == nil {
		select {
		case <-ctx.Done():
		case now := <-t.C:
			o.assign(now)
			o.dispatch(ctx, ticks, reports, now)
		}
	}
	close(ticks)
	close(reports)
	g.Wait()
	o.refuseAllWaiting()
}

// cancelWait removes work whose caller has disconnected from the queue; c is nil if the work was
// not queued.
func (o *Owners) cancelWait(x *ownedUpstream, a *box.PlacementRequest, c chan policy.Answer) {
	x.mutex.Lock()
	defer x.mutex.Unlock()
	if c != nil && x.waiters[a.Work.ID] == c {
		delete(x.waiters, a.Work.ID)
		x.owner.Cancel(a.Work.ID, time.Now())
	}
}

// dispatch passes to the workers the upstreams that have queued work or a load report due.
func (o *Owners) dispatch(ctx context.Context, ticks, reports chan<- *ownedUpstream, now time.Time) {
	for _, x := range o.list() {
		idle := x.idle()
		if !idle {
			select {
			case ticks <- x:
			case <-ctx.Done():
				return
			}
		}
		if x.beginReportRead(now, o.currentReportInterval(idle && x.reportedIdle())) {
			select {
			case reports <- x:
			case <-ctx.Done():
				return
			}
		}
	}
}

// get returns the owner of an upstream that runs on this box, or nil.
func (o *Owners) get(name string) *ownedUpstream {
	o.mutex.Lock()
	defer o.mutex.Unlock()
	return o.owners[name]
}

// getOrCreate returns the owner of an upstream, or nil if the upstream is not known.
func (o *Owners) getOrCreate(name string) *ownedUpstream {
	u := o.view.Upstream(name)
	o.mutex.Lock()
	defer o.mutex.Unlock()
	x := o.owners[name]
	if x != nil || u == nil {
		return x
	}
	c := policy.Capacity{KVTokens: u.Spec.KVTokens, MaxBatch: u.Spec.MaxBatch}
	if u.Engine() != nil {
		c.MaxPrefillTokens = maxPrefillTokens
	}
	if n := u.ColdPerSecond(); n > 0 {
		c.MaxStartsPerSecond = max(1, coldStartShare*(n*o.coldStart.Overage+o.coldStart.Slack))
	}
	x = &ownedUpstream{waiters: make(map[string]chan policy.Answer)}
	now := time.Now()
	options := []policy.OwnerOption{policy.WithMaxQueued(o.maxQueued)}
	if u.Cold(now) && now.Sub(o.startedAt) < restartPeriod {
		options = append(options, policy.WithPredecessor())
	}
	x.owner = policy.NewOwner(name, c, o.lengths, now, options...)
	x.owner.Evacuated = u.Evacuated()
	x.owner.OnUnused = func(held time.Duration) { o.unusedTimes.Update(held.Seconds()) }
	x.owner.StartedAtMS, x.owner.Leaving, x.owner.LeavingReported = u.Spec.StartedAtMS, u.IsLeaving(), u.ReportedLeaving
	x.assigned = o.Owns(u)
	o.owners[name] = x
	return x
}

// list returns all owners.
func (o *Owners) list() []*ownedUpstream {
	o.mutex.Lock()
	defer o.mutex.Unlock()
	l := make([]*ownedUpstream, 0, len(o.owners))
	for _, x := range o.owners {
		l = append(l, x)
	}
	return l
}

// refuseAllWaiting refuses all queued work, as this box stops owning its upstreams.
func (o *Owners) refuseAllWaiting() {
	for _, x := range o.list() {
		x.mutex.Lock()
		x.refuseWaiting(policy.ReasonOwnerChanged)
		x.mutex.Unlock()
	}
}

// reply returns a reply with an answer and a load. Each call returns a new one, since the
// caller may still use an earlier one.
func (o *Owners) reply(a policy.Answer, l policy.Load) *box.Reply {
	return &box.Reply{Answer: &a, Load: &l, Revisions: o.view.Revisions()}
}

// sum returns the sum of f over all owners.
func (o *Owners) sum(f func(*policy.Owner) int) float64 {
	n := 0
	for _, x := range o.list() {
		x.mutex.Lock()
		n += f(x.owner)
		x.mutex.Unlock()
	}
	return float64(n)
}

// tick grants places at one upstream. If this box no longer owns the upstream, it refuses the
// queued work, and drops the owner once no generation is running.
func (o *Owners) tick(x *ownedUpstream) {
	x.mutex.Lock()
	if !x.assigned {
		x.refuseWaiting(policy.ReasonOwnerChanged)
	}
	x.grantNext(time.Now())
	unused := !x.assigned && x.owner.Running() == 0 && len(x.waiters) == 0
	x.mutex.Unlock()
	if unused {
		o.mutex.Lock()
		delete(o.owners, x.owner.Upstream)
		o.mutex.Unlock()
	}
}

// forEach calls f for each value received from c until c is closed.
func forEach[T any](c <-chan T, f func(T)) {
	for v := range c {
		f(v)
	}
}

// refusal returns an answer that refuses a placement request.
func refusal(a *box.PlacementRequest, r policy.Reason) *policy.Answer {
	return &policy.Answer{ID: a.Work.ID, Reason: r, Verdict: policy.VerdictRefuse}
}
