package resource

// RetryPolicy specifies how requests of a route may be retried.
type RetryPolicy string

// The ways in which requests may be repeated.
const (
	RetryNever     RetryPolicy = "never"  // a request runs at most once
	RetryResume    RetryPolicy = "resume" // a request may run more than once, and a stream may resume after any of its events
	RetryFromStart RetryPolicy = "safely" // a request may run more than once, each time from the start
)

// RouteSpec declares which requests are proxied unchanged to which services, and how.
type RouteSpec struct {
	// Attempts is the maximum number of upstreams that one request is sent to.
	Attempts int `json:"attempts"`
	// Host is the request's host, without a port.
	Host string `json:"host"`
	// MaxEventGap is the longest time between two events of a stream that meets the latency
	// target; 0 if the response is not a stream.
	MaxEventGap Milliseconds `json:"pauseMilliseconds,omitempty"`
	// FirstEventTimeout is how long clients wait for the first event of a stream before they
	// disconnect; 0 if they wait for it as long as for the whole response.
	FirstEventTimeout Milliseconds `json:"patienceMilliseconds,omitempty"`
	// PathPrefix is the start of the path. The longest matching prefix wins.
	PathPrefix string `json:"pathPrefix"`
	// Priority names the Priority of its requests, unless their workspace has one.
	Priority string `json:"priority,omitempty"`
	// Public routes need no key.
	Public bool `json:"public,omitempty"`
	// Regions are the only regions in which its requests may be processed; all if it is absent.
	Regions Regions `json:"regions,omitempty"`
	// RetryPolicy specifies how requests may be retried.
	RetryPolicy RetryPolicy `json:"repeat"`
	// Services are the destinations, weighted.
	Services []ServiceShare `json:"services"`
	// Stream is set if the response is an event stream.
	Stream bool `json:"stream,omitempty"`
	// LatencyTarget is the time within which the response, or its first event, should arrive.
	LatencyTarget Milliseconds `json:"targetMilliseconds,omitempty"`
	// Timeout is how long a request may take at most.
	Timeout Milliseconds `json:"timeoutMilliseconds"`
}

// ServiceShare is one of the services of a route, with its weight.
type ServiceShare struct {
	Name   string `json:"name"`
	Weight int    `json:"weight"`
}

// Route is a route with its decoded spec.
type Route struct {
	Name     string
	Priority int // value of its Priority; higher goes first
	Spec     RouteSpec
}

// Retryable reports whether a request may run more than once.
func (r RetryPolicy) Retryable() bool {
	return r == RetryResume || r == RetryFromStart
}
