package linetiller

import (
	"context"
	"errors"
	"sync"
	"sync/atomic"
	"time"

	"github.com/linetiller/linetiller/internal/event"
)

const (
	// closeMargin is the part of graceMargin that is left for closing the box once aborted requests are answered.
	closeMargin = 100 * time.Millisecond
	// lastCallsTimeout is the time reserved for the calls in progress once no new ones are
	// accepted. Calls take about 60 ms, and 0.3 s is required.
	lastCallsTimeout = time.Second
	// drainPollInterval is the time between checks whether a draining box may go on to its next step.
	drainPollInterval = 50 * time.Millisecond
	// idleAfter is how long no request must have arrived for callers to be considered gone. Load
	// balancers check about once per second which boxes are ready.
	idleAfter = 2 * time.Second
	// graceMargin is the part of the grace period reserved for the last responses and for removing
	// the box's own row. A small box closes its connections within about 100 ms.
	graceMargin     = 500 * time.Millisecond
	shutdownTimeout = 5 * time.Second // for the last responses to be sent
	// restartDuration is the time from the end of a box's grace period until it is assumed to serve
	// again.
	restartDuration = time.Second
)

// Close stops the box at once, without waiting for requests in progress, and waits until everything
// that it started has ended.
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
		err = errors.Join(err, b.relay.Abort(), b.deliverer.Abort(), b.services.Abort()) // before workers.Wait: workers may wait for requests in progress
		b.workers.Wait()
		err = errors.Join(err, b.keys.Close(), b.links.Close(), b.engines.Close(), b.routedEngines.Close(), b.upstreamDialer.Close(), b.store.Close())
	})
	return err
}

// Leave makes Serve drain the box and return. It announces that to the neighbours, and the
// readiness check fails from now on. New requests are still accepted until the drain period ends
// and, other than streams, for as long as streams are in progress if they cannot outlast the box.
func (b *Box) Leave() {
	if b.stopping.Swap(true) {
		return
	}
	event.BoxLeaving.Log(b.log, "held", b.InProgress())
	b.members.SetLeaving(time.Now())
	close(b.leaveRequested)
}

// abortDeadline returns until when a box that leaves by deadline may send the answers of requests that it aborts.
func (b *Box) abortDeadline(now, deadline time.Time) time.Time {
	end := now.Add(shutdownTimeout)
	if last := deadline.Add(graceMargin - closeMargin); b.settings.Timeouts.Grace.Duration > 0 && last.Before(end) {
		return last
	}
	return end
}

// abortRequests aborts the requests still in progress and waits until ctx ends for their connections to be idle, so that
// no connection is closed while its answer is being sent: streams are cut off, and other requests are answered with an
// error.
func (b *Box) abortRequests(ctx context.Context) {
	for _, abort := range []func() error{b.relay.Abort, b.deliverer.Abort, b.services.Abort} {
		b.startWorker(func() { _ = abort() })
	}
	b.shutDownServers(ctx)
}

// awaitStreams waits until no stream is in progress, but not past until. The box still accepts
// other calls meanwhile.
func (b *Box) awaitStreams(ctx context.Context, until time.Time) {
	for b.relay.Streams() > 0 && time.Now().Before(until) {
		select {
		case <-ctx.Done():
			return
		case <-time.After(drainPollInterval):
		}
	}
}

// awaitRelayed waits until no connection to an upstream is open for another box, but not past until.
func (b *Box) awaitRelayed(ctx context.Context, until time.Time) {
	ctx, cancel := context.WithDeadline(ctx, until)
	defer cancel()
	b.relayed.wait(ctx)
}

// awaitOtherBoxes waits until another box of the hall accepts requests or callers no longer send
// any, but not past until. If all boxes of a hall leave together, a request that one of them refuses
// reaches another one that is leaving. Streams are refused nevertheless, because nobody knows how
// long they last.
func (b *Box) awaitOtherBoxes(ctx context.Context, until time.Time) {
	for now := time.Now(); now.Before(until) && !b.hasOtherBoxes() && now.Sub(b.relay.LastArrivalAt()) < idleAfter; now = time.Now() {
		select {
		case <-ctx.Done():
			return
		case <-time.After(drainPollInterval):
		}
	}
}

