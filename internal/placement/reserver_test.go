package placement

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/linetiller/linetiller/internal/metric"
	"github.com/linetiller/linetiller/internal/policy"
)

// BenchmarkGuess chooses one of 45 and one of 3,000 engines in three halls.
func BenchmarkGuess(b *testing.B) {
	for _, n := range []int{45, 3000} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			v, m := testView(n, 300)
			p := NewReserver(v, m, policy.NewLengths(), metric.NewSet(), 1)
			w := &policy.Work{Arrived: time.Now(), Deadline: time.Now().Add(time.Minute), ID: "x", MaxTokens: 400, Model: "m", Prefix: 7, Prompt: 3000, Workspace: "w"}
			for b.Loop() {
				p.ChooseLocally(w, nil)
			}
		})
	}
}

// BenchmarkPlan sorts 24 runs on an engine that is leaving, and chooses one of 45 engines for
// each.
func BenchmarkPlan(b *testing.B) {
	v, m := testView(45, 75)
	p := NewReserver(v, m, policy.NewLengths(), metric.NewSet(), 1)
	var runs []policy.Run
	for i := range 24 {
		runs = append(runs, policy.Run{ID: fmt.Sprint(i), Left: 40 * (i % 7), Tokens: 3000 + 100*(i%11)})
	}
	w := &policy.Work{Arrived: time.Now(), Deadline: time.Now().Add(time.Minute), ID: "x", MaxTokens: 400, Model: "m", Prompt: 3000, Workspace: "w"}
	for b.Loop() {
		l := slices.Clone(runs)
		slices.SortFunc(l, func(x, y policy.Run) int { return policy.CompareRuns(&x, &y, 10*time.Millisecond) })
		for range l {
			p.ChooseLocally(w, nil)
		}
	}
}
