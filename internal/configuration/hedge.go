package configuration

import (
	"context"
	"sync"
	"time"

	"github.com/linetiller/linetiller/internal/event"
	"github.com/linetiller/linetiller/internal/resource"
	"github.com/linetiller/linetiller/internal/table"
)

// readResult is what one read of a source brought.
type readResult struct {
	batches []resource.Batch
	err     error
	next    int64
	hedged  bool // it is the answer to the second read
}

// hedgedRead is one read of a source, which a second one hedges where its answer is late. It is used by one
// goroutine.
type hedgedRead struct {
	after           int64
	results         chan readResult
	began           time.Time
	responseStarted chan struct{} // closed once an answer has begun to arrive
	follower        *Follower
	onResponseStart func()
	source          *source
	workers         sync.WaitGroup
}

const (
	// unconfirmedTimeout is how long the second read may take before the view counts as unconfirmed.
	unconfirmedTimeout = 250 * time.Millisecond
	// lateResponseFactor is how many times as long as the last answer the next one may take.
	lateResponseFactor = 2
)

// read reads a source after a revision, waiting for changes. A connection can go silent without
// being closed: where the answer is late, the read is hedged by a second one on another connection,
// and the first answer counts.
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

// start reads the source once.
func (r *hedgedRead) start(ctx context.Context, wait time.Duration, hedged bool) {
	began := time.Now()
	onResponseStart := sync.OnceFunc(func() {
		r.follower.recordResponseTime(time.Since(began) - wait)
		r.onResponseStart()
	})
	r.workers.Go(func() {
		l, next, err := r.source.read(table.WithAnswerStarted(ctx, onResponseStart), r.after, wait)
		r.results <- readResult{batches: l, err: err, next: next, hedged: hedged}
	})
}

// await returns the next answer; where none comes soon, the view counts as unconfirmed.
func (r *hedgedRead) await() readResult {
	timer := time.NewTimer(unconfirmedTimeout)
	defer timer.Stop()
	select {
	case a := <-r.results:
		return a
	case <-timer.C:
		r.follower.setUnconfirmed(r.source, true)
		return <-r.results
	}
}

// hedge reads the source once more, without waiting for changes, and returns the first answer.
// What is read as a whole may take long and is not hedged.
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
		f.signalRecovery() // other reads that wait may have lost their connections, too
	}
	return a
}

// lateReadThreshold returns how long after the end of its wait a read counts as late: longer while the
// store is slow to answer, so that not every read is hedged then.
func (f *Follower) lateReadThreshold() time.Duration {
	return max(minLateReadThreshold, lateResponseFactor*time.Duration(f.responseTime.Load()))
}

// recordResponseTime records how long the store took for an answer; one that came before the end of the
// wait brought a change, and is no measure.
func (f *Follower) recordResponseTime(d time.Duration) {
	if d >= 0 {
		f.responseTime.Store(int64(d))
	}
}

// setUnconfirmed records whether both reads of a source lack an answer: this box cannot know
// whether its view of the source is current.
func (f *Follower) setUnconfirmed(s *source, unconfirmed bool) {
	if s.unconfirmed.Swap(unconfirmed) != unconfirmed {
		f.signalStateChange()
	}
}
