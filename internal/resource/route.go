package resource

// Repeat tells what may be done again with a request of a route.
type Repeat string

// The ways in which requests may be repeated.
const (
	RepeatNever  Repeat = "never"  // it may run at most once
	RepeatResume Repeat = "resume" // it may run more than once, and a stream from any of its events on
	RepeatSafely Repeat = "safely" // it may run more than once, each time as a whole
)

// RouteSpec declares which requests go unchanged to which service, and how.
type RouteSpec struct {
	// Attempts is how many upstreams one request may be sent to at most.
	Attempts int `json:"attempts"`
	// Host is the request's host, without a port.
	Host string `json:"host"`
	// MaxEventGap is the longest time between two events of a stream that keeps the
	// answer in time; 0 where the answer is no stream.
	MaxEventGap Milliseconds `json:"pauseMilliseconds,omitempty"`
	// FirstEventTimeout is how long a caller waits for the first event of a stream before it goes;
	// 0 where it waits as long as for the whole.
	FirstEventTimeout Milliseconds `json:"patienceMilliseconds,omitempty"`
	// PathPrefix begins the path; of several that do, the longest one counts.
	PathPrefix string `json:"pathPrefix"`
	// Priority names the Priority of its requests, unless their workspace has one.
	Priority string `json:"priority,omitempty"`
	// Public routes need no key.
	Public bool `json:"public,omitempty"`
	// Repeat tells what may be done again.
	Repeat Repeat `json:"repeat"`
	// Services are where the requests go, each by its share.
	Services []ServiceShare `json:"services"`
	// Stream is set where the answer is a stream of events.
	Stream bool `json:"stream,omitempty"`
	// LatencyTarget is the time within which an answer, or its first event, is wanted.
	LatencyTarget Milliseconds `json:"targetMilliseconds,omitempty"`
	// Timeout is how long a request may be held.
	Timeout Milliseconds `json:"timeoutMilliseconds"`
}

// ServiceShare is one of the services of a route.
type ServiceShare struct {
	Name   string `json:"name"`
	Weight int    `json:"weight"`
}

// Route is a route with its decoded spec.
type Route struct {
	Name     string
	Priority int // the value of its Priority; higher goes first
	Spec     RouteSpec
}

// Repeatable reports whether a request may run more than once.
func (r Repeat) Repeatable() bool {
	return r == RepeatResume || r == RepeatSafely
}
