package linetiller

import (
	"maps"
	"slices"
	"sync"

	"github.com/linetiller/linetiller/internal/box"
	"github.com/linetiller/linetiller/internal/policy"
)

// clearances collects the requests and parts of prompts that this box has cleared of crashes and that no box
// has announced yet.
type clearances struct {
	mutex   sync.Mutex
	pending map[policy.Fingerprint]bool
}

// newClearances returns an empty collection.
func newClearances() *clearances { return &clearances{pending: make(map[policy.Fingerprint]bool)} }

// add adds a request or part, and reports whether it is the first one to be announced.
func (c *clearances) add(p policy.Fingerprint) (first bool) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	first = len(c.pending) == 0
	c.pending[p] = true
	return first
}

// remove removes what another box has announced.
func (c *clearances) remove(q *box.Request) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	for _, p := range q.ClearedFingerprints {
		delete(c.pending, p)
	}
	for i := range q.Crashes {
		for _, s := range q.Crashes[i].Suspects {
			if s.Cleared {
				delete(c.pending, s.Fingerprint)
			}
		}
	}
}

// take returns what is to be announced, and removes it.
func (c *clearances) take() []policy.Fingerprint {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	l := slices.Sorted(maps.Keys(c.pending))
	clear(c.pending)
	return l
}
