package ownership

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/linetiller/linetiller/internal/policy"
)

// MoveSlots serializes moves of runs between upstreams: each upstream has one slot for a run
// that is moved away and one for a run that arrives, so that a run that is paused for its short
// last copy does not wait behind another run's long copy on the same link. The zero value is
// ready to use. It is safe for concurrent use.
type MoveSlots struct {
	mutex  sync.Mutex
	queues map[string]*slotQueue // by upstream and direction
}

// slotQueue holds the runs that wait for the move slot of one upstream in one direction. It is
// guarded by MoveSlots.mutex.
type slotQueue struct {
	occupied bool // a run has the slot
	waiting  []*waiter
}

// waiter is a run that waits for a move slot.
type waiter struct {
	granted chan struct{} // closed when the run gets the slot
	run     *policy.Run
}

// inboundSuffix is appended to the name of an upstream for the queue of the runs that are to
// arrive there.
const inboundSuffix = "/arriving"

// assumedStep is the time between tokens assumed when estimating how long a run will last; engines
// take 7 to 15 ms.
const assumedStep = 10 * time.Millisecond

// Acquire waits until the run may be moved away from an upstream, or to it if inbound is set.
// The caller must call release when the move has ended. It returns ctx's error if ctx ends
// first.
func (t *MoveSlots) Acquire(ctx context.Context, upstream string, inbound bool, r *policy.Run) (release func(), err error) {
	if inbound {
		upstream += inboundSuffix
	}
	w := &waiter{granted: make(chan struct{}), run: r}
	t.mutex.Lock()
	if t.queues == nil {
		t.queues = make(map[string]*slotQueue)
	}
	q := t.queues[upstream]
	if q == nil {
		q = new(slotQueue)
		t.queues[upstream] = q
	}
	q.waiting = append(q.waiting, w)
	t.grantNext(upstream, q)
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
		q.occupied = false
	default:
		q.remove(w)
	}
	t.grantNext(upstream, q)
	return nil, ctx.Err()
}

// grantNext grants the slot to the waiting run that comes first by policy.CompareRuns, if the slot
// is free. The caller holds the mutex.
func (t *MoveSlots) grantNext(upstream string, q *slotQueue) {
	if q.occupied {
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
	q.occupied = true
	close(first.granted)
}

// release frees the slot and grants it to the next run.
func (t *MoveSlots) release(upstream string, q *slotQueue) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	q.occupied = false
	t.grantNext(upstream, q)
}

// remove removes a run from the queue.
func (q *slotQueue) remove(w *waiter) {
	q.waiting = slices.DeleteFunc(q.waiting, func(x *waiter) bool { return x == w })
}
