// Package ownership runs the decisions of policy.Owner for the upstreams that
// a box owns: it answers asks, takes in progress and reads load reports.
package ownership

import (
	"context"
	"log/slog"
	"sync"
	"time"

	"github.com/linetiller/linetiller/internal/box"
	"github.com/linetiller/linetiller/internal/member"
	"github.com/linetiller/linetiller/internal/metric"
	"github.com/linetiller/linetiller/internal/policy"
	"github.com/linetiller/linetiller/internal/resource"
	"github.com/linetiller/linetiller/internal/upstream"
)

// Owners holds the owners that live on this box. It is safe for concurrent
// use. Lock order: Owners.mutex, then owned.mutex, then the locks of member,
// resource and policy, which are leaves.
type Owners struct {
	// PlatformUnavailable reports whether the platform's list of upstreams cannot be had; a seam.
	PlatformUnavailable func() bool
	// OnLeaving takes in that an upstream's report says that it is leaving; a seam.
	OnLeaving func(u *resource.Upstream)
	// BackedOff reports whether an upstream wants nothing from this box for now; a seam.
	BackedOff func(upstream string) bool
	// ReadLoad reads an upstream's load report; a seam for tests.
	ReadLoad func(ctx context.Context, address string) (*upstream.Load, error)

	assignedAt      time.Time // when upstreams were assigned,
	assignedMembers uint64    // and the versions for which they were;
	assignedView    uint64    // used by Run alone

	coldStart      ColdStartLimits
	startedAt      time.Time
	lengths        *policy.Lengths
	log            *slog.Logger
	maxQueued      int
	members        *member.Table
	metrics        *metric.Set
	mutex          sync.Mutex
	owners         map[string]*ownedUpstream
	reportInterval time.Duration
	view           *resource.View
}

// ColdStartLimits tells how many requests a second engines get that have just started: so many times
// what their service says that a cold engine bears, and some more.
type ColdStartLimits struct{ Overage, Slack float64 }

// Option sets one thing of Owners.
type Option func(*Owners)

const (
	// assignInterval is the least time between two looks at which upstreams fall to the
	// box: one takes 1 ms in a hall of 100 boxes and 1,000 upstreams, of which something
	// changes all the time.
	assignInterval = 100 * time.Millisecond
	// outageReportInterval is how often reports are read while the platform's list
	// cannot be had: notices are of 1.5 to 2.1 s, a report tells one half a second late
	// and costs a 2,500th of what a long generation is worth (prices of the users' days).
	outageReportInterval = 150 * time.Millisecond
	// coldStartShare is the share of what a cold engine bears that one owner hands out: for a
	// moment two boxes may both hold themselves for the owner.
	coldStartShare = 0.5
	// maxPrefillTokens is how many tokens of prompts engines of routes read at once. They
	// read some 7.5 a millisecond between the tokens of others: 0.9 s, of an aim of 1.5.
	maxPrefillTokens = 7000
	reportWorkers    = 16 // reports that are read together
	// restartPeriod is how long after its start a box takes cold engines to have been owned by another
	// one: it may have been that one itself, as it was restarted.
	restartPeriod = time.Second
	tickInterval  = 20 * time.Millisecond // between looks at what is due at the upstreams
	tickWorkers   = 4                     // upstreams that are looked at together
)

// New returns owners that answer for the upstreams in v.
func New(v *resource.View, m *member.Table, l *policy.Lengths, s *metric.Set, log *slog.Logger, options ...Option) *Owners {
	o := &Owners{
		coldStart: ColdStartLimits{Overage: 1}, lengths: l, log: log, maxQueued: 10_000, members: m, metrics: s,
		owners: make(map[string]*ownedUpstream), reportInterval: time.Second, startedAt: time.Now(), view: v,
	}
	for _, x := range options {
		x(o)
	}
	s.Gauge(metric.Owned, func() float64 { return float64(len(o.list())) })
	s.Gauge(metric.Queued, func() float64 { return o.sum((*policy.Owner).Queued) })
	s.Gauge(metric.Reservations, func() float64 { return o.sum((*policy.Owner).Running) })
	return o
}

// WithColdStartLimits bounds what engines get that have just started.
func WithColdStartLimits(c ColdStartLimits) Option {
	return func(o *Owners) { o.coldStart = c }
}

// WithMaxQueued bounds the work that waits at one upstream.
func WithMaxQueued(n int) Option {
	return func(o *Owners) { o.maxQueued = n }
}

