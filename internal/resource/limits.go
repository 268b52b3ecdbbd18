package resource

// LimitsName names the one Limits resource that is in force.
const LimitsName = "entry"

// LimitsSpec declares what callers may send at most, and how long their connections
// may rest. A field of 0 bounds nothing beyond the box's own settings.
type LimitsSpec struct {
	// BodyBytes bounds a request's body.
	BodyBytes int64 `json:"bodyBytes,omitempty"`
	// HeaderBytes bounds the names and values of a request's header.
	HeaderBytes int `json:"headerBytes,omitempty"`
	// IdleTimeout is how long a connection without a request is kept.
	IdleTimeout Milliseconds `json:"idleTimeoutMilliseconds,omitempty"`
}
