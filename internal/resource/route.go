package resource

import "time"

// Repeat tells what may be done again with a request of a route.
type Repeat string

// The ways in which requests may be repeated.
const (
	RepeatNever  Repeat = "never"  // it may run at most once
	RepeatSafely Repeat = "safely" // it may run more than once
)

// RouteSpec declares which requests go unchanged to which service, and how.
type RouteSpec struct {
	// Attempts is how many upstreams one request may be sent to at most.
	Attempts int `json:"attempts"`
	// Host is the request's host, without a port.
	Host string `json:"host"`
	// Pause is the longest time between two events of a stream that keeps the
	// answer in time; 0 where the answer is no stream.
	Pause Milliseconds `json:"pauseMilliseconds,omitempty"`
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
	// Target is the time within which an answer, or its first event, is wanted.
	Target Milliseconds `json:"targetMilliseconds,omitempty"`
	// Timeout is how long a request may be held.
	Timeout Milliseconds `json:"timeoutMilliseconds"`
}

// ServiceShare is one of the services of a route.
type ServiceShare struct {
	Name   string `json:"name"`
	Weight int    `json:"weight"`
}

// ServiceSpec declares a service: upstreams that are alike.
type ServiceSpec struct {
	// Engine describes its upstreams where they are model engines.
	Engine *EngineSpec `json:"engine,omitempty"`
	// HealthPath is where an upstream tells whether it is well.
	HealthPath string `json:"healthPath,omitempty"`
	// MaxConnections is how many connections an upstream takes from all boxes.
	MaxConnections int `json:"maxConnections,omitempty"`
}

// EngineSpec describes the model engines of a service.
type EngineSpec struct {
	KVTokens      int      `json:"kvTokens"`                // memory for prompts and outputs, in tokens
	LinkMbps      float64  `json:"linkMbps,omitempty"`      // of the link over which memory is copied
	MaxBatch      int      `json:"maxBatch"`                // generations at once
	Migrates      bool     `json:"migrates,omitempty"`      // running generations can be moved to another engine
	Models        []string `json:"models,omitempty"`        // that its engines run
	Standby       bool     `json:"standby,omitempty"`       // an engine can send a running generation's memory to another one
	TokenBytes    float64  `json:"tokenBytes,omitempty"`    // of memory a token
	TokensAnEvent int      `json:"tokensAnEvent,omitempty"` // of a stream
}

// BoxSpec tells where a box is. Each box writes its own.
type BoxSpec struct {
	Address string `json:"address"` // IP:port for other boxes
	Hall    string `json:"hall"`
}

// Milliseconds is a length of time, written as a number of milliseconds.
type Milliseconds int64

// Duration returns m in the standard library's type.
func (m Milliseconds) Duration() time.Duration {
	return time.Duration(m) * time.Millisecond
}

// CopyTime returns how long the link takes to copy the memory of that many tokens.
func (e *EngineSpec) CopyTime(tokens int) time.Duration {
	if e.LinkMbps <= 0 {
		return 0
	}
	return time.Duration(float64(tokens) * e.TokenBytes * 8 / e.LinkMbps * float64(time.Microsecond))
}
