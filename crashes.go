package linetiller

import (
	"slices"
	"sync"
	"time"

	"github.com/linetiller/linetiller/internal/box"
	"github.com/linetiller/linetiller/internal/policy"
)

// crashes gathers the requests under which upstreams crashed, to be announced in one message for
// each upstream: an engine runs up to 64 at once.
type crashes struct {
	mutex   sync.Mutex
	pending []*policy.Crash // not announced yet
}

// gatherPeriod is how long the requests of one upstream are gathered: they break off within
// a millisecond of each other, and a caller may be back within some ten.
const gatherPeriod = 5 * time.Millisecond

// announceCrash announces to all other boxes that an upstream crashed under a request: its caller
// may come back to any of them.
func (b *Box) announceCrash(c *policy.Crash) {
	p := &b.crashes
	p.mutex.Lock()
	defer p.mutex.Unlock()
	i := slices.IndexFunc(p.pending, func(d *policy.Crash) bool { return d.Upstream == c.Upstream && d.Born == c.Born })
	if i >= 0 {
		p.pending[i].Suspects = append(p.pending[i].Suspects, c.Suspects...)
		return
	}
	d := &policy.Crash{At: c.At, Born: c.Born, Suspects: slices.Clone(c.Suspects), Upstream: c.Upstream}
	p.pending = append(p.pending, d)
	b.workers.Go(func() {
		time.Sleep(gatherPeriod)
		p.mutex.Lock()
		p.pending = slices.DeleteFunc(p.pending, func(x *policy.Crash) bool { return x == d })
		p.mutex.Unlock()
		b.tell("", box.Request{Crash: d, Kind: box.KindCrashed})
	})
}

// answerCrashes answers a box that announces a crash, or that a request was cleared of crashes.
func (b *Box) answerCrashes(q *box.Request) *box.Reply {
	switch {
	case q.Kind == box.KindCleared:
		b.relay.NoteCleared(q.Fingerprints, q.From.Name)
	case q.Crash != nil:
		b.relay.NoteCrash(q.Crash, q.From.Name)
	}
	return &box.Reply{}
}
