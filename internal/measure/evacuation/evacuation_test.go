package evacuation

import (
	"testing"
	"time"
)

const testPeriod = 2 * time.Minute

func lostShare(r *Result) float64 { return float64(r.Lost) / float64(r.Lost+r.Completed) }

// TestTurnsSaveMoreThanEachBoxAlone checks that coordinated moves lose fewer generations than
// uncoordinated ones, with several seeds and a notice of 2 s.
func TestTurnsSaveMoreThanEachBoxAlone(t *testing.T) {
	for seed := range uint64(5) {
		s := Scenario{Notice: 2 * time.Second, Period: testPeriod, Seed: seed, ReclaimedShare: 0.2}
		coordinated := Run(&s)
		s.Uncoordinated = true
		uncoordinated := Run(&s)
		if got, want := lostShare(coordinated), lostShare(uncoordinated); got >= want {
			t.Errorf("seed %d: share lost with coordinated moves: got %.3f, want less than %.3f, the share with uncoordinated moves", seed, got, want)
		}
	}
}

// TestNothingIsLostWithoutNotices checks that without reclaimed engines, all generations complete, none
// is late and none is moved.
func TestNothingIsLostWithoutNotices(t *testing.T) {
	r := Run(&Scenario{Notice: time.Second, Period: testPeriod, Seed: 1})
	if r.Lost != 0 || r.Late != 0 || r.Moves != 0 || r.Completed < 300 {
		t.Errorf("got %+v, want at least 300 completed, none lost, late or moved", *r)
	}
}

// TestLongerNoticesSaveMore checks that a longer notice never loses more generations, and that nothing
// is moved without a notice.
func TestLongerNoticesSaveMore(t *testing.T) {
	previous := 1.0
	for _, n := range []time.Duration{0, time.Second, 2 * time.Second, 4 * time.Second} {
		r := Run(&Scenario{Notice: n, Period: testPeriod, Seed: 3, ReclaimedShare: 0.2})
		if got := lostShare(r); got > previous {
			t.Errorf("notice of %v: got a share of %.3f lost, want at most %.3f", n, got, previous)
		}
		if n == 0 && r.Moves != 0 {
			t.Errorf("no notice: got %d moves, want 0", r.Moves)
		}
		previous = lostShare(r)
	}
}

// TestMemoryIsAccountedFor checks after every tick that the used and reserved tokens of each engine
// match its generations and the transfers to it.
func TestMemoryIsAccountedFor(t *testing.T) {
	for _, uncoordinated := range []bool{true, false} {
		s := newSimulation(&Scenario{Uncoordinated: uncoordinated, Notice: time.Second, Period: testPeriod, Seed: 2, ReclaimedShare: 0.3})
		for s.now < s.scenario.Period {
			s.step()
			used, reserved := make(map[*engine]int), make(map[*engine]int)
			for _, g := range s.generations {
				used[g.engine] += g.run.Tokens
				if g.move != nil {
					reserved[g.move.to] += g.move.reservedTokens
				}
			}
			for _, e := range s.engines {
				if e.endsAt == 0 && (e.usedTokens != used[e] || e.reservedTokens != reserved[e]) {
					t.Fatalf("uncoordinated %v, at %v: got %d tokens used and %d reserved, want %d and %d", uncoordinated, s.now, e.usedTokens, e.reservedTokens, used[e], reserved[e])
				}
			}
		}
	}
}
