package policy

import "time"

// shares implements weighted fair queueing between the workspaces with work at an upstream. For each it
// keeps the virtual time up to which the workspace has used its share; work beyond that is ranked later.
type shares struct {
	workspaces  map[string]*workspaceShare
	totalWeight float64 // of all workspaces with queued work
}

type workspaceShare struct {
	usedUntil time.Time
	waiting   int // pieces of queued work
	weight    float64
}

// maxShareLead bounds how much later a workspace beyond its share is ranked.
const maxShareLead = 20 * time.Second

func newShares() *shares {
	return &shares{workspaces: make(map[string]*workspaceShare)}
}

// enter charges queued work of that cost, in seconds of engine time, to its workspace. It returns the
// time that ranks the work, and the charge.
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

// refund returns the charge of work that was refused or cancelled before it started. Such work may
// request a place again here, and at many other upstreams.
func (s *shares) refund(w *Work, charge time.Duration) {
	if c := s.workspaces[w.Workspace]; c != nil {
		c.usedUntil = c.usedUntil.Add(-charge)
	}
}

// leave records that work of a workspace is no longer queued.
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
