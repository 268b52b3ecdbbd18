package soak

import (
	"testing"
	"time"
)

// TestJudge checks single probes around two configuration changes, ten seconds apart.
func TestJudge(t *testing.T) {
	start := time.Unix(1000, 0)
	at := func(s float64) time.Time { return start.Add(time.Duration(s * float64(time.Second))) }
	changes := []change{{acknowledgedAt: at(0), version: 3, writtenAt: at(0)}, {acknowledgedAt: at(10), version: 5, writtenAt: at(10)}}
	newProbe := func(s float64, version int, routeKnown bool) probe {
		return probe{answeredAt: at(s + 0.01), box: "b", routeKnown: routeKnown, sentAt: at(s), version: version}
	}
	for _, x := range []struct {
		name        string
		probes      []probe
		disturbedAt float64 // when the box was disturbed, 0 for never
		want        int     // violations
		checked     int
	}{
		{"in time", []probe{newProbe(1.9, 3, false), newProbe(2.1, 3, true)}, 0, 0, 1},
		{"late", []probe{newProbe(2.1, 3, false)}, 0, 1, 1},
		{"late, but disturbed a moment ago", []probe{newProbe(2.1, 3, false)}, 0.5, 0, 0},
		{"late, disturbed long ago", []probe{newProbe(6, 3, false)}, 0.5, 1, 1},
		{"dropped in time", []probe{newProbe(11.9, 3, true), newProbe(12.1, 3, false)}, 0, 0, 1},
		{"dropped late", []probe{newProbe(12.1, 3, true)}, 0, 1, 1},
		{"as the next one is written", []probe{newProbe(9.995, 3, false)}, 0, 0, 0},
		{"went back", []probe{newProbe(0.1, 3, true), newProbe(0.5, 3, false)}, 0, 1, 0},
		{"went back within the slack", []probe{newProbe(0.1, 3, true), newProbe(0.3, 3, false)}, 0, 0, 0},
		{"started again", []probe{newProbe(0.1, 3, true), newProbe(1.5, 3, false)}, 1, 0, 0},
	} {
		undisturbed := func(_ string, from, to time.Time) bool {
			return x.disturbedAt == 0 || at(x.disturbedAt).Before(from) || at(x.disturbedAt).After(to)
		}
		j := &changeChecker{changes: changes, faultFree: undisturbed, undisturbed: undisturbed, probes: x.probes}
		got, checked := j.violations()
		if len(got) != x.want || checked != x.checked {
			t.Errorf("%s: got %q, %d checked; want %d violations, %d checked", x.name, got, checked, x.want, x.checked)
		}
	}
}

// TestJudgeTellsWhenAChangeWasInForce checks that the reported delay ends at the first probe for
// which the box knew the version.
func TestJudgeTellsWhenAChangeWasInForce(t *testing.T) {
	start := time.Unix(1000, 0)
	always := func(string, time.Time, time.Time) bool { return true }
	j := &changeChecker{changes: []change{{acknowledgedAt: start, version: 1, writtenAt: start}}, faultFree: always, undisturbed: always}
	for i, known := range []bool{false, true, true} {
		s := start.Add(time.Duration(i) * 50 * time.Millisecond)
		j.probes = append(j.probes, probe{answeredAt: s, box: "b", routeKnown: known, sentAt: s, version: 1})
	}
	if got := j.applyDelays(); len(got) != 1 || got[0] != 50*time.Millisecond {
		t.Errorf("got %v, want 50ms", got)
	}
}
