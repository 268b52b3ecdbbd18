package policy

import "math"

// horizons are the steps ahead, in tokens, for which memory is forecast. Every generation of a
// batch grows by one token a step, so all of them share the same horizons.
var horizons = [...]int{1, 32, 64, 128, 256, 512, 1024, 2048, 4096, 8192}

// forecast is the KV memory that generations will hold at each horizon, in tokens: its mean and
// its variance.
type forecast struct {
	mean     [len(horizons)]float64
	variance [len(horizons)]float64
}

// estimate describes the expected course of a generation that has not started.
type estimate struct {
	tokenSteps float64 // KV memory held, summed over all steps, in tokens times steps
	forecast   forecast
	tokens     float64 // output tokens
}

// add adds g to f, or subtracts it if sign is -1.
func (f *forecast) add(g *forecast, sign float64) {
	for i := range f.mean {
		f.mean[i] += sign * g.mean[i]
		f.variance[i] = max(0, f.variance[i]+sign*g.variance[i])
	}
}

// peak returns the maximum over all horizons of the mean plus z standard deviations, with g added;
// it is at least used, the memory in use now.
func (f *forecast) peak(g *forecast, used, z float64) float64 {
	p := used
	for i := range f.mean {
		m := f.mean[i] + g.mean[i]
		p = max(p, m+z*math.Sqrt(f.variance[i]+g.variance[i]))
	}
	return p
}

// forecast returns the forecast of a generation that has produced age tokens and ends at limit
// tokens at the latest.
func (l *Lengths) forecast(k Key, prompt, age, limit int) forecast {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	return forecastOf(l.curve(k), prompt, age, limit)
}

// estimate returns the estimate of a generation that ends at limit tokens at the latest.
func (l *Lengths) estimate(k Key, prompt, limit int) estimate {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	h := l.curve(k)
	e := estimate{forecast: forecastOf(h, prompt, 0, limit)}
	for b := 0; b < buckets && bucketStart(b) < limit; b++ {
		start := bucketStart(b)
		width := float64(min(limit, bucketStart(b+1)) - start)
		s := math.Exp(-h.cumulative[b]-h.rate[b]*width/2) * width
		e.tokens += s
		e.tokenSteps += s * (float64(prompt+start) + width/2)
	}
	return e
}

// Remaining returns the expected number of further output tokens of a generation that has produced
// age tokens and ends at limit tokens at the latest.
func (l *Lengths) Remaining(k Key, age, limit int) float64 {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	h := l.curve(k)
	base := h.integral(age)
	remaining := 0.0
	for b := bucketOf(age); b < buckets && bucketStart(b) < limit; b++ {
		start := max(age, bucketStart(b))
		width := float64(min(limit, bucketStart(b+1)) - start)
		remaining += math.Exp(base-h.integral(start)-h.rate[b]*width/2) * width
	}
	return remaining
}

// forecastOf forecasts the memory of a generation with output lengths distributed as in h.
func forecastOf(h *hazard, prompt, age, limit int) forecast {
	var f forecast
	base := h.integral(age)
	for i, n := range horizons {
		if age+n > limit {
			break
		}
		p := math.Exp(base - h.integral(age+n))
		m := float64(prompt + age + n)
		f.mean[i] = p * m
		f.variance[i] = p * (1 - p) * m * m
	}
	return f
}
