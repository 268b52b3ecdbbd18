package configuration

import (
	"context"
	"slices"
	"time"

	"github.com/linetiller/linetiller/internal/event"
	"github.com/linetiller/linetiller/internal/fail"
	"github.com/linetiller/linetiller/internal/policy"
)

const (
	// backSpread is the time over which the other sources are read again once one
	// could be: a quarter of a second keeps the boxes' reads apart.
	backSpread     = 250 * time.Millisecond
	idleEvery      = time.Second            // between looks whether this box has become a reader
	readersPerHall = 2                      // boxes of a hall that read the store
	retryFirst     = 250 * time.Millisecond // of the wait after one failure, doubled at each more
)

// backoff returns the wait after some failures in a row, at most most.
func (f *Follower) backoff(failures int, most time.Duration) time.Duration {
	wait := min(most, retryFirst<<min(max(failures-1, 0), 5))
	return wait/2 + time.Duration(f.Spread()*float64(wait)/2)
}

// follow reads one source again and again while this box is one of its hall's
// readers. After a failure it waits longer each time, spread out, so that boxes do not
// all return at once.
func (f *Follower) follow(ctx context.Context, s *source) {
	for ctx.Err() == nil {
		n := f.rank()
		if n < 0 {
			pause(ctx, idleEvery)
			continue
		}
		back := f.returned()
		if f.readUnlessBack(ctx, s, s.watch(n), back) != nil {
			f.pauseFailed(ctx, s, back)
			continue
		}
		pause(ctx, s.gather(n))
	}
}

// pauseFailed waits after a failure, but not much beyond the moment when another
// source of the same store can be read again.
func (f *Follower) pauseFailed(ctx context.Context, s *source, back <-chan struct{}) {
	select {
	case <-ctx.Done():
	case <-back:
		pause(ctx, time.Duration(f.Spread()*float64(backSpread)))
	case <-time.After(f.backoff(int(s.failures.Load()), s.retryMost())):
	}
}

// rank returns this box's place among the few of its hall that read the store, 0
// for the first, or -1: the others hear of changes from them.
func (f *Follower) rank() int {
	s := f.members.Self()
	l := policy.Rank("reader", f.members.Alive(s.Hall))
	if len(l) == 0 {
		return 0 // the box itself is leaving, and knows of no other
	}
	return slices.Index(l[:min(readersPerHall, len(l))], s.Name)
}

// readFailed takes in that a read ended with err; after is the revision held.
func (f *Follower) readFailed(s *source, after int64, err error) {
	if s.failures.Add(1) == 1 {
		event.PlatformDown.Log(f.log, "source", string(s.name), "step", fail.Step(err), "error", err.Error(), "held", after)
	}
	f.tellAway(s, true)
}

// readOnce reads one source and takes in what it holds. A read that the context ended
// does not count as failed.
func (f *Follower) readOnce(ctx context.Context, s *source, wait time.Duration) error {
	after := max(s.after.Load(), f.view.Revisions()[s.name])
	b, next, err := s.read(ctx, after, wait)
	if err != nil {
		if ctx.Err() == nil {
			f.readFailed(s, after, err)
		}
		return err
	}
	f.readSucceeded(s)
	s.after.Store(next)
	s.readAt.Store(time.Now().UnixNano())
	f.lapse(s, b)
	f.apply(b, "platform")
	return nil
}

// readUnlessBack reads one source. The store's return, seen by another source, ends
// a read that may have been lost before.
func (f *Follower) readUnlessBack(ctx context.Context, s *source, wait time.Duration, back <-chan struct{}) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	done := make(chan struct{})
	defer close(done)
	go func() {
		select {
		case <-back:
			cancel()
		case <-done:
		}
	}()
	return f.readOnce(ctx, s, wait)
}

// readSucceeded takes in that a source could be read, perhaps again after failures.
func (f *Follower) readSucceeded(s *source) {
	n := s.failures.Swap(0)
	if n == 0 {
		return
	}
	s.backAt.Store(time.Now().UnixNano())
	f.tellBack()
	f.tellAway(s, false)
	event.PlatformBack.Log(f.log, "source", string(s.name), "failures", n)
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

// pause waits for a time, or until the context ends.
func pause(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}
