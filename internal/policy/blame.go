package policy

import (
	"maps"
	"slices"
	"time"
)

// The methods in this file decide which suspects are to blame for the recorded crashes.

// A request is quarantined once the weights of its crashes add up to quarantineThreshold. Two
// isolated crashes suffice; if one did, every request running at a crashed upstream would be
// refused. Correlated crashes take three: requests in a rack that loses power twice are not
// refused, while a caller that sends several poison requests at once is still stopped.
const (
	isolatedCrashWeight   = 3
	correlatedCrashWeight = 2
	quarantineThreshold   = 6
	// From maxExplainedWeight on, a part is quarantined even if other parts account for its crashes.
	maxExplainedWeight = 12
)

// A part has run often if frequentPartRuns runs with it are recorded. It is cleared of the crashes of up to
// maxPowerLosses losses of power after its last run.
const (
	frequentPartRuns = 16
	maxPowerLosses   = 3
)

// clearCompleted clears a request or part that last ran at a time and has run that often, and returns what it
// cleared. The caller holds the mutex.
func (q *Quarantine) clearCompleted(p Fingerprint, ranAt time.Time, times int) []Crash {
	var l []Crash
	var first time.Time // of the crashes after the run that may be correlated with one another
	n := 0
	for _, c := range q.bySuspect[p] {
		s := c.suspect(p)
		if !c.At.Before(ranAt) && (n == 0 || c.At.Sub(first) >= correlationWindow) {
			n++
			first = c.At
		}
		if n > 1 && (n > maxPowerLosses || !s.Part || times < frequentPartRuns || !q.isPowerLoss(c)) {
			break
		}
		if !s.Cleared {
			s.Cleared = true
			q.markChanged()
			d := *c
			d.Suspects = []Suspect{*s}
			l = append(l, d)
		}
	}
	return l
}

// crashWeight returns the weight of a crash for its suspects that are not cleared. The caller holds the
// mutex.
func (q *Quarantine) crashWeight(c *Crash) int {
	first, _ := slices.BinarySearchFunc(q.crashes, c.At.Add(1-correlationWindow), func(d *Crash, t time.Time) int { return d.At.Compare(t) })
	n := 0
	for _, d := range q.crashes[first:] {
		if n == minCorrelatedCrashes || d.At.Sub(c.At) >= correlationWindow {
			break
		}
		n++
	}
	if n == minCorrelatedCrashes {
		return correlatedCrashWeight
	}
	return isolatedCrashWeight
}

// findQuarantined determines which requests and parts are quarantined: those whose crashes that are not
// explained by other suspects have enough weight. The caller holds the mutex.
func (q *Quarantine) findQuarantined() map[Fingerprint]bool {
	weights := make(map[Fingerprint]int)
	for _, c := range q.crashes {
		w := q.crashWeight(c)
		for i := range c.Suspects {
			if s := &c.Suspects[i]; !s.Cleared {
				weights[s.Fingerprint] += w
			}
		}
	}
	maps.DeleteFunc(weights, func(_ Fingerprint, w int) bool { return w < quarantineThreshold })
	unproven := maps.Clone(weights)
	maps.DeleteFunc(unproven, func(p Fingerprint, _ int) bool { return q.proven(p) })
	quarantined := make(map[Fingerprint]bool)
	for p, w := range weights {
		if q.isToBlame(p, w, unproven) {
			quarantined[p] = true
		}
	}
	return quarantined
}

// hasStrongerSuspect reports whether another one of the given suspects accounts for all crashes of p, and for
// more. The caller holds the mutex.
func (q *Quarantine) hasStrongerSuspect(p Fingerprint, weights map[Fingerprint]int) bool {
	l := slices.DeleteFunc(slices.Clone(q.bySuspect[p]), func(c *Crash) bool { return c.suspect(p).Cleared })
	return slices.ContainsFunc(l[0].Suspects, func(s Suspect) bool {
		isInnocent := func(c *Crash) bool {
			t := c.suspect(s.Fingerprint)
			return t == nil || t.Cleared
		}
		return weights[s.Fingerprint] > weights[p] && !slices.ContainsFunc(l, isInnocent)
	})
}

