package placement

import (
	"fmt"
	"testing"
	"time"

	"github.com/linetiller/linetiller/internal/metric"
	"github.com/linetiller/linetiller/internal/policy"
)

// BenchmarkGuess chooses among 45 and 3,000 engines of three halls.
func BenchmarkGuess(b *testing.B) {
	for _, n := range []int{45, 3000} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			v, m := testView(n, 300)
			p := NewReserved(v, m, policy.NewLengths(), metric.NewSet(), 1)
			w := &policy.Work{Arrived: time.Now(), Deadline: time.Now().Add(time.Minute), ID: "x", MaxTokens: 400, Model: "m", Prefix: 7, Prompt: 3000, Workspace: "w"}
			for b.Loop() {
				p.Guess(w, nil)
			}
		})
	}
}
