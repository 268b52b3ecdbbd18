package ratelimit

// Upstream identifies one instance of an upstream, which lasts from one start to the next.
type Upstream struct {
	StartedAtMS int64   // Unix milliseconds; 0 if unknown
	ColdRate    float64 // requests per second that it sustains while cold; 0 if it is not cold or not bounded
	Name        string
}
