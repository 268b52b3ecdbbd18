package placement

import (
	"cmp"
	"strings"
	"sync"
	"time"

	"github.com/linetiller/linetiller/internal/member"
	"github.com/linetiller/linetiller/internal/policy"
	"github.com/linetiller/linetiller/internal/resource"
)

// candidateCache caches the lists of upstreams that accept new work, by model and hall. A list
// is built once after each change, since every request needs one and a model may run on
// thousands of engines. It is safe for concurrent use.
type candidateCache struct {
	lists   map[candidateKey]*candidateList
	members *member.Table
	mutex   sync.Mutex // guards lists
	view    *resource.View
}

// candidateKey identifies a list: the candidates for a model in some halls, as seen from a hall.
type candidateKey struct {
	hall, model string
	halls       string // the only halls, each followed by a line feed; "" for all
}

// candidateList is a cached list with the versions that it was built from.
type candidateList struct {
	boxes, view uint64 // versions of the boxes and of the view
	entries     []policy.Candidate
	expires     time.Time
}

const (
	// candidatesTTL bounds the age of a list when nothing changes: an upstream whose entry has
	// lapsed stops being a candidate by the passing of time alone, without a change.
	candidatesTTL     = 100 * time.Millisecond
	maxCandidateLists = 256 // callers choose the model names; unknown ones must not exhaust memory
	// crossHallPenalty is the backlog, in seconds, added for an upstream in another hall: if the
	// halls are disconnected, its streams end, and copies between halls take twice as long.
	crossHallPenalty = 5
)

// newCandidateCache returns an empty cache; lists are built on demand.
func newCandidateCache(v *resource.View, m *member.Table) *candidateCache {
	return &candidateCache{lists: make(map[candidateKey]*candidateList), members: m, view: v}
}

// build computes the list for w from the current view, without the cache.
func (c *candidateCache) build(k candidateKey, w *policy.Work, now time.Time) []policy.Candidate {
	all := c.view.UpstreamsOfModel(k.model)
	reachable := c.reachableHalls()
	l := make([]policy.Candidate, 0, len(all))
	for _, u := range all {
		if u.AcceptsWork(now) && reachable[u.Spec.Hall] && w.AllowsHall(u.Spec.Hall) {
			l = append(l, newCandidate(u, k.hall))
		}
	}
	return l
}

// get returns the upstreams that serve w's model in the halls in which it may run, accept new work,
// and have a box in their hall that can own them. Callers must not modify the list.
func (c *candidateCache) get(w *policy.Work, now time.Time) []policy.Candidate {
	k := candidateKey{hall: cmp.Or(w.Hall, c.members.Self().Hall), halls: joinHalls(w.Halls), model: w.Model}
	boxes, view := c.members.Version(), c.view.Version()
	c.mutex.Lock()
	defer c.mutex.Unlock()
	l := c.lists[k]
	if l == nil || l.boxes != boxes || l.view != view || !now.Before(l.expires) {
		l = &candidateList{boxes: boxes, entries: c.build(k, w, now), expires: now.Add(candidatesTTL), view: view}
		if len(c.lists) >= maxCandidateLists {
			clear(c.lists)
		}
		c.lists[k] = l
	}
	return l.entries
}

// reachableHalls returns the halls with at least one box that can own upstreams.
func (c *candidateCache) reachableHalls() map[string]bool {
	m := make(map[string]bool)
	for _, h := range c.members.Halls() {
		m[h] = len(c.members.Active(h)) > 0
	}
	return m
}

// joinHalls returns the restriction to halls as a part of a candidateKey.
func joinHalls(halls []string) string {
	if halls == nil {
		return ""
	}
	return strings.Join(halls, "\n") + "\n"
}

// newCandidate returns an upstream as a candidate for work from a hall.
func newCandidate(u *resource.Upstream, hall string) policy.Candidate {
	x := policy.Candidate{Capacity: policy.Capacity{KVTokens: u.Spec.KVTokens, MaxBatch: u.Spec.MaxBatch}, Name: u.Name}
	if g := u.Engine(); g != nil && g.Migrates {
		x.Capacity.CopyTimePerToken = g.CopyTime(1)
	}
	if u.Spec.Hall != hall {
		x.Penalty = crossHallPenalty
	}
	return x
}
