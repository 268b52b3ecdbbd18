package policy

import "time"

// RetryBudget is a budget of retries: each request adds a share of a retry, up to
// a bound, and each retry takes a whole one. Where it is spent, a failure is
// told to the caller in place of being added to.
type RetryBudget struct {
	balance float64
}

const (
	retryBurst        = 20
	retriesPerRequest = 0.1
)

// Backoff bounds, doubled at each try and spread by a random share.
const (
	initialBackoff = 20 * time.Millisecond
	maxBackoff     = 2 * time.Second
)

// NewRetryBudget returns a full budget.
func NewRetryBudget() *RetryBudget {
	return &RetryBudget{balance: retryBurst}
}

// RecordRequest adds the share of one request.
func (r *RetryBudget) RecordRequest() {
	r.balance = min(retryBurst, r.balance+retriesPerRequest)
}

// Take takes one retry and reports whether there was one.
func (r *RetryBudget) Take() bool {
	if r.balance < 1 {
		return false
	}
	r.balance--
	return true
}

// Backoff returns when the try after failure number n (from 1) may go; spread
// is a random number in [0, 1).
func Backoff(now time.Time, n int, spread float64) time.Time {
	d := min(maxBackoff, initialBackoff<<min(n-1, 10))
	return now.Add(d/2 + time.Duration(spread*float64(d/2)))
}
