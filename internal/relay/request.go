package relay

import (
	"net/http"
	"time"
)

// Request is one request that goes unchanged to an upstream. Its header holds
// only what the caller may set.
type Request struct {
	Arrived   time.Time
	Body      []byte
	Deadline  time.Time // until which the caller waits; zero where it does not say
	Header    http.Header
	Host      string // of the caller's Host header, with its port if it had one
	ID        string // chosen by the caller, one for each try of its own
	BearerKey string // the bearer key, "" where there is none
	Method    string
	Path      string
	Target    string // path and query as they came

	// Of generations only.
	Hint         int    // the caller's estimate of the output tokens; 0 where it has none
	LastEventID  string // of the last event that the caller has, "" where it asks for all of them
	MaxTokens    int    // output tokens at most
	Model        string
	PrefixKey    uint64 // key of the first part of the prompt; 0 where there is none
	PrefixTokens int    // tokens of that part
	PromptTokens int    // tokens
}
