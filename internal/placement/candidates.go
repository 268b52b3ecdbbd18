package placement

import (
	"cmp"
	"sync"
	"time"

	"github.com/linetiller/linetiller/internal/member"
	"github.com/linetiller/linetiller/internal/policy"
	"github.com/linetiller/linetiller/internal/resource"
)

// candidates lists the upstreams that may get new work, by model and hall. A list is
// made once after each change, since it is asked for with every request and a model
// may run on thousands of engines. It is safe for concurrent use.
type candidates struct {
	lists   map[candidateKey]*candidateList
	members *member.Table
	mutex   sync.Mutex // guards lists
	view    *resource.View
}

// candidateKey names a list: that of a model, as seen from a hall.
type candidateKey struct{ hall, model string }

// candidateList is a list with what it was made from.
type candidateList struct {
	boxes, view uint64 // versions
	entries     []policy.Candidate
	expires     time.Time
}

const (
	// candidatesLife bounds the age of a list where nothing changes: an upstream whose
	// entry lapsed ends its time without a change.
	candidatesLife = 100 * time.Millisecond
	maxLists       = 256 // callers name models; unknown names must not fill the memory
	// otherHallDelay is how many seconds of backlog another hall counts for: a cut between
	// halls ends its streams, and copies to and from there take twice as long.
	otherHallDelay = 5
)

// newCandidates returns no lists yet; they are made when asked for.
func newCandidates(v *resource.View, m *member.Table) *candidates {
	return &candidates{lists: make(map[candidateKey]*candidateList), members: m, view: v}
}

// list makes a list.
func (c *candidates) list(k candidateKey, now time.Time) []policy.Candidate {
	all := c.view.UpstreamsOfModel(k.model)
	reachable := c.reachable()
	l := make([]policy.Candidate, 0, len(all))
	for _, u := range all {
		if u.AcceptsWork(now) && reachable[u.Spec.Hall] {
			l = append(l, candidateOf(u, k.hall))
		}
	}
	return l
}

// of returns the upstreams that run w's model, may get new work, and have a box in
// their hall that could own them. Callers must not change the list.
func (c *candidates) of(w *policy.Work, now time.Time) []policy.Candidate {
	k := candidateKey{hall: cmp.Or(w.Hall, c.members.Self().Hall), model: w.Model}
	boxes, view := c.members.Version(), c.view.Version()
	c.mutex.Lock()
	defer c.mutex.Unlock()
	l := c.lists[k]
	if l == nil || l.boxes != boxes || l.view != view || !now.Before(l.expires) {
		l = &candidateList{boxes: boxes, entries: c.list(k, now), expires: now.Add(candidatesLife), view: view}
		if len(c.lists) >= maxLists {
			clear(c.lists)
		}
		c.lists[k] = l
	}
	return l.entries
}

// reachable returns the halls that have a box which could own upstreams.
func (c *candidates) reachable() map[string]bool {
	m := make(map[string]bool)
	for _, h := range c.members.Halls() {
		m[h] = len(c.members.Alive(h)) > 0
	}
	return m
}

// candidateOf returns an upstream as a candidate for work of a hall.
func candidateOf(u *resource.Upstream, hall string) policy.Candidate {
	x := policy.Candidate{Capacity: policy.Capacity{KVTokens: u.Spec.KVTokens, MaxBatch: u.Spec.MaxBatch}, Name: u.Name}
	if g := u.Engine(); g != nil && g.Migrates {
		x.Capacity.CopyTimePerToken = g.CopyTime(1)
	}
	if u.Spec.Hall != hall {
		x.Penalty = otherHallDelay
	}
	return x
}
