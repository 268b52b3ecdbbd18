// Package configuration keeps a box's view of the resources up to date, from
// the platform's store or from boxes that are ahead.
package configuration

import (
	"context"
	"log/slog"
	"maps"
	"math"
	"sync"
	"sync/atomic"
	"time"

	"github.com/linetiller/linetiller/internal/box"
	"github.com/linetiller/linetiller/internal/event"
	"github.com/linetiller/linetiller/internal/member"
	"github.com/linetiller/linetiller/internal/metric"
	"github.com/linetiller/linetiller/internal/resource"
	"github.com/linetiller/linetiller/internal/revision"
)

// Reader waits up to wait for changes of one source, and of those that are read with
// it, after a revision of the store; where that is 0, or the history since then is
// gone, it returns all of them. They are to be taken in order, the source's own last,
// so that a view which is at its revision knows the others up to there. It also returns
// the revision after which to go on.
type Reader func(ctx context.Context, after int64, wait time.Duration) (l []resource.Batch, next int64, err error)

// Follower keeps one view up to date. It is safe for concurrent use.
type Follower struct {
	// Call sends a request to another box; a seam for tests.
	Call func(ctx context.Context, address string, q *box.Request) (*box.Reply, error)
	// Reconnect has the next read of the store go over a new connection; a seam.
	Reconnect func()
	// OnRestored is told once this box has learned that the store came back from a copy; a seam.
	OnRestored func()
	// AnnounceListUnavailable tells the hall's other boxes that the list of upstreams cannot be read, or
	// can be again; a seam. It does not wait.
	AnnounceListUnavailable func(away bool)
	// Jitter draws a number in [0, 1) by which retries are spread out.
	Jitter func() float64

	log                  *slog.Logger
	members              *member.Table
	metrics              *metric.Set
	mutex                sync.Mutex           // guards the fields below
	responseTime         atomic.Int64         // nanoseconds that the store took for its last answer
	listUnavailableUntil map[string]time.Time // by box: until when its word counts that it cannot read the list of upstreams
	recovered            chan struct{}        // closed when a source can be read again after failures
	peerCurrentAt        atomicTime           // when the view was known to be current, by what other boxes said
	era                  storeEra             // of the store, as this box knows it
	// followsPeerUntil is until when the view counts as kept up to date by another reader's word.
	followsPeerUntil  time.Time
	unresponsivePeers map[string]bool      // readers that did not answer when they were last asked
	stateChange       chan struct{}        // closed when it changes who reads, or whether the store can be read
	peerLostAt        time.Time            // when the last reader that kept the view up to date was found unable, or silent
	laggingPeerUntil  map[string]time.Time // by box: until when it counts as a reader that cannot read the store
	workers           sync.WaitGroup       // calls of silent readers
	sources           []*source
	catchUpSlot       chan struct{} // holds one value while a catch-up is under way
	view              *resource.View
}

const (
	// listUnavailableTTL is how long the word that the list of upstreams cannot be read counts: a
	// reader tells it anew with each failure, which are at most 4 s apart.
	listUnavailableTTL = 5 * time.Second
	catchUpTimeout     = 3 * time.Second // for one catch-up: a large configuration takes half a second over 10 Mbit/s
	// catchUpSlotTimeout is how long a catch-up keeps others waiting: the box that it asks may have lost
	// its power since it sent its message.
	catchUpSlotTimeout = 300 * time.Millisecond
)

// NewFollower returns a follower that keeps v up to date.
func NewFollower(v *resource.View, m *member.Table, l *slog.Logger) *Follower {
	return &Follower{listUnavailableUntil: make(map[string]time.Time), recovered: make(chan struct{}), log: l, members: m, metrics: metric.NewSet(), Reconnect: func() {}, unresponsivePeers: make(map[string]bool), Jitter: func() float64 { return 0.5 }, stateChange: make(chan struct{}), catchUpSlot: make(chan struct{}, 1), laggingPeerUntil: make(map[string]time.Time), view: v}
}

// Add adds a source before Run is called.
func (f *Follower) Add(name resource.Source, r Reader) {
	f.sources = append(f.sources, &source{name: name, read: r})
}

// ListUnavailable reports whether the platform's list of upstreams could not be read lately, by
// this box or by one of its hall's readers.
func (f *Follower) ListUnavailable() bool {
	for _, s := range f.sources {
		if s.name == resource.SourceUpstreams && s.unavailable() {
			return true
		}
	}
	return f.peerListUnavailable(time.Now())
}

// CatchUp brings the view to at least the given revisions by asking the box at
// address. One catch-up goes at a time, so that many messages from a box that is
// ahead make one, but no longer than catchUpSlotTimeout; waiting for its turn ends with the context. Reads of the store
// are not held up by it, nor it by them: the view takes changes in any order.
func (f *Follower) CatchUp(ctx context.Context, address string, r resource.Revisions) error {
	if !f.view.Revisions().Behind(r) {
		return nil
	}
	ctx, cancel := context.WithTimeout(ctx, catchUpTimeout)
	defer cancel()
	select {
	case f.catchUpSlot <- struct{}{}:
	case <-ctx.Done():
		return ctx.Err()
	}
	release := sync.OnceFunc(func() { <-f.catchUpSlot })
	defer release()
	timer := time.AfterFunc(catchUpSlotTimeout, release)
	defer timer.Stop()
	have := f.view.Revisions()
	if !have.Behind(r) {
		return nil
	}
	p, err := f.Call(ctx, address, &box.Request{From: f.members.Self(), Kind: box.KindChanges, Revisions: have})
	if err != nil {
		return err
	}
	for i := range p.Changes {
		f.apply(&p.Changes[i], "box "+address)
	}
	return nil
}