// WithReportInterval sets how often load reports are read.
func WithReportInterval(d time.Duration) Option {
	return func(o *Owners) { o.reportInterval = d }
}

// Ask answers an ask, first at once and then, while it waits in the queue,
// when its turn comes. It returns when the answer is final or ctx ends; work
// whose caller has gone leaves the queue.
func (o *Owners) Ask(ctx context.Context, a *box.PlacementRequest, answer func(*box.Reply) error) {
	x := o.getOrCreate(a.Upstream)
	if x == nil {
		_ = answer(&box.Reply{Answer: refusal(a, policy.ReasonNoUpstream), Revisions: o.view.Revisions()})
		return
	}
	now := time.Now()
	x.mutex.Lock()
	x.applyEntry(o.view.Upstream(a.Upstream)) // what the asking box knew, this one has caught up with
	v := x.owner.Ask(&a.Work, now)
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

// Loads returns the loads of the upstreams that fall to this box.
func (o *Owners) Loads() []policy.Load {
	now := time.Now()
	var l []policy.Load
	for _, x := range o.list() {
		x.mutex.Lock()
		if x.assigned {
			l = append(l, x.owner.Load(now))
		}
		x.mutex.Unlock()
	}
	return l
}

// Run reads load reports and hands out places until the context ends, with a
// pool of workers over the owners.
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

// Update takes in how far generations are, and returns the load and the ids
// that this owner does not know and wants to be told whole.
func (o *Owners) Update(u *box.ProgressReport) *box.Reply {
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
			r.Unknown = append(r.Unknown, i.ID)
		default:
			x.owner.Progress(i.ID, i.Produced, now)
		}
	}
	x.grantNext(now)
	l := x.owner.Load(now)
	r.Load = &l
	return r
}

// dispatch hands the owners that have something due to the workers.
func (o *Owners) dispatch(ctx context.Context, ticks, reports chan<- *ownedUpstream, now time.Time) {
	for _, x := range o.list() {
		if !x.idle() {
			select {
			case ticks <- x:
			case <-ctx.Done():
				return
			}
		}
		if x.beginReport(now, o.currentReportInterval()) {
			select {
			case reports <- x:
			case <-ctx.Done():
				return
			}
		}
	}
}

// refuseAllWaiting refuses all work that waits.
func (o *Owners) refuseAllWaiting() {
	for _, x := range o.list() {
		x.mutex.Lock()
		x.refuseWaiting(policy.ReasonMoved)
		x.mutex.Unlock()
	}
}

// getOrCreate returns the owner of an upstream, made where it does not exist yet, or
// nil where the upstream is not known.
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
	x.owner.StartedAtMS, x.owner.Leaving, x.owner.LeavingReported = u.Spec.Born, u.IsLeaving(), u.ReportedLeaving
	x.assigned = o.Owns(u)
	o.owners[name] = x
	return x
}

// cancelWait takes work out of the queue whose caller has gone; c is nil where it does not
// wait.
func (o *Owners) cancelWait(x *ownedUpstream, a *box.PlacementRequest, c chan policy.Answer) {
	x.mutex.Lock()
	defer x.mutex.Unlock()
	if c != nil && x.waiters[a.Work.ID] == c {
		delete(x.waiters, a.Work.ID)
		x.owner.Cancel(a.Work.ID, time.Now())
	}
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

// reply returns a reply of its own: the caller may still hold an earlier one.
func (o *Owners) reply(a policy.Answer, l policy.Load) *box.Reply {
	return &box.Reply{Answer: &a, Load: &l, Revisions: o.view.Revisions()}
}

// sum returns the sum of a figure over all owners.
func (o *Owners) sum(f func(*policy.Owner) int) float64 {
	n := 0
	for _, x := range o.list() {
		x.mutex.Lock()
		n += f(x.owner)
		x.mutex.Unlock()
	}
	return float64(n)
}

// tick hands out places at one upstream; an owner that has nothing left to do
// for an upstream that falls to another box, or that is gone, is dropped.
func (o *Owners) tick(x *ownedUpstream) {
	x.mutex.Lock()
	if !x.assigned {
		x.refuseWaiting(policy.ReasonMoved)
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

// forEach calls f with every value that comes, until the channel is closed.
func forEach[T any](c <-chan T, f func(T)) {
	for v := range c {
		f(v)
	}
}

// refusal returns the refusal of an ask.
func refusal(a *box.PlacementRequest, r policy.Reason) *policy.Answer {
	return &policy.Answer{ID: a.Work.ID, Reason: r, Verdict: policy.VerdictRefuse}
}
