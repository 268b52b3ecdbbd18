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
	// recoveryJitter is the time over which the other sources are read again once one
	// could be: a quarter of a second keeps the boxes' reads apart.
	recoveryJitter = 250 * time.Millisecond
	// failuresUntilUnavailable is how many reads in a row that fail at once tell that the store is away.
	failuresUntilUnavailable = 2
	roleCheckInterval        = time.Second           // between looks whether this box has become a reader
	fastRetryDelay           = 20 * time.Millisecond // before the second read after one that failed at once
	// timeoutThreshold is when a read that failed did so by a silence: an answer takes 4 ms.
	timeoutThreshold  = 500 * time.Millisecond
	initialRetryDelay = 250 * time.Millisecond // of the wait after a failure, doubled at each more
	// substituteInitialRetryDelay is the same for boxes that read beside the first reader.
	substituteInitialRetryDelay = time.Second
	// substituteStagger is the time between the first reads of two substitutes: a read that
	// the store answers, and a question of the next one, take some 15 ms.
	substituteStagger = 80 * time.Millisecond
)

// backoff returns the wait after some failures in a row of a reader of some rank.
func (f *Follower) backoff(s *source, r readerRole) time.Duration {
	first := initialRetryDelay
	if r != rolePrimary {
		first = substituteInitialRetryDelay
	}
	n := min(max(int(s.failures.Load())-failuresUntilUnavailable, 0), 5)
	wait := min(s.maxRetryDelay(r), first<<n)
	return wait/2 + time.Duration(f.Jitter()*float64(wait)/2)
}

// follow reads one source again and again while this box is one of those that read the
// store. After a failure it waits longer each time, spread out, so that boxes do not
// all return at once.
func (f *Follower) follow(ctx context.Context, s *source) {
	for ctx.Err() == nil {
		stateChange := f.stateChanged()
		n := f.role()
		if !f.shouldRead(s, n) {
			f.pauseWhileIdle(ctx, stateChange)
			continue
		}
		if !f.awaitSubstituteTurn(ctx, s, n) {
			continue
		}
		recovered := f.recovery()
		err := f.readInRole(ctx, s, n, recovered)
		switch {
		case err == nil:
			pause(ctx, s.readInterval(n))
		case f.role() != n:
			// what it is to do has changed
		case s.failures.Load() == 0 && isClosed(recovered):
			// its connection may have been lost
		default:
			f.pauseAfterFailure(ctx, s, n, recovered)
		}
	}
}

// awaitSubstituteTurn waits, before the first read of a substitute, until those nearer to the store
// would have found that it serves them, and reports whether the read is still wanted.
func (f *Follower) awaitSubstituteTurn(ctx context.Context, s *source, r readerRole) bool {
	if r != roleSubstitute || f.probedSincePeerLost(s) {
		return true
	}
	closer := len(f.assignment().peers)
	pause(ctx, time.Duration(max(0, closer-1))*substituteStagger)
	return f.role() == roleSubstitute
}

