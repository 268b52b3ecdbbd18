package policy

import "time"

// RetryBudget limits the retries of one box to a share of its requests: each request adds a
// fraction of a retry to the balance, up to a bound, and each retry takes one. When the balance is
// spent, failures are reported to the caller instead of adding load with retries.
type RetryBudget struct {
	balance float64 // retries
}

const (
	retryBurst        = 20  // retries, the maximum balance
	retriesPerRequest = 0.1 // added to the balance
)

// Bounds of the delay in Backoff, which doubles with each failure.
const (
	initialBackoff = 20 * time.Millisecond
	maxBackoff     = 2 * time.Second
)

// NewRetryBudget returns a full budget.
func NewRetryBudget() *RetryBudget {
	return &RetryBudget{balance: retryBurst}
}

// RecordRequest adds the share of one request to the balance.
func (r *RetryBudget) RecordRequest() {
	r.balance = min(retryBurst, r.balance+retriesPerRequest)
}

// Take takes one retry from the balance and reports whether there was one.
func (r *RetryBudget) Take() bool {
	if r.balance < 1 {
		return false
	}
	r.balance--
	return true
}

// Backoff returns when to retry after the n-th failure in a row (from 1): exponential back-off with
// jitter over the upper half of the delay, where spread is a random number in [0, 1).
func Backoff(now time.Time, n int, spread float64) time.Time {
	d := min(maxBackoff, initialBackoff<<min(n-1, 10))
	return now.Add(d/2 + time.Duration(spread*float64(d/2)))
}
