package upstream

import (
	"net/http"
	"strconv"
	"time"
)

// maxRetryAfter bounds the rest that an upstream may ask for: a day outlasts the life of any.
const maxRetryAfter = 24 * time.Hour

// RetryAfter returns for how long the sender of a request is to stay away, as an answer that
// turns it away tells in seconds, or 0.
func RetryAfter(status int, h http.Header) time.Duration {
	if status != http.StatusServiceUnavailable && status != http.StatusTooManyRequests {
		return 0
	}
	s, err := strconv.ParseFloat(h.Get("Retry-After"), 64)
	if err != nil || !(s > 0) { // or it is no number
		return 0
	}
	return time.Duration(min(s, maxRetryAfter.Seconds()) * float64(time.Second))
}
