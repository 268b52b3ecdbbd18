package configuration

import (
	"context"
	"time"

	"github.com/linetiller/linetiller/internal/event"
	"github.com/linetiller/linetiller/internal/fail"
	"github.com/linetiller/linetiller/internal/resource"
	"github.com/linetiller/linetiller/internal/revision"
)

const (
	// backSpread is the time over which the other sources are read again once one
	// could be: a quarter of a second keeps the boxes' reads apart.
	backSpread = 250 * time.Millisecond
	// failuresAway is how many reads in a row that fail at once tell that the store is away.
	failuresAway = 2
	idleEvery    = time.Second           // between looks whether this box has become a reader
	retryAtOnce  = 20 * time.Millisecond // before the second read after one that failed at once
	// silentPeriod is when a read that failed did so by a silence: an answer takes 4 ms.
	silentPeriod = 500 * time.Millisecond
	retryFirst   = 250 * time.Millisecond // of the wait after a failure, doubled at each more
	// substituteRetryFirst is the same for boxes that read beside the first reader.
	substituteRetryFirst = time.Second
	// substituteStep is the time between the first reads of two substitutes: a read that
	// the store answers, and a question of the next one, take some 15 ms.
	substituteStep = 80 * time.Millisecond
)

// backoff returns the wait after some failures in a row of a reader of some rank.
func (f *Follower) backoff(s *source, r rank) time.Duration {
	first := retryFirst
	if r != rankFirst {
		first = substituteRetryFirst
	}
	n := min(max(int(s.failures.Load())-failuresAway, 0), 5)
	wait := min(s.retryMost(r), first<<n)
	return wait/2 + time.Duration(f.Spread()*float64(wait)/2)
}

// follow reads one source again and again while this box is one of those that read the
// store. After a failure it waits longer each time, spread out, so that boxes do not
// all return at once.
func (f *Follower) follow(ctx context.Context, s *source) {
	for ctx.Err() == nil {
		state := f.stateChanged()
		n := f.rank()
		if !f.mayRead(s, n) {
			f.pauseIdle(ctx, state)
			continue
		}
		if !f.awaitTurn(ctx, s, n) {
			continue
		}
		back := f.returned()
		err := f.readWhileWanted(ctx, s, n, back)
		switch {
		case err == nil:
			pause(ctx, s.gather(n))
		case f.rank() != n:
			// what it is to do has changed
		case s.failures.Load() == 0 && closed(back):
			// its connection may have been lost
		default:
			f.pauseFailed(ctx, s, n, back)
		}
	}
}

// awaitTurn waits, before the first read of a substitute, until those nearer to the store
// would have found that it serves them, and reports whether the read is still wanted.
func (f *Follower) awaitTurn(ctx context.Context, s *source, r rank) bool {
	if r != rankSubstitute || f.probedSinceFed(s) {
		return true
	}
	before := len(f.duty().peers)
	pause(ctx, time.Duration(max(0, before-1))*substituteStep)
	return f.rank() == rankSubstitute
}

// mayRead reports whether a source is to be read by a box of that rank. While the store
// does not answer, only the probe is read: a call that fails is priced as others are. A
// substitute first sees whether the store answers it at all.
func (f *Follower) mayRead(s *source, r rank) bool {
	p := f.probe()
	switch {
	case r == rankNone:
		return false
	case r == rankStandby && s.name == resource.SourceUpstreams:
		return false // the list changes every second, and engines tell themselves that they leave
	case s == p:
		return true
	case r == rankSubstitute:
		return p.failures.Load() == 0 && f.probedSinceFed(p)
	default:
		return p.failures.Load() == 0
	}
}

// position returns the store's revision up to which a source is known: read by this box, or
// heard from another.
func (f *Follower) position(s *source) int64 {
	if !s.name.UsesStoreRevisions() {
		return s.after.Load()
	}
	return max(s.after.Load(), f.view.Revisions()[s.name])
}

// probe returns the source by which it is noticed that the store is silent, or back.
func (f *Follower) probe() *source {
	for _, s := range f.sources {
		if s.name == resource.SourceUpstreams {
			return s
		}
	}
	return f.sources[len(f.sources)-1]
}

// probedSinceFed reports whether the probe was read since this box was last fed.
func (f *Follower) probedSinceFed(p *source) bool {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	return p.readAt.get().After(f.unfedAt)
}

// watch returns how long one read of a source waits. After a failure it does not wait: the
// answer tells whether the store is back. The first read of a substitute does not either: the
// other sources wait for its answer.
func (f *Follower) watch(s *source, r rank) time.Duration {
	switch {
	case s.failures.Load() > 0, r == rankSubstitute && s == f.probe() && !f.probedSinceFed(s):
		return 0
	case r != rankStandby && !f.confirmsWithin(s, time.Now(), confirm(r)):
		return confirm(r)
	default:
		return s.watchPeriod(r)
	}
}

