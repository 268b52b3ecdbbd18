package slope

import "math"

// Fit is a line through measured points.
type Fit struct {
	Base  float64 // at no units
	Error float64 // largest distance of a point from the line, over the largest value
	Slope float64 // for each unit
}

// FitLine returns the line with the least squares through the points.
func FitLine(x, y []float64) Fit {
	n := float64(len(x))
	var sx, sy, sxx, sxy, most float64
	for i := range x {
		sx += x[i]
		sy += y[i]
		sxx += x[i] * x[i]
		sxy += x[i] * y[i]
		most = max(most, math.Abs(y[i]))
	}
	f := Fit{Slope: (n*sxy - sx*sy) / (n*sxx - sx*sx)}
	f.Base = (sy - f.Slope*sx) / n
	for i := range x {
		f.Error = max(f.Error, math.Abs(y[i]-f.Base-f.Slope*x[i])/max(most, math.SmallestNonzeroFloat64))
	}
	return f
}