// shouldRead reports whether a source is to be read by a box of that rank. While the store
// does not answer, only the probe is read: a call that fails is priced as others are. A
// substitute first sees whether the store answers it at all.
func (f *Follower) shouldRead(s *source, r readerRole) bool {
	p := f.probe()
	switch {
	case r == roleNone:
		return false
	case r == roleStandby && s.name == resource.SourceUpstreams:
		return false // the list changes every second, and engines tell themselves that they leave
	case s == p:
		return true
	case r == roleSubstitute:
		return p.failures.Load() == 0 && f.probedSincePeerLost(p)
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

// probedSincePeerLost reports whether the probe was read since this box was last fed.
func (f *Follower) probedSincePeerLost(p *source) bool {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	return p.readAt.get().After(f.peerLostAt)
}

// watchWait returns how long one read of a source waits. After a failure it does not wait: the
// answer tells whether the store is back. The first read of a substitute does not either: the
// other sources wait for its answer.
func (f *Follower) watchWait(s *source, r readerRole) time.Duration {
	switch {
	case s.failures.Load() > 0, r == roleSubstitute && s == f.probe() && !f.probedSincePeerLost(s):
		return 0
	case r != roleStandby && !f.otherWaitEndsWithin(s, time.Now(), confirmPeriodFor(r)):
		return confirmPeriodFor(r)
	default:
		return s.watchPeriod(r)
	}
}

// otherWaitEndsWithin reports whether the read of a source other than s ends its wait within a time, so
// that one of s need not: sources come to end their waits by turns.
func (f *Follower) otherWaitEndsWithin(s *source, now time.Time, d time.Duration) bool {
	for _, o := range f.sources {
		if ends := o.waitEndsAt.get(); o != s && ends.After(now) && !ends.After(now.Add(d)) {
			return true
		}
	}
	return false
}

// pauseAfterFailure waits after a failure, but not much beyond the moment when another
// source of the same store can be read again.
func (f *Follower) pauseAfterFailure(ctx context.Context, s *source, r readerRole, recovered <-chan struct{}) {
	if s.failures.Load() == 1 {
		pause(ctx, fastRetryDelay)
		return
	}
	select {
	case <-ctx.Done():
	case <-recovered:
		pause(ctx, time.Duration(f.Jitter()*float64(recoveryJitter)))
	case <-time.After(f.backoff(s, r)):
	}
}

// pauseWhileIdle waits until this box may have come to read.
func (f *Follower) pauseWhileIdle(ctx context.Context, stateChange <-chan struct{}) {
	select {
	case <-ctx.Done():
	case <-stateChange:
	case <-time.After(roleCheckInterval):
	}
}

// recordReadFailure takes in that a read ended with err, after a silence or at once; after is
// the revision held. A read that failed at once, as where its connection was reset, is
// tried again before the store is taken to be away.
func (f *Follower) recordReadFailure(s *source, after int64, err error, timedOut bool) {
	count := int64(1)
	if timedOut {
		count = failuresUntilUnavailable
	}
	n := s.failures.Add(count)
	if n == count {
		event.PlatformUnreachable.Log(f.log, "source", string(s.name), "step", fail.Step(err), "error", err.Error(), "era", revision.Era(after), "held", revision.Version(after))
	}
	if n < failuresUntilUnavailable {
		return
	}
	if n < failuresUntilUnavailable+count {
		f.signalStateChange()
	}
	f.announceListUnavailable(s, true)
}

// readOnce reads one source and takes in what it holds. A read that the context ended
// does not count as failed.
func (f *Follower) readOnce(ctx context.Context, s *source, wait time.Duration) error {
	after := f.position(s)
	timeoutAt := time.Now().Add(wait + timeoutThreshold)
	a := f.read(ctx, s, after, wait)
	if a.err != nil {
		if ctx.Err() == nil {
			f.recordReadFailure(s, after, a.err, time.Now().After(timeoutAt))
		}
		return a.err
	}
	f.recordReadSuccess(s)
	s.after.Store(a.next)
	for i := range a.batches {
		f.markTentative(&a.batches[i], after)
		f.markLapsed(s, &a.batches[i])
		f.apply(&a.batches[i], "platform")
	}
	return nil
}

// readInRole reads one source by a box of a rank. The store's return, seen by another
// source, ends a read that may have been lost before; and a standby that becomes a
// substitute reads anew, to tell others at once that it can.
func (f *Follower) readInRole(ctx context.Context, s *source, r readerRole, recovered <-chan struct{}) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	go func() {
		for ctx.Err() == nil {
			stateChange := f.stateChanged()
			if r == roleStandby && f.role() == roleSubstitute {
				cancel()
			}
			select {
			case <-recovered:
				cancel()
			case <-stateChange:
			case <-ctx.Done():
			}
		}
	}()
	return f.readOnce(ctx, s, f.watchWait(s, r))
}

// recordReadSuccess takes in that a source could be read, perhaps again after failures.
func (f *Follower) recordReadSuccess(s *source) {
	s.readAt.set(time.Now())
	n := s.failures.Swap(0)
	if s == f.probe() && (n > 0 || f.role() == roleSubstitute) {
		f.signalStateChange() // the other sources may wait for it
	}
	if n == 0 {
		return
	}
	s.recoveredAt.set(time.Now())
	f.signalRecovery()
	f.announceListUnavailable(s, false)
	event.PlatformReachable.Log(f.log, "source", string(s.name), "failures", n)
}

// recovery returns a channel that is closed when a source can be read again.
func (f *Follower) recovery() <-chan struct{} {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	return f.recovered
}

// signalRecovery tells those that wait after a failure that the store can be read again.
func (f *Follower) signalRecovery() {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	close(f.recovered)
	f.recovered = make(chan struct{})
}

// signalStateChange tells those that wait that it has changed whether the store can be read.
func (f *Follower) signalStateChange() {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	f.signalStateChangeLocked()
}

// isClosed reports whether a channel is closed that nothing is sent to.
func isClosed(c <-chan struct{}) bool {
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
