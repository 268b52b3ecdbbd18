package policy

import "time"

// Bounds of the delay in Backoff, which doubles with each failure.
const (
	initialBackoff = 20 * time.Millisecond
	maxBackoff     = 2 * time.Second
)

// Backoff returns when to retry after the n-th failure in a row (from 1): exponential back-off with
// jitter over the upper half of the delay, where spread is a random number in [0, 1).
func Backoff(now time.Time, n int, spread float64) time.Time {
	d := min(maxBackoff, initialBackoff<<min(n-1, 10))
	return now.Add(d/2 + time.Duration(spread*float64(d/2)))
}
