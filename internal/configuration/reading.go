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
	// recoveryJitter is the period over which reads of the other sources are spread once one source
	// could be read again. A quarter of a second keeps the reads of the boxes apart.
	recoveryJitter = 250 * time.Millisecond
	// failuresUntilUnavailable is the number of consecutive reads that must fail at once before the
	// store counts as unavailable.
	failuresUntilUnavailable = 2
	roleCheckInterval        = time.Second           // between two checks whether this box has become a reader
	fastRetryDelay           = 20 * time.Millisecond // before the second read after one that failed at once
	// timeoutThreshold is how long beyond its wait a read must have taken for its failure to count
	// as a time-out. A response takes 4 ms.
	timeoutThreshold  = 500 * time.Millisecond
	initialRetryDelay = 250 * time.Millisecond // after a failure, doubled after each further one
	// substituteInitialRetryDelay is the same for readers other than the primary.
	substituteInitialRetryDelay = time.Second
	// enoughReaders is how many readers must be turned away by the store before other boxes do not read it at
	// once: it is most likely down.
	enoughReaders = 5
	// substituteStagger is the time between the first reads of two substitutes. A read that the
	// store answers and the next substitute's call that learns of it take about 15 ms.
	substituteStagger = 80 * time.Millisecond
)

// backoff returns the delay after consecutive failed reads of a source in a role, with jitter.
func (f *Follower) backoff(s *source, r readerRole) time.Duration {
	first := initialRetryDelay
	if r != rolePrimary {
		first = substituteInitialRetryDelay
	}
	n := min(max(int(s.failures.Load())-failuresUntilUnavailable, 0), 5)
	wait := min(s.maxRetryDelay(r), first<<n)
	if !f.isHallReader() {
		wait = f.otherBoxRetryDelay()
	}
	return wait/2 + time.Duration(f.Jitter()*float64(wait)/2)
}

// otherBoxRetryDelay returns the delay after a failed read of a box that is not among the readers of its
// hall. It grows with the number of boxes in the hall, so that all of them together read as often as one
// more reader.
func (f *Follower) otherBoxRetryDelay() time.Duration {
	return time.Duration(len(f.members.Active(f.members.Self().Hall))) * substituteMaxRetryDelay
}

// follow reads one source repeatedly while this box is one of those that read the store. After
// failures it backs off exponentially, with jitter, so that the boxes do not all return at once.
func (f *Follower) follow(ctx context.Context, s *source) {
	for ctx.Err() == nil {
		stateChange := f.stateChanged()
		n := f.role()
		if !f.shouldRead(s, n) {
			f.pauseWhileIdle(ctx, stateChange)
			continue
		}
		if !f.staggerSubstituteRead(ctx, s, n) {
			continue
		}
		recovered := f.recoverySignal()
		err := f.readInRole(ctx, s, n, recovered)
		switch {
		case err == nil:
			pause(ctx, s.readInterval(n))
		case f.role() != n:
			// the role has changed
		case s.failures.Load() == 0 && isClosed(recovered):
			// the store is reachable: this read's connection may have been lost
		default:
			f.pauseAfterFailure(ctx, s, n, recovered)
		}
	}
}

// staggerSubstituteRead delays the first read of a substitute until the readers closer to the store
// that responded would have found out whether it serves them. Where enough of them have, a box that is no
// reader only reads after the back-off. It reports whether the read is still needed.
func (f *Follower) staggerSubstituteRead(ctx context.Context, s *source, r readerRole) bool {
	if r != roleSubstitute || f.probedSincePeerLost(s) {
		return true
	}
	closer := f.laggingCount(f.assignment().peers, time.Now())
	if closer > 0 && f.closerReaders() >= enoughReaders {
		f.pauseInRole(ctx, r, f.backoff(s, r), f.recoverySignal())
	} else {
		pause(ctx, time.Duration(max(0, closer-1))*substituteStagger)
	}
	return f.role() == roleSubstitute
}

// position returns the store's revision up to which a source is known from this box's own reads or
// from other boxes.
func (f *Follower) position(s *source) int64 {
	if !s.name.UsesStoreRevisions() {
		return s.readRevision.Load()
	}
	return max(s.readRevision.Load(), f.view.Revisions()[s.name])
}

// probe returns the source whose reads detect that the store has stopped or resumed responding: the
// list of upstreams, or the last source if that is not read.
func (f *Follower) probe() *source {
	for _, s := range f.sources {
		if s.name == resource.SourceUpstreams {
			return s
		}
	}
	return f.sources[len(f.sources)-1]
}

// probedSincePeerLost reports whether the probe was read since another reader last kept the view up
// to date.
func (f *Follower) probedSincePeerLost(p *source) bool {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	return p.readAt.get().After(f.peerLostAt)
}

