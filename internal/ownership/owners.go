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
	// Away reports whether the platform's list of upstreams cannot be had; a seam.
	Away func() bool
	// Leaving takes in that an upstream's report says that it is leaving; a seam.
	Leaving func(u *resource.Upstream)
	// Rests reports whether an upstream wants nothing from this box for now; a seam.
	Rests func(upstream string) bool
	// ReadLoad reads an upstream's load report; a seam for tests.
	ReadLoad func(ctx context.Context, address string) (*upstream.Load, error)

	assignedAt    time.Time // when upstreams were assigned,
	assignedBoxes uint64    // and the versions for which they were;
	assignedView  uint64    // used by Run alone

	cold      Cold
	startedAt time.Time
	lengths   *policy.Lengths
	log       *slog.Logger
	maxQueued int
	members   *member.Table
	metrics   *metric.Set
	mutex     sync.Mutex
	owners    map[string]*owned
	report    time.Duration
	view      *resource.View
}

// Cold tells how many requests a second engines get that have just started: so many times
// what their service says that a cold engine bears, and some more.
type Cold struct{ Overage, Slack float64 }

// Option sets one thing of Owners.
type Option func(*Owners)

const (
	// assignEvery is the least time between two looks at which upstreams fall to the
	// box: one takes 1 ms in a hall of 100 boxes and 1,000 upstreams, of which something
	// changes all the time.
	assignEvery = 100 * time.Millisecond
	// awayReportEvery is how often reports are read while the platform's list
	// cannot be had: notices are of 1.5 to 2.1 s, a report tells one half a second late
	// and costs a 2,500th of what a long generation is worth (prices of the users' days).
	awayReportEvery = 150 * time.Millisecond
	// coldShare is the share of what a cold engine bears that one owner hands out: for a
	// moment two boxes may both hold themselves for the owner.
	coldShare = 0.5
	// readingMost is how many tokens of prompts engines of routes read at once. They
	// read some 7.5 a millisecond between the tokens of others: 0.9 s, of an aim of 1.5.
	readingMost   = 7000
	reportWorkers = 16 // reports that are read together
	// startPeriod is how long after its start a box takes cold engines to have been owned by another
	// one: it may have been that one itself, as it was restarted.
	startPeriod = time.Second
	tickEvery   = 20 * time.Millisecond // between looks at what is due at the upstreams
	tickWorkers = 4                     // upstreams that are looked at together
)

// New returns owners that answer for the upstreams in v.
func New(v *resource.View, m *member.Table, l *policy.Lengths, s *metric.Set, log *slog.Logger, options ...Option) *Owners {
	o := &Owners{
		cold: Cold{Overage: 1}, lengths: l, log: log, maxQueued: 10_000, members: m, metrics: s,
		owners: make(map[string]*owned), report: time.Second, startedAt: time.Now(), view: v,
	}
	for _, x := range options {
		x(o)
	}
	s.Gauge(metric.Owned, func() float64 { return float64(len(o.list())) })
	s.Gauge(metric.Queued, func() float64 { return o.sum((*policy.Owner).Queued) })
	s.Gauge(metric.Reservations, func() float64 { return o.sum((*policy.Owner).Running) })
	return o
}

// WithCold bounds what engines get that have just started.
func WithCold(c Cold) Option {
	return func(o *Owners) { o.cold = c }
}

// WithMaxQueued bounds the work that waits at one upstream.
func WithMaxQueued(n int) Option {
	return func(o *Owners) { o.maxQueued = n }
}

// WithReportEvery sets how often load reports are read.
func WithReportEvery(d time.Duration) Option {
	return func(o *Owners) { o.report = d }
}

// Ask answers an ask, first at once and then, while it waits in the queue,
// when its turn comes. It returns when the answer is final or ctx ends; work
// whose caller has gone leaves the queue.
func (o *Owners) Ask(ctx context.Context, a *box.PlacementRequest, answer func(*box.Reply) error) {
	x := o.get(a.Upstream)
	if x == nil {
		_ = answer(&box.Reply{Answer: refusal(a, policy.ReasonNoUpstream), Revisions: o.view.Revisions()})
		return
	}
	now := time.Now()
	x.mutex.Lock()
	x.see(o.view.Upstream(a.Upstream)) // what the asking box knew, this one has caught up with
	v := x.owner.Ask(&a.Work, now)
	var c chan policy.Answer
	if v.Verdict == policy.VerdictQueue {
		c = make(chan policy.Answer, 1)
		x.waiters[a.Work.ID] = c
	}
	l := x.owner.Load(now)
	x.mutex.Unlock()
	if answer(o.reply(v, l)) != nil || c == nil {
		o.hangUp(x, a, c)
		return
	}
	select {
	case v := <-c:
		_ = answer(o.reply(v, x.load()))
	case <-ctx.Done():
		o.hangUp(x, a, c)
	}
}

