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

// Account is where the worth of one day went.
type Account struct {
	Day    string
	Losses []Loss  // the largest first
	Lost   float64 // share of the worth owed
	Waited float64 // share of the worth owed that waits which ended unserved count for, see waited
	Tries  []Try   // that did not go well, in order of their end
}

// Loss is what one cause cost.
type Loss struct {
	Cause    Cause
	Requests map[string]float64 // by kind
	Worth    float64            // share of the day's worth owed
}

// New makes the account of a day.
func New(day string, r *Report, s *Site, l *Log) *Account {
	a := &Account{Day: day, Tries: l.tries(s.aims(r, l))}
	losses := make(map[Cause]*Loss)
	owed := s.owed(r)
	for i := range r.Classes {
		c := &r.Classes[i]
		lost := owed[c.Name] * (1 - c.Worth)
		a.Lost += lost
		for cause, requests := range c.causes(a.Tries) {
			x := losses[cause]
			if x == nil {
				x = &Loss{Cause: cause, Requests: make(map[string]float64)}
				losses[cause] = x
			}
			x.Requests[c.Name] += requests
			x.Worth += lost * requests * s.weight(c.Name, cause) / c.weighed(a.Tries, s)
		}
	}
	a.Waited = s.waited(r, a.Tries)
	for _, x := range losses {
		a.Losses = append(a.Losses, *x)
	}
	slices.SortFunc(a.Losses, func(x, y Loss) int {
		return cmp.Or(cmp.Compare(y.Worth, x.Worth), cmp.Compare(x.Cause, y.Cause))
	})
	return a
}

// causes returns how many lost requests of a kind each cause has: the lost tries of its
// route, in proportion to what the report counts, and what no box saw.
func (c *Class) causes(tries []Try) map[Cause]float64 {
	late, lost := make(map[Cause]float64), make(map[Cause]float64)
	for i := range tries {
		t := &tries[i]
		switch {
		case t.Kind != c.Name:
		case t.Cause.late():
			late[t.Cause]++
		default:
			lost[t.Cause]++
		}
	}
	share(lost, float64(c.Failed+c.Refused), CauseUnseen)
	share(late, float64(c.Late), CauseLate)
	maps.Copy(lost, late)
	return lost
}

// weighed returns the sum of what the lost requests of a kind weigh.
func (c *Class) weighed(tries []Try, s *Site) float64 {
	sum := 0.0
	for cause, n := range c.causes(tries) {
		sum += n * s.weight(c.Name, cause)
	}
	return sum
}

// share makes the counts sum to total: they are taken in proportion where they are more,
// and the rest is given to another cause where they are fewer.
func share(counts map[Cause]float64, total float64, rest Cause) {
	sum := 0.0
	for _, n := range counts {
		sum += n
	}
	if sum <= total {
		if total > sum {
			counts[rest] += total - sum
		}
		return
	}
	for c := range counts {
		counts[c] *= total / sum
	}
}
