package relay

import (
	"net/http"
	"time"

	"github.com/linetiller/linetiller/internal/memory"
)

// Request is a request that is forwarded unchanged to an upstream. Its header holds
// only fields that a caller may set.
type Request struct {
	Arrived   time.Time
	Body      []byte
	Deadline  time.Time // time until which the caller waits; zero if unknown
	Header    http.Header
	Host      string              // the Host header as the caller sent it, with its port if it has one
	Memory    *memory.Reservation // what the request holds, to which its answer is added; nil if that is not counted
	ID        string              // chosen by the caller, a new one for each of its attempts
	BearerKey string              // "" if there is none
	Method    string
	Path      string
	Target    string // path and query, as the caller sent them

	// The fields below are set for generations only.
	Hint         int    // the caller's estimate of the number of output tokens; 0 if there is none
	LastEventID  string // id of the last event that the caller has, "" if it wants all events
	MaxTokens    int    // maximum number of output tokens
	Model        string
	PrefixKey    uint64 // cache key of the first part of the prompt; 0 if there is none
	PrefixTokens int    // length of that part, in tokens
	PromptTokens int    // length of the whole prompt, in tokens

	PromptParts []string // ids of the parts of the prompt that other requests may share, in order
}
