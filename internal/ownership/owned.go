package ownership

import (
	"sync"
	"time"

	"github.com/linetiller/linetiller/internal/policy"
)

// owned is one upstream owned by this box.
type owned struct {
	mutex     sync.Mutex
	failures  int // reads of the load report that failed in a row
	instance  string
	mine      bool // the upstream falls to this box
	owner     *policy.Owner
	reportAt  time.Time // when the report is due
	reporting bool
	waiters   map[string]chan policy.Answer
}

// flush refuses all that waits; the lock is held.
func (x *owned) flush(r policy.Reason) {
	for id, c := range x.waiters {
		x.owner.Leave(id, time.Now())
		c <- policy.Answer{ID: id, Reason: r, Verdict: policy.VerdictRefuse}
		delete(x.waiters, id)
	}
}

// idle reports whether a tick would change nothing.
func (x *owned) idle() bool {
	x.mutex.Lock()
	defer x.mutex.Unlock()
	return x.mine && x.owner.Running() == 0 && len(x.waiters) == 0
}

func (x *owned) load() policy.Load {
	x.mutex.Lock()
	defer x.mutex.Unlock()
	return x.owner.Load(time.Now())
}

// next hands out places to those who wait; the lock is held.
func (x *owned) next(now time.Time) {
	for _, a := range x.owner.Next(now) {
		if c := x.waiters[a.ID]; c != nil {
			delete(x.waiters, a.ID)
			c <- a
		}
	}
}
