package policy

import "time"

// Retries is a budget of retries: each request adds a share of a retry, up to
// a bound, and each retry takes a whole one. Where it is spent, a failure is
// told to the caller in place of being added to.
type Retries struct {
	left float64
}

const (
	retriesBurst = 20
	retriesShare = 0.1
)

// Backoff bounds, doubled at each try and spread by a random share.
const (
	backoffFirst = 20 * time.Millisecond
	backoffMost  = 2 * time.Second
)

// NewRetries returns a full budget.
func NewRetries() *Retries {
	return &Retries{left: retriesBurst}
}

// Request adds the share of one request.
func (r *Retries) Request() {
	r.left = min(retriesBurst, r.left+retriesShare)
}

// Take takes one retry and reports whether there was one.
func (r *Retries) Take() bool {
	if r.left < 1 {
		return false
	}
	r.left--
	return true
}

// Backoff returns when the try after failure number n (from 1) may go; spread
// is a random number in [0, 1).
func Backoff(now time.Time, n int, spread float64) time.Time {
	d := min(backoffMost, backoffFirst<<min(n-1, 10))
	return now.Add(d/2 + time.Duration(spread*float64(d/2)))
}
