package slope

import (
	"math"
	"testing"
)

func TestFitLine(t *testing.T) {
	f := FitLine([]float64{1, 2, 3, 4}, []float64{12, 14, 16, 18})
	if math.Abs(f.Slope-2) > 1e-9 || math.Abs(f.Base-10) > 1e-9 || f.Error > 1e-9 {
		t.Errorf("got %+v, want slope 2, base 10, no error", f)
	}
	f = FitLine([]float64{1, 2, 3, 4}, []float64{12, 14, 16, 8})
	if f.Error < 0.1 {
		t.Errorf("got an error of %v for points that are on no line", f.Error)
	}
}
