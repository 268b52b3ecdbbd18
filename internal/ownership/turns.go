package ownership

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/linetiller/linetiller/internal/policy"
)

// MoveTurns gives, for each upstream, one run at a time the turn to be moved away and
// one the turn to arrive, so that the short copy of a run that stands still does not
// wait behind another run's long one on a link. The zero value is ready. It is safe
// for concurrent use.
type MoveTurns struct {
	mutex  sync.Mutex
	queues map[string]*turnQueue // by upstream and kind of turn
}

// turnQueue is what waits for the turns at one upstream of one kind. The lock of Turns
// guards it.
type turnQueue struct {
	held    bool // a run has the turn
	waiting []*waiter
}

// waiter is a run that waits for its turn.
type waiter struct {
	granted chan struct{} // closed when the turn has come
	run     *policy.Run
}

// incomingSuffix parts the turns to arrive at an upstream from those to leave it.
const incomingSuffix = "/arriving"

// assumedStep is the time between tokens by which it is judged how long a run
// lasts; steps of 7 to 15 ms were seen.
const assumedStep = 10 * time.Millisecond

// Acquire waits for a run's turn; release gives it back.
func (t *MoveTurns) Acquire(ctx context.Context, upstream string, incoming bool, r *policy.Run) (release func(), err error) {
	if incoming {
		upstream += incomingSuffix
	}
	w := &waiter{granted: make(chan struct{}), run: r}
	t.mutex.Lock()
	if t.queues == nil {
		t.queues = make(map[string]*turnQueue)
	}
	q := t.queues[upstream]
	if q == nil {
		q = new(turnQueue)
		t.queues[upstream] = q
	}
	q.waiting = append(q.waiting, w)
	t.next(upstream, q)
	t.mutex.Unlock()
	release = sync.OnceFunc(func() { t.release(upstream, q) })
	select {
	case <-w.granted:
		return release, nil
	case <-ctx.Done():
	}
	t.mutex.Lock()
	defer t.mutex.Unlock()
	select {
	case <-w.granted:
		q.held = false
	default:
		q.remove(w)
	}
	t.next(upstream, q)
	return nil, ctx.Err()
}

// release ends the turn of the run that has it.
func (t *MoveTurns) release(upstream string, q *turnQueue) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	q.held = false
	t.next(upstream, q)
}

// next gives the turn to the first of those that wait; the lock is held.
func (t *MoveTurns) next(upstream string, q *turnQueue) {
	if q.held {
		return
	}
	if len(q.waiting) == 0 {
		delete(t.queues, upstream)
		return
	}
	first := q.waiting[0]
	for _, w := range q.waiting[1:] {
		if policy.CompareRuns(w.run, first.run, assumedStep) < 0 {
			first = w
		}
	}
	q.remove(first)
	q.held = true
	close(first.granted)
}

// remove takes a run out of those that wait.
func (q *turnQueue) remove(w *waiter) {
	q.waiting = slices.DeleteFunc(q.waiting, func(x *waiter) bool { return x == w })
}
