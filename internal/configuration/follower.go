// Package configuration keeps a box's view of the resources up to date, from the platform's store
// or from boxes that have newer data.
package configuration

import (
	"context"
	"errors"
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

// Reader waits up to wait for changes of one source, and of the sources that are read with it,
// after a revision of the store. If after is 0, or the history since then is no longer available,
// it returns complete snapshots at once. The batches must be applied in order, that of the source
// itself last, so that a view at its revision also has the other sources' changes up to it. next is
// the revision from which to continue.
type Reader func(ctx context.Context, after int64, wait time.Duration) (l []resource.Batch, next int64, err error)

// Follower keeps one view up to date. It is safe for concurrent use.
type Follower struct {
	// Call sends a request to another box. It can be replaced in tests.
	Call func(ctx context.Context, address string, q *box.Request) (*box.Reply, error)
	// Reconnect makes the next read of the store use a new connection.
	Reconnect func()
	// OnRestored is called when this box has learned that the store was restored from a backup. It
	// may be nil.
	OnRestored func()
	// AnnounceListUnavailable announces to the other boxes of the hall whether the list of upstreams
	// is unavailable to this box. It does not block. It may be nil.
	AnnounceListUnavailable func(unavailable bool)
	// Jitter returns a random number in [0, 1) by which retries are spread.
	Jitter func() float64

	log                  *slog.Logger
	members              *member.Table
	metrics              *metric.Set
	mutex                sync.Mutex           // guards the fields below that are modified and not safe for concurrent use by themselves
	responseTime         atomic.Int64         // how long the store took for its last response, in nanoseconds
	listUnavailableUntil map[string]time.Time // by box: until when its report counts that it cannot read the list of upstreams
	recovered            chan struct{}        // closed when a source can be read again after failures
	peerCurrentAt        atomicTime           // the latest time at which the view was current according to other boxes
	era                  storeEra             // of the store, as known to this box
	// followsPeerUntil is the time until which the view counts as kept up to date by another
	// reader.
	followsPeerUntil  time.Time
	unresponsivePeers map[string]bool      // readers that did not respond to the last call
	stateChange       chan struct{}        // closed when the roles change, or whether the store can be read
	peerLostAt        time.Time            // when the last reader that kept the view up to date stopped doing so
	laggingPeerUntil  map[string]time.Time // by box: until when it counts as a reader that cannot follow the store
	workers           sync.WaitGroup       // calls to unresponsive readers
	sources           []*source
	changesFetchedAt  atomicTime
	catchUpSlot       chan struct{} // holds a value while a catch-up is in progress
	view              *resource.View
}

const (
	// listUnavailableTTL is how long another box's report counts that it cannot read the list of
	// upstreams. A reader repeats the report with each failed read; these are at most 4 s apart.
	listUnavailableTTL = 5 * time.Second
	catchUpTimeout     = 3 * time.Second // for one page of changes; a large configuration takes half a second over 10 Mbit/s
	// changesPerPage is how many changes of upstreams one reply contains: 190 kB, which take 0.15 s
	// over 10 Mbit/s.
	changesPerPage = 1000
	// catchUpSlotTimeout is how long a catch-up keeps others waiting. The box that it calls may
	// have lost power since it sent its message.
	catchUpSlotTimeout = 300 * time.Millisecond
)

// errPagesChanged says that the pages of a batch do not belong together, because the sender's view
// changed in between. The next message from the sender repeats the request.
var errPagesChanged = errors.New("the pages of changes do not belong together")

// FetchedChangesAt returns when another box last sent a page of changes that this one lacked.
func (f *Follower) FetchedChangesAt() time.Time { return f.changesFetchedAt.get() }

// NewFollower returns a follower that keeps v up to date.
func NewFollower(v *resource.View, m *member.Table, l *slog.Logger) *Follower {
	return &Follower{listUnavailableUntil: make(map[string]time.Time), recovered: make(chan struct{}), log: l, members: m, metrics: metric.NewSet(), Reconnect: func() {}, unresponsivePeers: make(map[string]bool), Jitter: func() float64 { return 0.5 }, stateChange: make(chan struct{}), catchUpSlot: make(chan struct{}, 1), laggingPeerUntil: make(map[string]time.Time), view: v}
}

// Add adds a source. It must not be called after Run.
func (f *Follower) Add(name resource.Source, r Reader) {
	f.sources = append(f.sources, &source{name: name, read: r})
}

// CatchUp brings the view to at least the given revisions by requesting the changes from the box at
// address. Catch-ups run one at a time, so that many messages from a box with newer data cause a
// single one, but each keeps the others waiting for at most catchUpSlotTimeout after its last page;
// the wait ends with the context. Catch-ups and reads of the store do not wait for each other: the
// view accepts changes in any order.
func (f *Follower) CatchUp(ctx context.Context, address string, r resource.Revisions) error {
	if !f.view.Revisions().Behind(r) {
		return nil
	}
	select {
	case f.catchUpSlot <- struct{}{}:
	case <-ctx.Done():
		return ctx.Err()
	case <-time.After(catchUpTimeout):
		return context.DeadlineExceeded
	}
	release := sync.OnceFunc(func() { <-f.catchUpSlot })
	defer release()
	timer := time.AfterFunc(catchUpSlotTimeout, release)
	defer timer.Stop()
	have := f.view.Revisions()
	if !have.Behind(r) {
		return nil
	}
	return f.fetchChanges(ctx, address, have, timer)
}

// Complete reports whether the view has data of every source.
func (f *Follower) Complete() bool {
	r := f.view.Revisions()
	for _, s := range f.sources {
		if r[s.name] == 0 {
			return false
		}
	}
	return true
}

// ListUnavailable reports whether recent reads of the platform's list of upstreams failed, at this
// box or, by its report, at another reader of its hall.
func (f *Follower) ListUnavailable() bool {
	for _, s := range f.sources {
		if s.name == resource.SourceUpstreams && s.unavailable() {
			return true
		}
	}
	return f.peerListUnavailable(time.Now())
}

// ReadsStore reports whether this box is one of the few that read the store in normal operation.
func (f *Follower) ReadsStore() bool {
	return f.assignment().role != roleNone
}

// RecordPeerListUnavailable records another box's report of whether it can read the list of
// upstreams. Reports of other boxes stay as they are: the store may serve one box and not another.
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

// Refresh brings the view up to date from the store without waiting for changes.
func (f *Follower) Refresh(ctx context.Context) error {
	return f.refresh(ctx, func(*source) bool { return true })
}

// RefreshExceptBoxes brings all sources but the list of boxes up to date from the store without
// waiting for changes.
func (f *Follower) RefreshExceptBoxes(ctx context.Context) error {
	return f.refresh(ctx, func(s *source) bool { return s.name != resource.SourceBoxes })
}

// RefreshFromPeerOrStore brings the view up to date from a reader, or from the store if no reader
// that follows the store responds.
func (f *Follower) RefreshFromPeerOrStore(ctx context.Context) error {
	if f.refreshFromPeer(ctx) {
		return nil
	}
	return f.Refresh(ctx)
}

// RefreshSource brings one source up to date from the store without waiting for changes.
func (f *Follower) RefreshSource(ctx context.Context, name resource.Source) error {
	return f.refresh(ctx, func(s *source) bool { return s.name == name })
}

// RegisterMetrics adds gauges of the follower's state to m, which then receives its counters, too.
// It must be called after all sources were added.
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

// Run follows every source, as far as the role of this box requires it, until the context ends.
func (f *Follower) Run(ctx context.Context) {
	var g sync.WaitGroup
	for _, s := range f.sources {
		g.Go(func() { f.follow(ctx, s) })
	}
	g.Wait()
}

// announceListUnavailable announces to the other boxes of the hall whether the list of upstreams is
// unavailable to this box, if it is one of the hall's readers. It does nothing for other sources.
func (f *Follower) announceListUnavailable(s *source, unavailable bool) {
	if s.name == resource.SourceUpstreams && f.isHallReader() && f.AnnounceListUnavailable != nil {
		f.AnnounceListUnavailable(unavailable)
	}
}

// apply merges a batch into the view. An outdated snapshot is counted and logged.
func (f *Follower) apply(b *resource.Batch, from string) {
	f.recordBatchEra(b)
	defer f.logHeldChanges(b, f.view.CountHeld(b.Source))
	if f.view.Merge(b) {
		event.RevisionApplied.Log(f.log, "source", string(b.Source), "era", revision.Era(b.Revision), "revision", revision.Version(b.Revision), "changes", len(b.Changes), "whole", b.Snapshot, "from", from)
		return
	}
	if held := f.view.Revisions()[b.Source]; b.Snapshot && b.Revision < held {
		f.metrics.Count(metric.PlatformStaleAnswers, "source", string(b.Source))
		event.StaleAnswerIgnored.Log(f.log, "source", string(b.Source), "era", revision.Era(b.Revision), "told", revision.Version(b.Revision), "held_era", revision.Era(held), "held", revision.Version(held), "from", from)
	}
}

// fetchChanges requests the changes after the given revisions from the box at address, page by page,
// and applies them. Those of upstreams are applied once they are complete. The timer is reset with
// each page.
func (f *Follower) fetchChanges(ctx context.Context, address string, have resource.Revisions, timer *time.Timer) error {
	var upstreams *resource.Batch
	for after := ""; ; {
		p, err := f.fetchPage(ctx, address, have, after)
		if err != nil {
			return err
		}
		timer.Reset(catchUpSlotTimeout)
		f.changesFetchedAt.set(time.Now())
		if after != "" && len(p.Changes) != 1 {
			return errPagesChanged
		}
		for i := range p.Changes {
			b := &p.Changes[i]
			switch {
			case after == "" && (b.Source != resource.SourceUpstreams || p.NextPage == ""):
				f.apply(b, "box "+address)
			case after == "":
				upstreams = b
			case upstreams == nil || !upstreams.Append(b):
				return errPagesChanged
			}
		}
		if p.NextPage == "" {
			break
		}
		after = p.NextPage
	}
	if upstreams != nil {
		f.apply(upstreams, "box "+address)
	}
	return nil
}

// fetchPage requests one page of the changes after the given revisions.
func (f *Follower) fetchPage(ctx context.Context, address string, have resource.Revisions, after string) (*box.Reply, error) {
	ctx, cancel := context.WithTimeout(ctx, catchUpTimeout)
	defer cancel()
	return f.Call(ctx, address, &box.Request{From: f.members.Self(), Kind: box.KindChanges, MaxChanges: changesPerPage, PageAfter: after, Revisions: have})
}

// refresh reads the sources that are wanted concurrently, without waiting for changes. It returns
// the first error in the order of the sources.
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

// peerListUnavailable reports whether another box has recently reported that it cannot read the
// list of upstreams.
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

// boolToFloat returns 1 for true and 0 for false.
func boolToFloat(b bool) float64 {
	if b {
		return 1
	}
	return 0
}
