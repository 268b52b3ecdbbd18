package configuration

import (
	"context"
	"sync"
	"time"

	"github.com/linetiller/linetiller/internal/event"
	"github.com/linetiller/linetiller/internal/resource"
	"github.com/linetiller/linetiller/internal/table"
)

// answer is what one read of a source brought.
type answer struct {
	batches []resource.Batch
	err     error
	next    int64
	hedged  bool // it is the answer to the second read
}

// hedgedRead is one read of a source, which a second one hedges where its answer is late. It is used by one
// goroutine.
type hedgedRead struct {
	after    int64
	answers  chan answer
	began    time.Time
	begun    chan struct{} // closed once an answer has begun to arrive
	follower *Follower
	onBegun  func()
	source   *source
	workers  sync.WaitGroup
}

const (
	// unconfirmedAfter is how long the second read may take before the view counts as unconfirmed.
	unconfirmedAfter = 250 * time.Millisecond
	// slowAnswers is how many times as long as the last answer the next one may take.
	slowAnswers = 2
)

// read reads a source after a revision, waiting for changes. A connection can go silent without
// being closed: where the answer is late, the read is hedged by a second one on another connection,
// and the first answer counts.
func (f *Follower) read(ctx context.Context, s *source, after int64, wait time.Duration) answer {
	ctx, cancel := context.WithCancel(ctx)
	r := &hedgedRead{after: after, answers: make(chan answer, 2), began: time.Now(), begun: make(chan struct{}), follower: f, source: s}
	r.onBegun = sync.OnceFunc(func() { close(r.begun) })
	defer r.workers.Wait()
	defer cancel()
	s.dueAt.set(r.began.Add(wait))
	defer s.dueAt.set(time.Time{})
	r.ask(ctx, wait, false)
	late := time.NewTimer(wait + f.lateAfter())
	defer late.Stop()
	begun := r.begun
	for {
		select {
		case a := <-r.answers:
			return a
		case <-begun:
			late.Stop()
			begun = nil
		case <-late.C:
			return r.hedge(ctx)
		}
	}
}

// ask reads the source once.
func (r *hedgedRead) ask(ctx context.Context, wait time.Duration, hedged bool) {
	began := time.Now()
	onBegun := sync.OnceFunc(func() {
		r.follower.noteAnswerTime(time.Since(began) - wait)
		r.onBegun()
	})
	r.workers.Go(func() {
		l, next, err := r.source.read(table.WithAnswerStarted(ctx, onBegun), r.after, wait)
		r.answers <- answer{batches: l, err: err, next: next, hedged: hedged}
	})
}

// await returns the next answer; where none comes soon, the view counts as unconfirmed.
func (r *hedgedRead) await() answer {
	doubt := time.NewTimer(unconfirmedAfter)
	defer doubt.Stop()
	select {
	case a := <-r.answers:
		return a
	case <-doubt.C:
		r.follower.setUnconfirmed(r.source, true)
		return <-r.answers
	}
}

// hedge reads the source once more, without waiting for changes, and returns the first answer.
// What is read as a whole may take long and is not hedged.
func (r *hedgedRead) hedge(ctx context.Context) answer {
	f := r.follower
	f.noteLate(r.source, r.began)
	if r.after == 0 {
		return <-r.answers
	}
	f.Reconnect()
	r.ask(ctx, 0, true)
	defer f.setUnconfirmed(r.source, false)
	a := r.await()
	if a.err != nil {
		a = r.await()
	}
	if a.err == nil && a.hedged {
		event.ReadHedged.Log(f.log, "source", string(r.source.name), "waited_ms", time.Since(r.began).Milliseconds())
		f.tellBack() // other reads that wait may have lost their connections, too
	}
	return a
}

// lateAfter returns how long after the end of its wait a read counts as late: longer while the
// store is slow to answer, so that not every read is hedged then.
func (f *Follower) lateAfter() time.Duration {
	return max(readLateAfter, slowAnswers*time.Duration(f.answerTime.Load()))
}

// noteAnswerTime records how long the store took for an answer; one that came before the end of the
// wait brought a change, and is no measure.
func (f *Follower) noteAnswerTime(d time.Duration) {
	if d >= 0 {
		f.answerTime.Store(int64(d))
	}
}

// setUnconfirmed records whether both reads of a source lack an answer: this box cannot know
// whether its view of the source is current.
func (f *Follower) setUnconfirmed(s *source, unconfirmed bool) {
	if s.unconfirmed.Swap(unconfirmed) != unconfirmed {
		f.tellState()
	}
}