// drain keeps serving until the load balancer must have noticed that the box is not ready, but
// already refuses streams that would outlast the box. Then it refuses all new streams, accepts
// other requests that must end before leaveDeadline while streams are in progress, or any while no
// other box of the hall accepts them, and waits for the remaining requests until leaveDeadline.
func (b *Box) drain(ctx context.Context) {
	now := time.Now()
	deadline := b.leaveDeadline(now)
	b.relay.EndStreamsBy(deadline, now.Add(b.drainPeriod()))
	select {
	case <-ctx.Done():
		return
	case <-time.After(b.drainPeriod()):
	}
	b.relay.EndStreamsBy(time.Now(), time.Now())
	b.relay.EndRequestsBy(deadline)
	b.awaitOtherBoxes(ctx, deadline.Add(-lastCallsTimeout))
	b.awaitStreams(ctx, deadline.Add(-lastCallsTimeout))
	if b.endRequests(ctx, deadline) {
		return
	}
	event.BoxStopIncomplete.Log(b.log, "held", b.InProgress())
	ctx, cancel := context.WithDeadline(ctx, b.abortDeadline(time.Now(), deadline))
	defer cancel()
	b.abortRequests(ctx)
}

// drainPeriod returns how long a leaving box goes on accepting all requests: at most half of the
// grace period.
func (b *Box) drainPeriod() time.Duration {
	t := b.settings.Timeouts
	if t.Grace.Duration > 0 {
		return min(t.Drain.Duration, t.Grace.Duration/2)
	}
	return t.Drain.Duration
}

// drainRequests refuses new requests and waits for those in progress. It reports false if ctx ends
// first.
func (b *Box) drainRequests(ctx context.Context) bool {
	done := make(chan struct{})
	b.startWorker(func() {
		_ = b.relay.Close()
		_ = b.deliverer.Close()
		_ = b.services.Close()
		close(done)
	})
	select {
	case <-done:
		return true
	case <-ctx.Done():
		return false
	}
}

// nextBoxAt returns when the first of the leaving boxes is expected to serve again, or the zero time if
// a box serves now or that is unknown.
func (b *Box) nextBoxAt(now time.Time) time.Time {
	grace := b.settings.Timeouts.Grace.Duration
	if grace == 0 || len(b.members.Alive("")) > 0 {
		return time.Time{}
	}
	since := b.members.FirstLeavingSince(now.Add(-grace))
	if since.IsZero() {
		return time.Time{}
	}
	return since.Add(grace + restartDuration)
}

// endRequests refuses new requests, lets those in progress end until deadline and shuts the servers down. It reports
// false if requests are still in progress then.
func (b *Box) endRequests(ctx context.Context, deadline time.Time) bool {
	ctx, cancel := context.WithDeadline(ctx, deadline)
	defer cancel()
	if !b.drainRequests(ctx) {
		return false
	}
	b.awaitRelayed(ctx, deadline.Add(-lastCallsTimeout))
	return b.shutDown(ctx)
}

// endWorkers cancels the running workers and prevents new ones from starting.
func (b *Box) endWorkers() {
	b.lifecycle.Lock()
	defer b.lifecycle.Unlock()
	b.closed = true
	if b.cancel != nil {
		b.cancel()
	}
}

// hasOtherBoxes reports whether another box of the hall accepts requests.
func (b *Box) hasOtherBoxes() bool {
	for _, n := range b.members.Alive(b.settings.Hall) {
		if n != b.settings.Box {
			return true
		}
	}
	return false
}

// leaveDeadline returns when a box that was asked to leave at requestedAt cuts off its streams:
// shortly before it is killed, if a grace period is configured, or after the drain and leave
// periods.
func (b *Box) leaveDeadline(requestedAt time.Time) time.Time {
	t := b.settings.Timeouts
	if t.Grace.Duration > 0 {
		return requestedAt.Add(t.Grace.Duration - graceMargin)
	}
	return requestedAt.Add(t.Drain.Duration + t.Leave.Duration)
}

// shutDown lets the servers send their last responses, for up to shutdownTimeout, and removes the box's own row. It
// reports false if requests are still in progress then.
func (b *Box) shutDown(ctx context.Context) bool {
	ctx, cancel := context.WithTimeout(ctx, shutdownTimeout)
	defer cancel()
	if !b.shutDownServers(ctx) {
		return false
	}
	b.unregister(ctx)
	return true
}

// shutDownServers closes the listeners and idle connections of all servers and waits for the responses in progress. It
// reports false if ctx ends first.
func (b *Box) shutDownServers(ctx context.Context) bool {
	var g sync.WaitGroup
	var failed atomic.Bool
	for _, v := range b.listeners() {
		g.Go(func() {
			if v.server.Shutdown(ctx) != nil {
				failed.Store(true)
			}
		})
	}
	g.Wait()
	return !failed.Load()
}