// confirmsWithin reports whether the read of a source other than s ends its wait within a time, so
// that one of s need not: sources come to end their waits by turns.
func (f *Follower) confirmsWithin(s *source, now time.Time, d time.Duration) bool {
	for _, o := range f.sources {
		if due := o.dueAt.get(); o != s && due.After(now) && !due.After(now.Add(d)) {
			return true
		}
	}
	return false
}

// pauseFailed waits after a failure, but not much beyond the moment when another
// source of the same store can be read again.
func (f *Follower) pauseFailed(ctx context.Context, s *source, r rank, back <-chan struct{}) {
	if s.failures.Load() == 1 {
		pause(ctx, retryAtOnce)
		return
	}
	select {
	case <-ctx.Done():
	case <-back:
		pause(ctx, time.Duration(f.Spread()*float64(backSpread)))
	case <-time.After(f.backoff(s, r)):
	}
}

// pauseIdle waits until this box may have come to read.
func (f *Follower) pauseIdle(ctx context.Context, state <-chan struct{}) {
	select {
	case <-ctx.Done():
	case <-state:
	case <-time.After(idleEvery):
	}
}

// readFailed takes in that a read ended with err, after a silence or at once; after is
// the revision held. A read that failed at once, as where its connection was reset, is
// tried again before the store is taken to be away.
func (f *Follower) readFailed(s *source, after int64, err error, silence bool) {
	count := int64(1)
	if silence {
		count = failuresAway
	}
	n := s.failures.Add(count)
	if n == count {
		event.PlatformUnreachable.Log(f.log, "source", string(s.name), "step", fail.Step(err), "error", err.Error(), "era", revision.Era(after), "held", revision.Version(after))
	}
	if n < failuresAway {
		return
	}
	if n < failuresAway+count {
		f.tellState()
	}
	f.tellAway(s, true)
}

// readOnce reads one source and takes in what it holds. A read that the context ended
// does not count as failed.
func (f *Follower) readOnce(ctx context.Context, s *source, wait time.Duration) error {
	after := f.position(s)
	silentAt := time.Now().Add(wait + silentPeriod)
	a := f.read(ctx, s, after, wait)
	if a.err != nil {
		if ctx.Err() == nil {
			f.readFailed(s, after, a.err, time.Now().After(silentAt))
		}
		return a.err
	}
	f.readSucceeded(s)
	s.after.Store(a.next)
	for i := range a.batches {
		f.doubt(&a.batches[i], after)
		f.lapse(s, &a.batches[i])
		f.apply(&a.batches[i], "platform")
	}
	return nil
}

// readWhileWanted reads one source by a box of a rank. The store's return, seen by another
// source, ends a read that may have been lost before; and a standby that becomes a
// substitute reads anew, to tell others at once that it can.
func (f *Follower) readWhileWanted(ctx context.Context, s *source, r rank, back <-chan struct{}) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	go func() {
		for ctx.Err() == nil {
			state := f.stateChanged()
			if r == rankStandby && f.rank() == rankSubstitute {
				cancel()
			}
			select {
			case <-back:
				cancel()
			case <-state:
			case <-ctx.Done():
			}
		}
	}()
	return f.readOnce(ctx, s, f.watch(s, r))
}

// readSucceeded takes in that a source could be read, perhaps again after failures.
func (f *Follower) readSucceeded(s *source) {
	s.readAt.set(time.Now())
	n := s.failures.Swap(0)
	if s == f.probe() && (n > 0 || f.rank() == rankSubstitute) {
		f.tellState() // the other sources may wait for it
	}
	if n == 0 {
		return
	}
	s.backAt.set(time.Now())
	f.tellBack()
	f.tellAway(s, false)
	event.PlatformReachable.Log(f.log, "source", string(s.name), "failures", n)
}

// returned returns a channel that is closed when a source can be read again.
func (f *Follower) returned() <-chan struct{} {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	return f.back
}

// tellBack tells those that wait after a failure that the store can be read again.
func (f *Follower) tellBack() {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	close(f.back)
	f.back = make(chan struct{})
}

// tellState tells those that wait that it has changed whether the store can be read.
func (f *Follower) tellState() {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	f.changeState()
}

// closed reports whether a channel is closed that nothing is sent to.
func closed(c <-chan struct{}) bool {
	select {
	case <-c:
		return true
	default:
		return false
	}
}

// pause waits for a time, or until the context ends.
func pause(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}
