package ratelimit

// Upstream is one start of an upstream.
type Upstream struct {
	StartedAt int64   // when it started, in Unix milliseconds; 0 where that is not told
	ColdRate  float64 // requests a second that it bears while it is cold; 0 where it is not, or that is no bound
	Name      string
}
