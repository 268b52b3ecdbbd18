package linetiller

import (
	"sync"
	"time"

	"github.com/linetiller/linetiller/internal/box"
	"github.com/linetiller/linetiller/internal/policy"
)

// crashes gathers what this box has learned of crashes, to be announced in one message: an upstream
// runs up to 64 requests at once.
type crashes struct {
	mutex   sync.Mutex
	pending []policy.Crash // not announced yet
}

// gatherPeriod is how long crashes are gathered: the requests of one upstream break off within a
// millisecond of each other, and a caller may be back within some ten.
const gatherPeriod = 5 * time.Millisecond

// announceCrashes announces to all other boxes what this one has learned of crashes: the callers of
// requests may come back to any of them.
func (b *Box) announceCrashes(l []policy.Crash) {
	c := &b.crashes
	c.mutex.Lock()
	defer c.mutex.Unlock()
	waiting := len(c.pending) > 0
	c.pending = append(c.pending, l...)
	if waiting {
		return
	}
	b.workers.Go(func() {
		time.Sleep(gatherPeriod)
		c.mutex.Lock()
		l := c.pending
		c.pending = nil
		c.mutex.Unlock()
		b.tell("", box.Request{Crashes: l, Kind: box.KindCrashed})
	})
}

// answerCrashes answers a box that announces a crash, or that a request was cleared of crashes.
func (b *Box) answerCrashes(q *box.Request) *box.Reply {
	if q.Kind == box.KindCleared {
		b.relay.NoteCleared(q.Fingerprints, q.From.Name)
	}
	b.relay.NoteCrashes(q.Crashes, q.From.Name)
	return &box.Reply{}
}
