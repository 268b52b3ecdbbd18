// Package account says where the worth of a day on the users' bench went: it reads the
// day's report, its site and the boxes' logs, and gives each lost request a cause.
//
// The report tells how many requests of each kind were lost and which share of their worth
// that was; the logs tell why tries ended. A caller's tries have ids of their own, so that
// what the logs tell of a kind is taken in proportion: the sum over the causes is always
// what the report says was lost.
package account

import (
	"cmp"
	"maps"
	"slices"
)

// Breakdown is where the worth of one day went.
type Breakdown struct {
	Day           string
	Losses        []Loss    // the largest first
	Lost          float64   // share of the worth owed
	UnservedWaits float64   // share of the worth owed that waits which ended unserved count for, see waited
	Attempts      []Attempt // that did not go well, in order of their end
}

// Loss is what one cause cost.
type Loss struct {
	Cause    Cause
	Requests map[string]float64 // by kind
	Worth    float64            // share of the day's worth owed
}

// NewBreakdown makes the account of a day.
func NewBreakdown(day string, r *Report, s *Site, l *Log) *Breakdown {
	b := &Breakdown{Day: day, Attempts: l.unsuccessfulAttempts(s.targets(r, l))}
	losses := make(map[Cause]*Loss)
	owed := s.owedShares(r)
	for i := range r.Classes {
		c := &r.Classes[i]
		lost := owed[c.Name] * (1 - c.Worth)
		b.Lost += lost
		for cause, requests := range c.causes(b.Attempts) {
			x := losses[cause]
			if x == nil {
				x = &Loss{Cause: cause, Requests: make(map[string]float64)}
				losses[cause] = x
			}
			x.Requests[c.Name] += requests
			x.Worth += lost * requests * s.lossFraction(c.Name, cause) / c.totalLoss(b.Attempts, s)
		}
	}
	b.UnservedWaits = s.unservedWaitShare(r, b.Attempts)
	for _, x := range losses {
		b.Losses = append(b.Losses, *x)
	}
	slices.SortFunc(b.Losses, func(x, y Loss) int {
		return cmp.Or(cmp.Compare(y.Worth, x.Worth), cmp.Compare(x.Cause, y.Cause))
	})
	return b
}

// causes returns how many lost requests of a kind each cause has: the lost tries of its
// route, in proportion to what the report counts, and what no box saw.
func (c *Class) causes(attempts []Attempt) map[Cause]float64 {
	late, lost := make(map[Cause]float64), make(map[Cause]float64)
	for i := range attempts {
		t := &attempts[i]
		switch {
		case t.Class != c.Name:
		case t.Cause.late():
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

// totalLoss returns the sum of what the lost requests of a kind weigh.
func (c *Class) totalLoss(attempts []Attempt, s *Site) float64 {
	sum := 0.0
	for cause, n := range c.causes(attempts) {
		sum += n * s.lossFraction(c.Name, cause)
	}
	return sum
}

// scaleTo makes the counts sum to total: they are taken in proportion where they are more,
// and the rest is given to another cause where they are fewer.
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
