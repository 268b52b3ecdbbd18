package policy

import "time"

// shares keeps, for each workspace that waits at an upstream, the time up to
// which it has used its share: work beyond the share is ordered later.
type shares struct {
	clocks map[string]*clock
	weight float64 // of all workspaces with work waiting
}

type clock struct {
	until   time.Time
	waiting int
	weight  float64
}

// maxShareLead bounds how far beyond its share a workspace's order is moved back.
const maxShareLead = 20 * time.Second

func newShares() *shares {
	return &shares{clocks: make(map[string]*clock)}
}

// enter charges work of that cost (seconds of the engine) to its workspace and
// returns the time from which it counts in the queue's order, and what was charged.
func (s *shares) enter(w *Work, cost float64, now time.Time) (at time.Time, charge time.Duration) {
	c := s.clocks[w.Workspace]
	if c == nil {
		c = &clock{until: now}
		s.clocks[w.Workspace] = c
	}
	if c.waiting == 0 {
		c.weight = weightOf(w)
		s.weight += c.weight
	}
	c.waiting++
	if c.until.Before(now) {
		c.until = now
	}
	if m := now.Add(maxShareLead); c.until.After(m) {
		c.until = m
	}
	t := c.until
	charge = seconds(cost * s.weight / c.weight)
	c.until = t.Add(charge)
	lead := t.Sub(now)
	return w.Arrived.Add(lead), charge
}

// refund gives back what was charged for work that was given up before it started: it may
// ask here again, and at many upstreams.
func (s *shares) refund(w *Work, charge time.Duration) {
	if c := s.clocks[w.Workspace]; c != nil {
		c.until = c.until.Add(-charge)
	}
}

// leave says that work of a workspace no longer waits.
func (s *shares) leave(w *Work, now time.Time) {
	c := s.clocks[w.Workspace]
	if c == nil {
		return
	}
	c.waiting--
	if c.waiting > 0 {
		return
	}
	s.weight = max(0, s.weight-c.weight)
	if !c.until.After(now) {
		delete(s.clocks, w.Workspace)
	}
}

func seconds(s float64) time.Duration {
	return time.Duration(s * float64(time.Second))
}

func weightOf(w *Work) float64 {
	if w.Weight > 0 {
		return w.Weight
	}
	return 1
}
