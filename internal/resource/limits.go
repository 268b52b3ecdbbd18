package resource

// LimitsName is the name of the only Limits resource that is applied.
const LimitsName = "entry"

// LimitsSpec declares limits on clients' requests and connections. A field of 0 adds no limit to
// the box's own settings.
type LimitsSpec struct {
	// BodyBytes is the maximum size of a request's body.
	BodyBytes int64 `json:"bodyBytes,omitempty"`
	// HeaderBytes is the maximum total size of the names and values in a request's header.
	HeaderBytes int `json:"headerBytes,omitempty"`
	// IdleTimeout is how long a connection without a request is kept open.
	IdleTimeout Milliseconds `json:"idleTimeoutMilliseconds,omitempty"`
}