// shouldRead reports whether a source is to be read by a box in a role. While the store does not
// respond, only the probe is read, since failed calls are billed like others. A substitute reads
// the probe first to find out whether the store serves it at all.
func (f *Follower) shouldRead(s *source, r readerRole) bool {
	p := f.probe()
	switch {
	case r == roleNone:
		return false
	case r == roleStandby && s.name == resource.SourceUpstreams:
		return false // the list changes every second, and engines announce by themselves that they are leaving
	case s == p:
		return true
	case r == roleSubstitute:
		return p.failures.Load() == 0 && f.probedSincePeerLost(p)
	default:
		return p.failures.Load() == 0
	}
}

// watchWait returns how long the next read of a source waits for changes. It is 0 after a failure,
// since the response shows whether the store is back, and for the first read of the probe by a
// substitute, since the reads of the other sources wait for the result.
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

// otherWaitEndsWithin reports whether the wait of another source's read ends within a period, so
// that the wait of a read of s need not end within it, too. The sources thus alternate.
func (f *Follower) otherWaitEndsWithin(s *source, now time.Time, d time.Duration) bool {
	for _, o := range f.sources {
		if ends := o.waitEndsAt.get(); o != s && ends.After(now) && !ends.After(now.Add(d)) {
			return true
		}
	}
	return false
}

// pauseAfterFailure waits after a failed read for the back-off, or until shortly after another
// source can be read again, or until the role of this box changes.
func (f *Follower) pauseAfterFailure(ctx context.Context, s *source, r readerRole, recovered <-chan struct{}) {
	if s.failures.Load() == 1 {
		pause(ctx, fastRetryDelay)
		return
	}
	f.pauseInRole(ctx, r, f.backoff(s, r), recovered)
}

// pauseInRole waits for a period, or until shortly after another source can be read again, or until the role
// of this box changes.
func (f *Follower) pauseInRole(ctx context.Context, r readerRole, d time.Duration, recovered <-chan struct{}) {
	t := time.NewTimer(d)
	defer t.Stop()
	for {
		stateChange := f.stateChanged()
		if f.role() != r {
			return
		}
		select {
		case <-ctx.Done():
			return
		case <-recovered:
			pause(ctx, time.Duration(f.Jitter()*float64(recoveryJitter)))
			return
		case <-stateChange:
		case <-t.C:
			return
		}
	}
}

// pauseWhileIdle waits until this box may have become a reader.
func (f *Follower) pauseWhileIdle(ctx context.Context, stateChange <-chan struct{}) {
	select {
	case <-ctx.Done():
	case <-stateChange:
	case <-time.After(roleCheckInterval):
	}
}

// readInRole reads one source in a role. The read is cancelled if another source finds the store
// responding again, since its connection may be lost; and if a standby becomes a substitute, which
// reads afresh so that it can report to others at once that the store serves it.
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

// readOnce reads one source and applies the result. A read that was cancelled by the context does
// not count as failed.
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
	s.readRevision.Store(a.next)
	for i := range a.batches {
		f.markTentative(&a.batches[i], after)
		f.markLapsed(s, &a.batches[i])
		f.apply(&a.batches[i], "platform")
	}
	return nil
}

// recordReadFailure records that a read failed with err, at once or by a time-out; after is the
// revision from which it read. A read that failed at once, for example since its connection was
// reset, is retried before the store counts as unavailable.
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

// recordReadSuccess records that a source was read, which may end an outage.
func (f *Follower) recordReadSuccess(s *source) {
	s.readAt.set(time.Now())
	n := s.failures.Swap(0)
	if s == f.probe() && (n > 0 || f.role() == roleSubstitute) {
		f.signalStateChange() // reads of the other sources may wait for the probe
	}
	if n == 0 {
		return
	}
	s.recoveredAt.set(time.Now())
	f.signalRecovery()
	f.announceListUnavailable(s, false)
	event.PlatformReachable.Log(f.log, "source", string(s.name), "failures", n)
}

// recoverySignal returns a channel that is closed when a source can be read again after failures.
func (f *Follower) recoverySignal() <-chan struct{} {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	return f.recovered
}

// signalRecovery wakes the reads that wait after a failure: the store can be read again.
func (f *Follower) signalRecovery() {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	close(f.recovered)
	f.recovered = make(chan struct{})
}

// signalStateChange wakes those that wait for a change of the roles or of whether the store can be
// read.
func (f *Follower) signalStateChange() {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	f.signalStateChangeLocked()
}

// isClosed reports whether a channel to which nothing is sent is closed.
func isClosed(c <-chan struct{}) bool {
	select {
	case <-c:
		return true
	default:
		return false
	}
}

// pause waits for a period or until the context ends.
func pause(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}
