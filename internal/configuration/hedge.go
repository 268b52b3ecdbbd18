package configuration

import (
	"context"
	"sync"
	"time"

	"github.com/linetiller/linetiller/internal/event"
	"github.com/linetiller/linetiller/internal/resource"
	"github.com/linetiller/linetiller/internal/table"
)

// readResult is the result of one read of a source.
type readResult struct {
	batches []resource.Batch
	err     error
	next    int64 // the revision from which to continue
	hedged  bool  // it is the result of the second read
}

// hedgedRead is a read of a source that is hedged by a second one if its response is late. It must
// be used by one goroutine only.
type hedgedRead struct {
	after           int64
	results         chan readResult
	began           time.Time
	responseStarted chan struct{} // closed once a response has begun to arrive
	follower        *Follower
	onResponseStart func()
	source          *source
	workers         sync.WaitGroup
}

const (
	// minUnconfirmedTimeout is how long the second read may take before the view counts as
	// unconfirmed, while the store responds within a few milliseconds.
	minUnconfirmedTimeout = 100 * time.Millisecond
	// lateResponseFactor is how many times as long as the last response the next one may take.
	lateResponseFactor = 2
)

// read reads a source after a revision, waiting for changes. A connection can stop carrying data
// without being closed: if the response is late, the read is hedged by a second one on another
// connection, and the first result is used.
func (f *Follower) read(ctx context.Context, s *source, after int64, wait time.Duration) readResult {
	ctx, cancel := context.WithCancel(ctx)
	r := &hedgedRead{after: after, results: make(chan readResult, 2), began: time.Now(), responseStarted: make(chan struct{}), follower: f, source: s}
	r.onResponseStart = sync.OnceFunc(func() { close(r.responseStarted) })
	defer r.workers.Wait()
	defer cancel()
	s.waitEndsAt.set(r.began.Add(wait))
	defer s.waitEndsAt.set(time.Time{})
	r.start(ctx, wait, false)
	timer := time.NewTimer(wait + f.lateReadThreshold())
	defer timer.Stop()
	responseStarted := r.responseStarted
	for {
		select {
		case a := <-r.results:
			return a
		case <-responseStarted:
			timer.Stop()
			responseStarted = nil
		case <-timer.C:
			return r.hedge(ctx)
		}
	}
}

// await returns the next result. The source counts as unconfirmed if none arrives within the
// unconfirmedTimeout.
func (r *hedgedRead) await() readResult {
	timer := time.NewTimer(r.follower.unconfirmedTimeout())
	defer timer.Stop()
	select {
	case a := <-r.results:
		return a
	case <-timer.C:
		r.follower.setUnconfirmed(r.source, true)
		return <-r.results
	}
}

// hedge reads the source once more on a new connection, without waiting for changes, and returns
// the first successful result. Snapshot reads may take long and are not hedged.
func (r *hedgedRead) hedge(ctx context.Context) readResult {
	f := r.follower
	f.recordLateRead(r.source, r.began)
	if r.after == 0 {
		return <-r.results
	}
	f.Reconnect()
	r.start(ctx, 0, true)
	defer f.setUnconfirmed(r.source, false)
	a := r.await()
	if a.err != nil {
		a = r.await()
	}
	if a.err == nil && a.hedged {
		event.ReadHedged.Log(f.log, "source", string(r.source.name), "waited_ms", time.Since(r.began).Milliseconds())
		f.signalRecovery() // the connections of other waiting reads may be lost, too
	}
	return a
}

// start begins a read of the source.
func (r *hedgedRead) start(ctx context.Context, wait time.Duration, hedged bool) {
	began := time.Now()
	onResponseStart := sync.OnceFunc(func() {
		r.follower.recordResponseTime(time.Since(began) - wait)
		r.onResponseStart()
	})
	r.workers.Go(func() {
		l, next, err := r.source.read(table.WithOnResponseStart(ctx, onResponseStart), r.after, wait)
		r.results <- readResult{batches: l, err: err, next: next, hedged: hedged}
	})
}

// lateReadThreshold returns how long after the end of its wait a read counts as late. It grows with
// the store's response time, so that a slow store does not cause every read to be hedged.
func (f *Follower) lateReadThreshold() time.Duration {
	return max(minLateReadThreshold, lateResponseFactor*time.Duration(f.responseTime.Load()))
}

// recordResponseTime records how long after the end of a read's wait the store responded. A
// response before the end of the wait returned a change, and says nothing about the response time.
func (f *Follower) recordResponseTime(d time.Duration) {
	if d >= 0 {
		f.responseTime.Store(int64(d))
	}
}

// setUnconfirmed records whether a read of a source and its hedge are both without a response, in
// which case this box cannot know whether its view of the source is current.
func (f *Follower) setUnconfirmed(s *source, unconfirmed bool) {
	if s.unconfirmed.Swap(unconfirmed) != unconfirmed {
		f.signalStateChange()
	}
}

// unconfirmedTimeout returns how long the second read may take before the view counts as unconfirmed.
// It grows with the store's response time, as lateReadThreshold does.
func (f *Follower) unconfirmedTimeout() time.Duration {
	return max(minUnconfirmedTimeout, lateResponseFactor*time.Duration(f.responseTime.Load()))
}
