package linetiller

import (
	"context"
	"errors"
	"time"

	"github.com/linetiller/linetiller/internal/event"
)

const (
	// abortTimeout bounds the wait for requests that are ended: within what graceMargin leaves.
	abortTimeout = 200 * time.Millisecond
	// lastCallsTimeout is what is left for calls in progress once no more are taken: they
	// take some 60 ms, and 0.3 s is wanted.
	lastCallsTimeout = time.Second
	// streamPollInterval is the time between looks whether streams are still in progress.
	streamPollInterval = 50 * time.Millisecond
	// graceMargin is what is left of the grace for the last answers and the box's own
	// row: a small box closes its connections within some 100 ms.
	graceMargin     = 500 * time.Millisecond
	shutdownTimeout = 5 * time.Second // for the last answers to reach their clients
)

// Close stops the box at once, without waiting for requests in progress, and
// waits for all that it started.
func (b *Box) Close() error {
	var err error
	b.closing.Do(func() {
		b.stopping.Store(true)
		b.endWorkers()
		for _, v := range b.listeners() {
			err = errors.Join(err, v.server.Close())
			if v.listener != nil {
				_ = v.listener.Close()
			}
		}
		err = errors.Join(err, b.relay.Abort(), b.deliverer.Abort()) // workers may wait for what is in progress
		b.workers.Wait()
		err = errors.Join(err, b.keys.Close(), b.links.Close(), b.engines.Close(), b.routedEngines.Close(), b.store.Close())
	})
	return err
}

// Leave makes Serve finish what is in progress and return: other boxes are told, and the
// balancer sees the box as not ready. Requests that still come are taken until the drain
// is over, and those that are no streams for as long as streams are in progress.
func (b *Box) Leave() {
	if b.stopping.Swap(true) {
		return
	}
	event.BoxLeaving.Log(b.log, "held", b.InProgress())
	b.members.SetLeaving()
	close(b.leaveRequested)
}

// abortRequests ends what is still in progress before connections are closed: streams break
// off, and what waits is told that it has not run.
func (b *Box) abortRequests() {
	done := make(chan struct{})
	b.startWorker(func() {
		_ = b.relay.Abort()
		close(done)
	})
	select {
	case <-done:
	case <-time.After(abortTimeout):
	}
}

// awaitStreams goes on taking calls while streams are in progress, up to a time.
func (b *Box) awaitStreams(ctx context.Context, until time.Time) {
	for b.relay.Streams() > 0 && time.Now().Before(until) {
		select {
		case <-ctx.Done():
			return
		case <-time.After(streamPollInterval):
		}
	}
}

// drainPeriod returns how long a box that was asked to stop goes on taking requests: at
// most half of the grace.
func (b *Box) drainPeriod() time.Duration {
	t := b.settings.Timeouts
	if t.Grace.Duration > 0 {
		return min(t.Drain.Duration, t.Grace.Duration/2)
	}
	return t.Drain.Duration
}

// endWorkers lets no worker start any more, and ends those that there are.
func (b *Box) endWorkers() {
	b.lifecycle.Lock()
	defer b.lifecycle.Unlock()
	b.closed = true
	if b.cancel != nil {
		b.cancel()
	}
}

// drain goes on serving until the balancer must have seen that the box is not ready, but
// for streams that would outlast it. Then it refuses all new streams, takes other requests
// while streams are in progress, and waits for what remains, up to the time for leaving.
func (b *Box) drain(ctx context.Context) {
	now := time.Now()
	deadline := b.leaveDeadline(now)
	b.relay.EndStreamsBy(deadline, now.Add(b.drainPeriod()))
	select {
	case <-ctx.Done():
		return
	case <-time.After(b.drainPeriod()):
	}
	ctx, cancel := context.WithDeadline(ctx, deadline)
	defer cancel()
	b.relay.EndStreamsBy(time.Now(), time.Now())
	b.awaitStreams(ctx, deadline.Add(-lastCallsTimeout))
	if !b.drainRequests(ctx) {
		event.BoxStopIncomplete.Log(b.log, "held", b.InProgress())
		b.abortRequests()
		return
	}
	b.shutDown(ctx)
}

// drainRequests refuses new requests and waits for those in progress, and reports
// whether they ended before the context did.
func (b *Box) drainRequests(ctx context.Context) bool {
	done := make(chan struct{})
	b.startWorker(func() {
		_ = b.relay.Close()
		_ = b.deliverer.Close()
		close(done)
	})
	select {
	case <-done:
		return true
	case <-ctx.Done():
		return false
	}
}

// hasOtherBoxes reports whether another box of the hall takes requests.
func (b *Box) hasOtherBoxes() bool {
	for _, n := range b.members.Alive(b.settings.Hall) {
		if n != b.settings.Box {
			return true
		}
	}
	return false
}

// leaveDeadline returns when streams are ended of a box that was asked to stop at a time:
// shortly before it is killed, where somebody does that.
func (b *Box) leaveDeadline(requestedAt time.Time) time.Time {
	t := b.settings.Timeouts
	if t.Grace.Duration > 0 {
		return requestedAt.Add(t.Grace.Duration - graceMargin)
	}
	return requestedAt.Add(t.Drain.Duration + t.Leave.Duration)
}

// shutDown lets the last answers reach their clients and removes the box's own row.
func (b *Box) shutDown(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, shutdownTimeout)
	defer cancel()
	_ = b.clientServer.Shutdown(ctx)
	for _, v := range b.entry {
		_ = v.server.Shutdown(ctx)
	}
	b.unregister(ctx)
}
