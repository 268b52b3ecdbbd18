package measure

import (
	"math"
	"slices"
	"time"
)

// Result holds the metrics of one run, as defined in docs/MEASURES.md.
type Result struct {
	DeadlinesMet            float64 // share of the requests
	FirstTokenP50           float64 // seconds
	FirstTokenP95           float64 // seconds
	Interrupted             float64 // share of the requests
	LongestKindDeadlinesMet float64 // share of the requests of the longest kind
	Preemptions             float64 // per 1,000 generations
	Refused                 float64 // share of the requests
	Retries                 float64 // per 1,000 requests
	StallMean               float64 // seconds per generation
	StallP99                float64 // seconds
	TimeBetweenTokensP95    float64 // seconds
	TimeBetweenTokensP99    float64 // seconds
	TimeBetweenTokensP999   float64 // seconds
	TokensPerSecond         float64
	PlacementRequests       float64 // placement requests to owners, per request
}

// gapHistogram is a logarithmic histogram of the times between tokens, with gapBucketsPerDoubling
// buckets for each factor of 2.
type gapHistogram struct {
	counts [gapBuckets]int64
	total  int64
}

const (
	gapBuckets            = 512 // number of buckets; the last one also counts all longer times
	gapBucketsPerDoubling = 20
	minGap                = 100 * time.Microsecond // shorter times count as this
)

func (g *gapHistogram) add(d time.Duration) {
	b := 0
	if d > minGap {
		b = min(gapBuckets-1, int(gapBucketsPerDoubling*math.Log2(float64(d)/float64(minGap))))
	}
	g.counts[b]++
	g.total++
}

// quantile returns the upper bound, in seconds, of the bucket that contains the quantile, and 0 without
// values.
func (g *gapHistogram) quantile(q float64) float64 {
	want := int64(q * float64(g.total))
	for b, n := range g.counts {
		want -= n
		if want < 0 {
			return minGap.Seconds() * math.Exp2(float64(b+1)/gapBucketsPerDoubling)
		}
	}
	return 0
}

// quantile returns the quantile q of the values, which it sorts in place, and 0 without values.
func quantile(values []float64, q float64) float64 {
	if len(values) == 0 {
		return 0
	}
	slices.Sort(values)
	return values[min(len(values)-1, int(q*float64(len(values))))]
}

// mean returns the arithmetic mean, and 0 without values.
func mean(v []float64) float64 {
	if len(v) == 0 {
		return 0
	}
	s := 0.0
	for _, x := range v {
		s += x
	}
	return s / float64(len(v))
}
