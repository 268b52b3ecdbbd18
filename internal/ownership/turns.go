package ownership

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/linetiller/linetiller/internal/policy"
)

// Turns gives, for each upstream, one run at a time the turn to be moved away and
// one the turn to arrive, so that the short copy of a run that stands still does not
// wait behind another run's long one on a link. The zero value is ready. It is safe
// for concurrent use.
type Turns struct {
	mutex  sync.Mutex
	queues map[string]*queue // by upstream and kind of turn
}

// queue is what waits for the turns at one upstream of one kind. The lock of Turns
// guards it.
type queue struct {
	taken   bool // a run has the turn
	waiting []*turn
}

// turn is a run that waits for its turn.
type turn struct {
	come chan struct{} // closed when the turn has come
	run  *policy.Run
}

// arrivingSuffix parts the turns to arrive at an upstream from those to leave it.
const arrivingSuffix = "/arriving"

// stepAssumed is the time between tokens by which it is judged how long a run
// lasts; steps of 7 to 15 ms were seen.
const stepAssumed = 10 * time.Millisecond

// Take waits for a run's turn; release gives it back.
func (t *Turns) Take(ctx context.Context, upstream string, arriving bool, r *policy.Run) (release func(), err error) {
	if arriving {
		upstream += arrivingSuffix
	}
	w := &turn{come: make(chan struct{}), run: r}
	t.mutex.Lock()
	if t.queues == nil {
		t.queues = make(map[string]*queue)
	}
	q := t.queues[upstream]
	if q == nil {
		q = new(queue)
		t.queues[upstream] = q
	}
	q.waiting = append(q.waiting, w)
	t.next(upstream, q)
	t.mutex.Unlock()
	release = sync.OnceFunc(func() { t.giveBack(upstream, q) })
	select {
	case <-w.come:
		return release, nil
	case <-ctx.Done():
	}
	t.mutex.Lock()
	defer t.mutex.Unlock()
	select {
	case <-w.come:
		q.taken = false
	default:
		q.remove(w)
	}
	t.next(upstream, q)
	return nil, ctx.Err()
}

// giveBack ends the turn of the run that has it.
func (t *Turns) giveBack(upstream string, q *queue) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	q.taken = false
	t.next(upstream, q)
}

// next gives the turn to the first of those that wait; the lock is held.
func (t *Turns) next(upstream string, q *queue) {
	if q.taken {
		return
	}
	if len(q.waiting) == 0 {
		delete(t.queues, upstream)
		return
	}
	first := q.waiting[0]
	for _, w := range q.waiting[1:] {
		if policy.CompareRuns(w.run, first.run, stepAssumed) < 0 {
			first = w
		}
	}
	q.remove(first)
	q.taken = true
	close(first.come)
}

// remove takes a run out of those that wait.
func (q *queue) remove(w *turn) {
	q.waiting = slices.DeleteFunc(q.waiting, func(x *turn) bool { return x == w })
}