// isPowerLoss reports whether an upstream may have lost its power together with others: it crashed with several
// of them, or the suspects of its crash and of another one had been sent before either crash, so that neither is
// a retry of the other. The caller holds the mutex.
func (q *Quarantine) isPowerLoss(c *Crash) bool {
	return q.crashWeight(c) == correlatedCrashWeight || slices.ContainsFunc(q.crashes, func(d *Crash) bool {
		return d != c && d.At.Sub(c.At).Abs() < correlationWindow && c.sentBefore(d) && d.sentBefore(c)
	})
}

// isToBlame reports whether a suspect whose crashes have the weight w, which is enough, is quarantined, given
// the weights of those suspects that have enough and are not proven. The caller holds the mutex.
func (q *Quarantine) isToBlame(p Fingerprint, w int, unproven map[Fingerprint]int) bool {
	if _, ok := unproven[p]; ok {
		return !q.hasStrongerSuspect(p, unproven)
	}
	return w >= maxExplainedWeight || q.unexplainedWeight(p, unproven) >= quarantineThreshold
}

// proven reports whether a part was cleared of a crash because an upstream had served it. The caller holds
// the mutex.
func (q *Quarantine) proven(p Fingerprint) bool {
	return slices.ContainsFunc(q.bySuspect[p], func(c *Crash) bool {
		s := c.suspect(p)
		return s.Part && s.Cleared
	})
}

// rivals returns the other parts that are suspects of the same crashes as a part, so that any of them may be the
// cause. The caller holds the mutex.
func (q *Quarantine) rivals(p Fingerprint) []Fingerprint {
	l := q.bySuspect[p]
	if len(l) == 0 || !l[0].suspect(p).Part {
		return nil
	}
	var rivals []Fingerprint
	for _, s := range l[0].Suspects {
		if s.Part && s.Fingerprint != p && q.sameCrashes(p, s.Fingerprint) {
			rivals = append(rivals, s.Fingerprint)
		}
	}
	return rivals
}

// sameCrashes reports whether two suspects are suspects of the same crashes, and cleared of the same ones. The
// caller holds the mutex.
func (q *Quarantine) sameCrashes(a, b Fingerprint) bool {
	return len(q.bySuspect[a]) == len(q.bySuspect[b]) && !slices.ContainsFunc(q.bySuspect[a], func(c *Crash) bool {
		s, t := c.suspect(a), c.suspect(b)
		return t == nil || s.Cleared != t.Cleared
	})
}

// trialTells reports whether a trial of the part p by a request with the given fingerprints tells whether p may be
// the cause of crashes: no other suspect may crash the upstream, but for some of the rivals of p, or for all of
// them if upstreams have served them before. The caller holds the mutex.
func (q *Quarantine) trialTells(p Fingerprint, request []Fingerprint) bool {
	rivals := q.rivals(p)
	missing := len(rivals)
	proven := q.proven(p)
	for _, other := range request {
		switch {
		case slices.Contains(rivals, other):
			missing--
		case other != p && q.weight(other) >= quarantineThreshold:
			return false
		}
	}
	return proven || len(rivals) == 0 || missing > 0
}

// unexplainedWeight returns the weight of the crashes of p that have none of the given suspects which is a
// part: a request that is tried again accounts for its own crashes only. The caller holds the mutex.
func (q *Quarantine) unexplainedWeight(p Fingerprint, weights map[Fingerprint]int) int {
	n := 0
	for _, c := range q.bySuspect[p] {
		explained := slices.ContainsFunc(c.Suspects, func(s Suspect) bool { return s.Part && weights[s.Fingerprint] > 0 })
		if !explained && !c.suspect(p).Cleared {
			n += q.crashWeight(c)
		}
	}
	return n
}

// weight returns the total weight of the crashes of a suspect. The caller holds the mutex.
func (q *Quarantine) weight(p Fingerprint) int {
	n := 0
	for _, c := range q.bySuspect[p] {
		if !c.suspect(p).Cleared {
			n += q.crashWeight(c)
		}
	}
	return n
}
