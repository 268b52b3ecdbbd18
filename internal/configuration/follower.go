// Package configuration keeps a box's view of the resources up to date, from
// the platform's store or from boxes that are ahead.
package configuration

import (
	"context"
	"log/slog"
	"sync"
	"sync/atomic"
	"time"

	"github.com/linetiller/linetiller/internal/box"
	"github.com/linetiller/linetiller/internal/event"
	"github.com/linetiller/linetiller/internal/fail"
	"github.com/linetiller/linetiller/internal/member"
	"github.com/linetiller/linetiller/internal/policy"
	"github.com/linetiller/linetiller/internal/resource"
)

// Reader waits up to wait for changes of one source after a revision of the
// store; where that is 0, or the history since then is gone, it returns all of
// the source. It also returns the revision after which to go on.
type Reader func(ctx context.Context, after int64, wait time.Duration) (b *resource.Batch, next int64, err error)

// Follower keeps one view up to date. It is safe for concurrent use.
type Follower struct {
	// Ask sends a request to another box; a seam for tests.
	Ask func(ctx context.Context, address string, q *box.Request) (*box.Reply, error)
	// Spread draws a number in [0, 1) by which retries are spread out.
	Spread func() float64

	log     *slog.Logger
	members *member.Table
	sources []*source
	turn    chan struct{} // holds one value while a catch-up is under way
	view    *resource.View
}

// source is one source that the follower reads.
type source struct {
	after    atomic.Int64 // the store's revision up to which this box has read
	backAt   atomic.Int64 // Unix nanoseconds of the return of the store after an outage
	failures atomic.Int64 // reads that failed in a row
	name     resource.Source
	read     Reader
}

const (
	catchUpPeriod = 3 * time.Second // a large configuration takes half a second over 10 Mbit/s
	// gatherPeriod is between two reads: changes come in groups, and reads are priced.
	gatherPeriod   = 80 * time.Millisecond
	idleEvery      = time.Second // between looks whether this box has become a reader
	readersPerHall = 2
	retryFirst     = 250 * time.Millisecond
	retryMost      = 2 * time.Second // the store's return is to be noticed well within a second change's bound
	// returnPeriod is how long after the store's return a removal may be that of
	// an entry which lapsed meanwhile: the platform says two seconds.
	returnPeriod = 2500 * time.Millisecond
	// watchPeriod is how long one read waits for changes. Reads are priced, and a
	// lost connection is noticed only after it.
	watchPeriod = 15 * time.Second
	// upstreamsWatchPeriod is the same for the list of upstreams: it also bounds
	// how late a silent store is noticed, after which engines are asked themselves.
	upstreamsWatchPeriod = 3 * time.Second
)

// NewFollower returns a follower that keeps v up to date.
func NewFollower(v *resource.View, m *member.Table, l *slog.Logger) *Follower {
	return &Follower{log: l, members: m, Spread: func() float64 { return 0.5 }, turn: make(chan struct{}, 1), view: v}
}

// Away reports whether the platform's list of upstreams could not be read lately.
func (f *Follower) Away() bool {
	for _, s := range f.sources {
		if s.name == resource.SourceUpstreams {
			return s.failures.Load() > 0
		}
	}
	return false
}

// Add adds a source before Run is called.
func (f *Follower) Add(name resource.Source, r Reader) {
	f.sources = append(f.sources, &source{name: name, read: r})
}

// CatchUp brings the view to at least the given revisions by asking the box at
// address. One catch-up goes at a time, so that many messages from a box that is
// ahead make one; waiting for its turn ends with the context. Reads of the store
// are not held up by it, nor it by them: the view takes changes in any order.
func (f *Follower) CatchUp(ctx context.Context, address string, r resource.Revisions) error {
	if !f.view.Revisions().Behind(r) {
		return nil
	}
	ctx, cancel := context.WithTimeout(ctx, catchUpPeriod)
	defer cancel()
	select {
	case f.turn <- struct{}{}:
	case <-ctx.Done():
		return ctx.Err()
	}
	defer func() { <-f.turn }()
	have := f.view.Revisions()
	if !have.Behind(r) {
		return nil
	}
	p, err := f.Ask(ctx, address, &box.Request{From: f.members.Self(), Kind: box.KindChanges, Revisions: have})
	if err != nil {
		return err
	}
	for i := range p.Changes {
		f.apply(&p.Changes[i], "box "+address)
	}
	return nil
}

