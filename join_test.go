package linetiller

import (
	"math/rand/v2"
	"slices"
	"testing"
	"time"
)

// TestReadersOfAFirstStartDoNotGrowWithTheBoxes guards against reads of the list of boxes that grow
// with the fleet as all boxes start: each box reads it that has not got it within its wait, and the
// first one that has read it takes a while to reach the others.
func TestReadersOfAFirstStartDoNotGrowWithTheBoxes(t *testing.T) {
	const (
		spread = 500 * time.Millisecond // from the first reading until all boxes have its rows
		seeds  = 20
	)
	for _, boxes := range []int{8, 100, 1000, 3300} {
		readers := 0
		for seed := range uint64(seeds) {
			r := rand.New(rand.NewPCG(seed, 6))
			waits := make([]time.Duration, boxes)
			for i := range waits {
				waits[i] = boxRowsJitter(r.Float64())
			}
			slices.Sort(waits)
			n, _ := slices.BinarySearch(waits, waits[0]+spread)
			readers += n
		}
		if got, want := float64(readers)/seeds, 20.0; got > want {
			t.Errorf("%d boxes: got %.1f readers on average, want at most %.0f", boxes, got, want)
		}
	}
	for _, random := range []float64{0, 1e-300, 0.5, 1 - 1e-16} {
		if got := boxRowsJitter(random); got < 0 || got > maxBoxRowsJitter {
			t.Errorf("random number %g: got %v, want from 0 to %v", random, got, maxBoxRowsJitter)
		}
	}
}
