package experiment

import (
	"fmt"
	"time"

	"github.com/linetiller/linetiller/internal/measure"
	"github.com/linetiller/linetiller/internal/measure/evacuation"
	"github.com/linetiller/linetiller/internal/policy"
)

// siteSimulation is the site name in rows of simulations.
const siteSimulation = "stand-ins"

// overload is the load of the simulations of the policy, as a multiple of the saturation rate.
const overload = 1.2

// Simulate simulates the scheduling policy and the evacuation of reclaimed engines with one seed. The
// period is virtual time. It returns rows for the given version name.
func Simulate(version string, seed uint64, period time.Duration) []Row {
	var l []Row
	add := func(day, name string, value float64) {
		l = append(l, Row{Day: day, Measure: name, Seed: int64(seed), Site: siteSimulation, Value: value, Version: version})
	}
	for _, m := range []*measure.Mix{&measure.KMQA, &measure.VSK} {
		day := m.Name + " crowded"
		r := measure.Run(&measure.Scenario{Load: overload, Mix: m, Period: period, SaturationRate: measure.SaturationRate(m), Seed: seed, Tuning: policy.DefaultTuning()})
		add(day, "stall seconds", r.StallMean)
		add(day, "preemptions in 1,000", r.Preemptions)
		add(day, "first token p95 seconds", r.FirstTokenP95)
		add(day, "refused", r.Refused)
		add(day, "deadlines met", r.DeadlinesMet)
		add(day, "tokens a second", r.TokensPerSecond)
	}
	for _, n := range []time.Duration{time.Second, 2 * time.Second} {
		day := fmt.Sprintf("a fifth reclaimed after %v", n)
		r := evacuation.Run(&evacuation.Scenario{Notice: n, Period: period, Seed: seed, ReclaimedShare: 0.2})
		add(day, "lost", float64(r.Lost)/float64(max(1, r.Lost+r.Completed)))
		add(day, "late", float64(r.Late)/float64(max(1, r.Completed)))
	}
	return l
}
