package policy

import "time"

// shares keeps, for each workspace that waits at an upstream, the time up to
// which it has used its share: work beyond the share is ordered later.
type shares struct {
	workspaces  map[string]*workspaceShare
	totalWeight float64 // of all workspaces with work waiting
}

type workspaceShare struct {
	usedUntil time.Time
	waiting   int
	weight    float64
}

// maxShareLead bounds how far beyond its share a workspace's order is moved back.
const maxShareLead = 20 * time.Second

func newShares() *shares {
	return &shares{workspaces: make(map[string]*workspaceShare)}
}

// enter charges work of that cost (seconds of the engine) to its workspace and
// returns the time from which it counts in the queue's order, and what was charged.
func (s *shares) enter(w *Work, cost float64, now time.Time) (at time.Time, charge time.Duration) {
	c := s.workspaces[w.Workspace]
	if c == nil {
		c = &workspaceShare{usedUntil: now}
		s.workspaces[w.Workspace] = c
	}
	if c.waiting == 0 {
		c.weight = workspaceWeight(w)
		s.totalWeight += c.weight
	}
	c.waiting++
	if c.usedUntil.Before(now) {
		c.usedUntil = now
	}
	if m := now.Add(maxShareLead); c.usedUntil.After(m) {
		c.usedUntil = m
	}
	t := c.usedUntil
	charge = seconds(cost * s.totalWeight / c.weight)
	c.usedUntil = t.Add(charge)
	lead := t.Sub(now)
	return w.Arrived.Add(lead), charge
}

// refund gives back what was charged for work that was given up before it started: it may
// ask here again, and at many upstreams.
func (s *shares) refund(w *Work, charge time.Duration) {
	if c := s.workspaces[w.Workspace]; c != nil {
		c.usedUntil = c.usedUntil.Add(-charge)
	}
}

// leave says that work of a workspace no longer waits.
func (s *shares) leave(w *Work, now time.Time) {
	c := s.workspaces[w.Workspace]
	if c == nil {
		return
	}
	c.waiting--
	if c.waiting > 0 {
		return
	}
	s.totalWeight = max(0, s.totalWeight-c.weight)
	if !c.usedUntil.After(now) {
		delete(s.workspaces, w.Workspace)
	}
}

func seconds(s float64) time.Duration {
	return time.Duration(s * float64(time.Second))
}

func workspaceWeight(w *Work) float64 {
	if w.Weight > 0 {
		return w.Weight
	}
	return 1
}
