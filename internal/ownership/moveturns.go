package ownership

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/linetiller/linetiller/internal/policy"
)

// MoveTurns serializes moves of runs between upstreams: at each upstream one run at a time may
// be moved away and one may arrive, so that a run that is paused for its short last copy does
// not wait behind another run's long copy on the same link. The zero value is ready to use. It
// is safe for concurrent use.
type MoveTurns struct {
	mutex  sync.Mutex
	queues map[string]*turnQueue // by upstream and direction
}

// turnQueue holds the runs that wait for a turn at one upstream in one direction. It is guarded
// by MoveTurns.mutex.
type turnQueue struct {
	held    bool // a run has the turn
	waiting []*waiter
}

// waiter is a run that waits for its turn.
type waiter struct {
	granted chan struct{} // closed when the run gets its turn
	run     *policy.Run
}

// incomingSuffix is appended to the name of an upstream for the queue of the runs that are to
// arrive there.
const incomingSuffix = "/arriving"

// assumedStep is the time between tokens assumed when estimating how long a run will last; 7 to
// 15 ms were measured.
const assumedStep = 10 * time.Millisecond

// Acquire waits until the run may be moved away from an upstream, or to it if incoming is set.
// The caller must call release when the move has ended. It returns ctx's error if ctx ends
// first.
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

// release ends the current turn and grants the next.
func (t *MoveTurns) release(upstream string, q *turnQueue) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	q.held = false
	t.next(upstream, q)
}

// next grants the turn to the waiting run that comes first by policy.CompareRuns, if the turn is
// free. The caller holds the mutex.
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

// remove removes a run from the queue.
func (q *turnQueue) remove(w *waiter) {
	q.waiting = slices.DeleteFunc(q.waiting, func(x *waiter) bool { return x == w })
}
