// Package upstream is a client for model engines and plain services.
//
// The API of an engine is JSON and server-sent events over HTTP:
//
//	POST   /v1/generations                 starts a generation and streams its events
//	GET    /v1/generations/ID/events?from= streams its events from a token index on
//	GET    /v1/generations/ID              returns its progress, if it exists
//	DELETE /v1/generations/ID              cancels it
//	GET    /v1/load                        returns the load report, which lags behind
//	GET    /v1/cache/events?after=         returns prefix cache events, delayed and possibly with gaps
//	POST   /v1/orders                      executes a fenced order
package upstream

import (
	"time"
)

// Start is the request to start a generation.
type Start struct {
	ID        string `json:"id"` // unique, chosen by the caller
	MaxTokens int    `json:"maxTokens"`
	Model     string `json:"model"`
	Prefix    uint64 `json:"prefix"` // cache key of the prompt's prefix
	Priority  int    `json:"priority"`
	Prompt    string `json:"prompt"`
	Workspace string `json:"workspace"`
}

// The reasons for which a generation ends.
const (
	FinishCancelled = "cancelled"
	FinishLength    = "length"
	FinishStop      = "stop"
)

// Token is one token of a generation's stream, or the end of the stream.
type Token struct {
	Finish string // why the generation ended; only at the end
	Index  int    // index of the token, from 0; at the end the number of tokens
	Text   []byte // valid until the next token is read
}

// Frame is one event of a generation's stream.
type Frame struct {
	Finish     string `json:"finish,omitempty"` // why the generation ended, such as FinishStop
	Generation string `json:"generation"`
	Index      int    `json:"index"` // as in Token
	Text       string `json:"text,omitempty"`
	Workspace  string `json:"workspace,omitempty"`
}

// Position is the progress of a generation in an engine.
type Position struct {
	Generation     string `json:"generation"`
	ProducedTokens int    `json:"produced"` // number of tokens so far
	Readers        int    `json:"readers"`  // number of open streams
	State          string `json:"state"`
	Workspace      string `json:"workspace"`
}

// Load is the load report of an engine.
type Load struct {
	AsOf     time.Time `json:"asOf"`
	Instance string    `json:"instance"` // changes when the engine restarts
	KVTokens int       `json:"kvTokens"`
	Leaving  bool      `json:"leaving,omitempty"`
	// LoadedVersions holds the version of each loaded model, by model name.
	LoadedVersions map[string]string `json:"loaded,omitempty"`
	Preemptions    int64             `json:"preemptions"`
	Role           string            `json:"role,omitempty"` // as set by the last order
	Running        int               `json:"running"`
	StepMicros     int64             `json:"stepMicros"` // duration of the last step in microseconds
	UsedTokens     int               `json:"used"`       // occupied part of the KV cache in tokens
	Waiting        int               `json:"waiting"`
}

// CacheEvent reports that a prefix was added to or evicted from an engine's prefix cache.
type CacheEvent struct {
	Number int64  `json:"number"` // increases by one; a gap means that events were lost
	Prefix uint64 `json:"prefix"`
	Stored bool   `json:"stored"` // added, as opposed to evicted
}

// OrderKind is the action that an order requests.
type OrderKind string

// The kinds of orders.
const (
	OrderLoad   OrderKind = "load"
	OrderRole   OrderKind = "role"
	OrderUnload OrderKind = "unload"
)

// The roles of an engine.
const (
	RoleLeaving = "leaving"
	RoleServing = "serving"
)

// Order is a fenced order to an engine.
type Order struct {
	Fence   int64     `json:"fence"` // fencing token; an engine rejects an order with a lower one than it has seen
	Kind    OrderKind `json:"kind"`
	Model   string    `json:"model,omitempty"`
	Role    string    `json:"role,omitempty"`
	Version string    `json:"version,omitempty"`
}
