package linetiller

import (
	"sync"
	"time"

	"github.com/linetiller/linetiller/internal/box"
	"github.com/linetiller/linetiller/internal/policy"
	"github.com/linetiller/linetiller/internal/resource"
)

// crashes gathers the requests under which upstreams crashed, to be announced in one message for each
// upstream: an engine runs up to 64 at once.
type crashes struct {
	mutex        sync.Mutex
	fingerprints map[string][]policy.Fingerprint // by upstream: not announced yet
}

// gatherPeriod is how long the requests of one upstream are gathered: they break off within
// a millisecond of each other, and a caller may be back within some ten.
const gatherPeriod = 5 * time.Millisecond

// tellCrash tells all other boxes that an upstream crashed under a request: its caller may come
// back to any of them.
func (b *Box) tellCrash(u *resource.Upstream, p policy.Fingerprint) {
	c := &b.crashes
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if c.fingerprints == nil {
		c.fingerprints = make(map[string][]policy.Fingerprint)
	}
	l, waiting := c.fingerprints[u.Name]
	c.fingerprints[u.Name] = append(l, p)
	if waiting {
		return
	}
	b.workers.Go(func() {
		time.Sleep(gatherPeriod)
		c.mutex.Lock()
		l := c.fingerprints[u.Name]
		delete(c.fingerprints, u.Name)
		c.mutex.Unlock()
		b.tell("", box.Request{Born: u.Spec.Born, Crashed: u.Name, Kind: box.KindCrashed, Fingerprints: l})
	})
}