// Refresh brings the view up to date from the store, without waiting for changes.
func (f *Follower) Refresh(ctx context.Context) error {
	var g sync.WaitGroup
	errs := make([]error, len(f.sources))
	for i, s := range f.sources {
		g.Go(func() { errs[i] = f.readOnce(ctx, s, 0) })
	}
	g.Wait()
	for _, err := range errs {
		if err != nil {
			return err
		}
	}
	return nil
}

// Run follows every source while this box is one of its hall's readers, until
// the context ends.
func (f *Follower) Run(ctx context.Context) {
	var g sync.WaitGroup
	for _, s := range f.sources {
		g.Go(func() { f.follow(ctx, s) })
	}
	g.Wait()
}

func (f *Follower) apply(b *resource.Batch, from string) {
	if f.view.Take(b) {
		event.RevisionApplied.Log(f.log, "source", string(b.Source), "revision", b.Revision, "changes", len(b.Changes), "whole", b.Whole, "from", from)
	}
}

// follow reads one source again and again. After a failure it waits longer each
// time, spread out, so that boxes do not all return at once.
func (f *Follower) follow(ctx context.Context, s *source) {
	for ctx.Err() == nil {
		if !f.reads() {
			pause(ctx, idleEvery)
			continue
		}
		if f.readOnce(ctx, s, s.watch()) != nil {
			pause(ctx, f.backoff(int(s.failures.Load())))
		}
		pause(ctx, gatherPeriod)
	}
}

func (f *Follower) backoff(failures int) time.Duration {
	wait := min(retryMost, retryFirst<<min(max(failures-1, 0), 5))
	return wait/2 + time.Duration(f.Spread()*float64(wait)/2)
}

// lapse keeps, for a moment, upstreams whose entries went while the store was
// away: they may live and be about to come back.
func (f *Follower) lapse(s *source, b *resource.Batch) {
	if s.name != resource.SourceUpstreams || time.Since(time.Unix(0, s.backAt.Load())) > returnPeriod {
		return
	}
	if b.Whole {
		f.nameMissing(b)
	}
	for i := range b.Changes {
		c := &b.Changes[i]
		old := f.view.Get(resource.KindUpstream, c.Resource.Metadata.Name)
		if !c.Deleted || old == nil {
			continue
		}
		x, err := resource.Lapsed(old, c.Revision)
		if err != nil {
			continue
		}
		event.UpstreamLapsed.Log(f.log, "upstream", x.Metadata.Name, "revision", c.Revision)
		*c = resource.Change{Resource: x, Revision: c.Revision}
	}
}

// nameMissing adds to a whole batch the removals that it implies.
func (f *Follower) nameMissing(b *resource.Batch) {
	named := make(map[string]bool, len(b.Changes))
	for _, c := range b.Changes {
		named[c.Resource.Metadata.Name] = true
	}
	for _, x := range f.view.List(resource.KindUpstream) {
		if !named[x.Metadata.Name] && f.view.SourceOf(x) == b.Source {
			b.Changes = append(b.Changes, resource.Change{Deleted: true, Resource: x, Revision: b.Revision})
		}
	}
}

// readOnce reads one source and takes in what it holds.
func (f *Follower) readOnce(ctx context.Context, s *source, wait time.Duration) error {
	after := max(s.after.Load(), f.view.Revisions()[s.name])
	b, next, err := s.read(ctx, after, wait)
	if err != nil {
		if ctx.Err() == nil && s.failures.Add(1) == 1 {
			event.PlatformDown.Log(f.log, "source", string(s.name), "step", fail.Step(err), "error", err.Error(), "held", after)
		}
		return err
	}
	if n := s.failures.Swap(0); n > 0 {
		s.backAt.Store(time.Now().UnixNano())
		event.PlatformBack.Log(f.log, "source", string(s.name), "failures", n)
	}
	s.after.Store(next)
	f.lapse(s, b)
	f.apply(b, "platform")
	return nil
}

// reads reports whether this box is one of the few of its hall that read the
// store; the others hear of changes from them.
func (f *Follower) reads() bool {
	s := f.members.Self()
	l := policy.Rank("reader", f.members.Alive(s.Hall))
	for _, n := range l[:min(readersPerHall, len(l))] {
		if n == s.Name {
			return true
		}
	}
	return len(l) == 0
}

// watch returns how long one read of the source waits.
func (s *source) watch() time.Duration {
	if s.name == resource.SourceUpstreams {
		return upstreamsWatchPeriod
	}
	return watchPeriod
}

func pause(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}
