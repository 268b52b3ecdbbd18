package measure

import "time"

// result computes the metrics at the end of a run.
func (s *simulation) result() *Result {
	var firstTokenSeconds, stallSeconds []float64
	v := new(Result)
	longMet, longTotal := 0, 0
	longest := len(s.scenario.Mix.Kinds) - 1
	for _, r := range s.requests {
		met := r.state == stateFinished && !r.lastTokenAt.After(r.deadline)
		// A request whose outcome is open and whose deadline has not passed counts as neither met nor missed.
		pending := r.state != stateFinished && r.state != stateRefused && r.state != stateInterrupted && r.deadline.After(s.now)
		if met {
			v.DeadlinesMet++
		}
		if r.kindIndex == longest && !pending {
			longTotal++
			if met {
				longMet++
			}
		}
		switch {
		case r.state == stateRefused:
			v.Refused++
			continue
		case r.state == stateInterrupted:
			v.Interrupted++
		case r.firstTokenAt.IsZero():
			firstTokenSeconds = append(firstTokenSeconds, s.now.Sub(r.work.Arrived).Seconds())
			continue
		}
		firstTokenSeconds = append(firstTokenSeconds, r.firstTokenAt.Sub(r.work.Arrived).Seconds())
		stallSeconds = append(stallSeconds, s.totalStall(r).Seconds())
	}
	n := float64(max(1, len(s.requests)))
	preemptions := int64(0)
	for _, e := range s.engines {
		preemptions += e.lostPreemptions + e.scheduler.Preemptions
	}
	v.DeadlinesMet /= n
	v.FirstTokenP50, v.FirstTokenP95 = quantile(firstTokenSeconds, 0.5), quantile(firstTokenSeconds, 0.95)
	v.Interrupted /= n
	v.LongestKindDeadlinesMet = float64(longMet) / float64(max(1, longTotal))
	v.Preemptions = 1000 * float64(preemptions) / float64(max(1, len(stallSeconds)))
	v.Refused /= n
	v.PlacementRequests = float64(s.placementRequests) / n
	v.Retries = 1000 * float64(s.retries) / n
	v.StallMean, v.StallP99 = mean(stallSeconds), quantile(stallSeconds, 0.99)
	v.TimeBetweenTokensP95, v.TimeBetweenTokensP99, v.TimeBetweenTokensP999 = s.tokenGaps.quantile(0.95), s.tokenGaps.quantile(0.99), s.tokenGaps.quantile(0.999)
	v.TokensPerSecond = float64(s.tokens) / s.scenario.Period.Seconds()
	return v
}

// totalStall returns the stall time of a request, including that of the current gap while it runs.
func (s *simulation) totalStall(r *request) time.Duration {
	if r.state != stateRunning {
		return r.stallTime
	}
	return r.stallTime + max(0, s.now.Sub(r.lastTokenAt)-stallThreshold)
}
