package upstream

import (
	"net/http"
	"strconv"
	"time"
)

// maxRetryAfter limits the back-off that an upstream may request. No upstream runs for longer than a
// day.
const maxRetryAfter = 24 * time.Hour

// RetryAfter returns the back-off that a response with status 429 or 503 requests in its Retry-After
// header, in seconds, which may have a fraction. It returns 0 if there is none.
func RetryAfter(status int, h http.Header) time.Duration {
	if status != http.StatusServiceUnavailable && status != http.StatusTooManyRequests {
		return 0
	}
	s, err := strconv.ParseFloat(h.Get("Retry-After"), 64)
	if err != nil || !(s > 0) { // also rejects NaN
		return 0
	}
	return time.Duration(min(s, maxRetryAfter.Seconds()) * float64(time.Second))
}