// Complete reports whether something is known of every source.
func (f *Follower) Complete() bool {
	r := f.view.Revisions()
	for _, s := range f.sources {
		if r[s.name] == 0 {
			return false
		}
	}
	return true
}

// RecordPeerListUnavailable takes in another box's word of whether it can read the list of upstreams. It
// changes nothing about the word of others: the store may serve one and not another.
func (f *Follower) RecordPeerListUnavailable(from string, unavailable bool) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	now := time.Now()
	maps.DeleteFunc(f.listUnavailableUntil, func(_ string, t time.Time) bool { return !now.Before(t) })
	if unavailable {
		f.listUnavailableUntil[from] = now.Add(listUnavailableTTL)
		return
	}
	delete(f.listUnavailableUntil, from)
}

// RegisterMetrics has the follower's state told by gauges of m. It is called once all sources
// are added.
func (f *Follower) RegisterMetrics(m *metric.Set) {
	f.metrics = m
	f.registerViewAge(m)
	m.Gauge(metric.PlatformReader, func() float64 { return boolToFloat(f.role() != roleNone) })
	for _, s := range f.sources {
		m.GaugeOf(metric.PlatformReadFailing, "source", string(s.name), func() float64 { return boolToFloat(s.failures.Load() > 0) })
		m.GaugeOf(metric.PlatformReadAge, "source", string(s.name), func() float64 {
			if s.readAt.get().IsZero() {
				return math.Inf(1)
			}
			return time.Since(s.readAt.get()).Seconds()
		})
	}
}

// ReadsStore reports whether this box is one of the few that read the store while all is well.
func (f *Follower) ReadsStore() bool {
	return f.assignment().role != roleNone
}

// Refresh brings the view up to date from the store, without waiting for changes.
func (f *Follower) Refresh(ctx context.Context) error {
	return f.refresh(ctx, func(*source) bool { return true })
}

// RefreshExceptBoxes brings the view up to date from the store, without waiting for changes, but
// for the boxes.
func (f *Follower) RefreshExceptBoxes(ctx context.Context) error {
	return f.refresh(ctx, func(s *source) bool { return s.name != resource.SourceBoxes })
}

// RefreshSource brings one source up to date from the store, without waiting for
// changes.
func (f *Follower) RefreshSource(ctx context.Context, name resource.Source) error {
	return f.refresh(ctx, func(s *source) bool { return s.name == name })
}

// RefreshFromPeerOrStore brings the view up to date, from a reader that answers or else from the store.
func (f *Follower) RefreshFromPeerOrStore(ctx context.Context) error {
	if f.refreshFromPeer(ctx) {
		return nil
	}
	return f.Refresh(ctx)
}

// Run follows every source while this box is one of those that read the store, until
// the context ends.
func (f *Follower) Run(ctx context.Context) {
	var g sync.WaitGroup
	for _, s := range f.sources {
		g.Go(func() { f.follow(ctx, s) })
	}
	g.Wait()
}

// apply takes a batch into the view.
func (f *Follower) apply(b *resource.Batch, from string) {
	f.recordBatchEra(b)
	defer f.logHeldChanges(b, f.view.CountHeld(b.Source))
	if f.view.Merge(b) {
		event.RevisionApplied.Log(f.log, "source", string(b.Source), "era", revision.Era(b.Revision), "revision", revision.Version(b.Revision), "changes", len(b.Changes), "whole", b.Snapshot, "from", from)
		return
	}
	if held := f.view.Revisions()[b.Source]; b.Snapshot && b.Revision < held {
		f.metrics.Count(metric.PlatformOlderAnswers, "source", string(b.Source))
		event.StaleAnswerIgnored.Log(f.log, "source", string(b.Source), "era", revision.Era(b.Revision), "told", revision.Version(b.Revision), "held_era", revision.Era(held), "held", revision.Version(held), "from", from)
	}
}

// refresh reads the sources for which wanted is true, at once.
func (f *Follower) refresh(ctx context.Context, wanted func(*source) bool) error {
	var g sync.WaitGroup
	errs := make([]error, len(f.sources))
	for i, s := range f.sources {
		if wanted(s) {
			g.Go(func() { errs[i] = f.readOnce(ctx, s, 0) })
		}
	}
	g.Wait()
	for _, err := range errs {
		if err != nil {
			return err
		}
	}
	return nil
}

// announceListUnavailable tells the hall's other boxes whether the list of upstreams cannot be read.
func (f *Follower) announceListUnavailable(s *source, unavailable bool) {
	if s.name == resource.SourceUpstreams && f.AnnounceListUnavailable != nil {
		f.AnnounceListUnavailable(unavailable)
	}
}

// peerListUnavailable reports whether the word of a box counts that it cannot read the list of
// upstreams.
func (f *Follower) peerListUnavailable(now time.Time) bool {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	for _, t := range f.listUnavailableUntil {
		if now.Before(t) {
			return true
		}
	}
	return false
}

// boolToFloat returns 1 for true.
func boolToFloat(b bool) float64 {
	if b {
		return 1
	}
	return 0
}
