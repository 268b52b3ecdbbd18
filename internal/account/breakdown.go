// Package account attributes the losses of a day on the users' benchmark to causes. It reads the
// report of the day, the site file and the logs of the boxes.
//
// The benchmark gives each request a worth, which is earned in full only by a response in time. The
// report contains the number of lost requests of each class, and the share of their worth that was
// earned. The logs show why attempts ended. A caller that retries makes several attempts, each with its own request
// ID, so the attempts in the logs cannot be matched to the requests in the report. Instead, the
// causes of a class are scaled to the numbers of the report: the sum over all causes always equals
// the loss in the report.
package account

import (
	"cmp"
	"maps"
	"slices"
)

// Breakdown attributes the worth lost in one day to causes.
type Breakdown struct {
	Day               string
	Losses            []Loss    // largest first
	LostShare         float64   // share of the worth owed that was not earned
	UnservedWaitShare float64   // penalty for waits that ended unserved, as a share of the worth owed; see unservedWaitShare
	Attempts          []Attempt // unsuccessful and late ones, in order of their end
}

// Loss is the loss due to one cause.
type Loss struct {
	Cause      Cause
	Requests   map[string]float64 // by class
	WorthShare float64            // share of the worth owed in the day
}

// NewBreakdown returns the breakdown of a day.
func NewBreakdown(day string, r *Report, s *Site, l *Log) *Breakdown {
	b := &Breakdown{Day: day, Attempts: l.unsuccessfulAttempts(s.targets(r, l))}
	losses := make(map[Cause]*Loss)
	owed := s.owedShares(r)
	for i := range r.Classes {
		c := &r.Classes[i]
		lost := owed[c.Name] * (1 - c.EarnedShare)
		b.LostShare += lost
		for cause, requests := range c.causes(b.Attempts) {
			x := losses[cause]
			if x == nil {
				x = &Loss{Cause: cause, Requests: make(map[string]float64)}
				losses[cause] = x
			}
			x.Requests[c.Name] += requests
			x.WorthShare += lost * requests * s.lossFraction(c.Name, cause) / c.totalLoss(b.Attempts, s)
		}
	}
	b.UnservedWaitShare = s.unservedWaitShare(r, b.Attempts)
	for _, x := range losses {
		b.Losses = append(b.Losses, *x)
	}
	slices.SortFunc(b.Losses, func(x, y Loss) int {
		return cmp.Or(cmp.Compare(y.WorthShare, x.WorthShare), cmp.Compare(x.Cause, y.Cause))
	})
	return b
}

// causes returns the number of lost or late requests of the class by cause. The attempts of the
// class are scaled to the counts of the report. Lost requests that no attempt accounts for go to
// CauseNotLogged, late ones to CauseLate.
func (c *Class) causes(attempts []Attempt) map[Cause]float64 {
	late, lost := make(map[Cause]float64), make(map[Cause]float64)
	for i := range attempts {
		t := &attempts[i]
		switch {
		case t.Class != c.Name:
		case t.Cause.isLate():
			late[t.Cause]++
		default:
			lost[t.Cause]++
		}
	}
	scaleTo(lost, float64(c.Failed+c.Refused), CauseNotLogged)
	scaleTo(late, float64(c.Late), CauseLate)
	maps.Copy(lost, late)
	return lost
}

// totalLoss returns the loss over all lost and late requests of the class, in units of the worth of
// one request.
func (c *Class) totalLoss(attempts []Attempt, s *Site) float64 {
	sum := 0.0
	for cause, n := range c.causes(attempts) {
		sum += n * s.lossFraction(c.Name, cause)
	}
	return sum
}

// scaleTo makes the counts sum up to total. Counts that exceed it are scaled down in proportion. If
// they fall short, the difference is added to the cause remainder.
func scaleTo(counts map[Cause]float64, total float64, remainder Cause) {
	sum := 0.0
	for _, n := range counts {
		sum += n
	}
	if sum <= total {
		if total > sum {
			counts[remainder] += total - sum
		}
		return
	}
	for c := range counts {
		counts[c] *= total / sum
	}
}