// Loads returns the loads of the upstreams that fall to this box.
func (o *Owners) Loads() []policy.Load {
	now := time.Now()
	var l []policy.Load
	for _, x := range o.list() {
		x.mutex.Lock()
		if x.mine {
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
	ticks := make(chan *owned)
	reports := make(chan *owned)
	for range tickWorkers {
		g.Go(func() { each(ticks, o.tick) })
	}
	for range reportWorkers {
		g.Go(func() { each(reports, func(x *owned) { o.readReport(ctx, x) }) })
	}
	t := time.NewTicker(tickEvery)
	defer t.Stop()
	for ctx.Err() == nil {
		select {
		case <-ctx.Done():
		case now := <-t.C:
			o.assign(now)
			o.feed(ctx, ticks, reports, now)
		}
	}
	close(ticks)
	close(reports)
	g.Wait()
	o.flushAll()
}

// Update takes in how far generations are, and returns the load and the ids
// that this owner does not know and wants to be told whole.
func (o *Owners) Update(u *box.ProgressReport) *box.Reply {
	x := o.get(u.Upstream)
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
	x.next(now)
	l := x.owner.Load(now)
	r.Load = &l
	return r
}

// feed hands the owners that have something due to the workers.
func (o *Owners) feed(ctx context.Context, ticks, reports chan<- *owned, now time.Time) {
	for _, x := range o.list() {
		if !x.idle() {
			select {
			case ticks <- x:
			case <-ctx.Done():
				return
			}
		}
		if x.dueReport(now, o.reportEvery()) {
			select {
			case reports <- x:
			case <-ctx.Done():
				return
			}
		}
	}
}

// flushAll refuses all work that waits.
func (o *Owners) flushAll() {
	for _, x := range o.list() {
		x.mutex.Lock()
		x.flush(policy.ReasonMoved)
		x.mutex.Unlock()
	}
}

// get returns the owner of an upstream, made where it does not exist yet, or
// nil where the upstream is not known.
func (o *Owners) get(name string) *owned {
	u := o.view.Upstream(name)
	o.mutex.Lock()
	defer o.mutex.Unlock()
	x := o.owners[name]
	if x != nil || u == nil {
		return x
	}
	c := policy.Capacity{KVTokens: u.Spec.KVTokens, MaxBatch: u.Spec.MaxBatch}
	if u.Engine() != nil {
		c.MaxPrefillTokens = readingMost
	}
	if n := u.ColdPerSecond(); n > 0 {
		c.MaxStartsPerSecond = max(1, coldShare*(n*o.cold.Overage+o.cold.Slack))
	}
	x = &owned{waiters: make(map[string]chan policy.Answer)}
	now := time.Now()
	options := []policy.OwnerOption{policy.WithMaxQueued(o.maxQueued)}
	if u.Cold(now) && now.Sub(o.startedAt) < startPeriod {
		options = append(options, policy.WithPredecessor())
	}
	x.owner = policy.NewOwner(name, c, o.lengths, now, options...)
	x.owner.Evacuated = u.Evacuated()
	x.owner.StartedAtMS, x.owner.Leaving, x.owner.LeavingReported = u.Spec.Born, u.IsLeaving(), u.ReportedLeaving
	x.mine = o.Mine(u)
	o.owners[name] = x
	return x
}

// hangUp takes work out of the queue whose caller has gone; c is nil where it does not
// wait.
func (o *Owners) hangUp(x *owned, a *box.PlacementRequest, c chan policy.Answer) {
	x.mutex.Lock()
	defer x.mutex.Unlock()
	if c != nil && x.waiters[a.Work.ID] == c {
		delete(x.waiters, a.Work.ID)
		x.owner.Cancel(a.Work.ID, time.Now())
	}
}

// list returns all owners.
func (o *Owners) list() []*owned {
	o.mutex.Lock()
	defer o.mutex.Unlock()
	l := make([]*owned, 0, len(o.owners))
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
func (o *Owners) tick(x *owned) {
	x.mutex.Lock()
	if !x.mine {
		x.flush(policy.ReasonMoved)
	}
	x.next(time.Now())
	over := !x.mine && x.owner.Running() == 0 && len(x.waiters) == 0
	x.mutex.Unlock()
	if over {
		o.mutex.Lock()
		delete(o.owners, x.owner.Upstream)
		o.mutex.Unlock()
	}
}

// each calls f with every value that comes, until the channel is closed.
func each[T any](c <-chan T, f func(T)) {
	for v := range c {
		f(v)
	}
}

// refusal returns the refusal of an ask.
func refusal(a *box.PlacementRequest, r policy.Reason) *policy.Answer {
	return &policy.Answer{ID: a.Work.ID, Reason: r, Verdict: policy.VerdictRefuse}
}
