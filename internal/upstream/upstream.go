// Package upstream speaks to model engines and plain services.
//
// An engine's interface is JSON and server-sent events over HTTP:
//
//	POST   /v1/generations                 starts one, answers its events
//	GET    /v1/generations/ID/events?from= its events from a token index on
//	GET    /v1/generations/ID              whether it exists, and where it stands
//	DELETE /v1/generations/ID              cancels it
//	GET    /v1/load                        the load report, which lags
//	GET    /v1/cache/events?after=         prefix cache events, late and with gaps
//	POST   /v1/orders                      fenced orders
package upstream

import (
	"time"
)

// Start asks an engine to run a generation.
type Start struct {
	ID        string `json:"id"` // chosen by the caller, unique
	MaxTokens int    `json:"maxTokens"`
	Model     string `json:"model"`
	Prefix    uint64 `json:"prefix"` // key of the prompt's prefix
	Priority  int    `json:"priority"`
	Prompt    string `json:"prompt"`
	Workspace string `json:"workspace"`
}

// Why a generation ended.
const (
	FinishCancelled = "cancelled"
	FinishLength    = "length"
	FinishStop      = "stop"
)

// Token is one token of a generation's stream, or its end.
type Token struct {
	Finish string // why the generation ended, at its end
	Index  int    // of the token, from 0; at the end the number of tokens
	Text   []byte // valid until the next token is read
}

// Frame is one event of a generation's stream.
type Frame struct {
	Finish     string `json:"finish,omitempty"` // why it ended: such as FinishStop
	Generation string `json:"generation"`
	Index      int    `json:"index"` // of the token, from 0
	Text       string `json:"text,omitempty"`
	Workspace  string `json:"workspace,omitempty"`
}

// Position tells where a generation stands in an engine.
type Position struct {
	Generation string `json:"generation"`
	Produced   int    `json:"produced"` // tokens so far
	Readers    int    `json:"readers"`  // streams open on it
	State      string `json:"state"`
	Workspace  string `json:"workspace"`
}

// Load is an engine's report of its load.
type Load struct {
	AsOf     time.Time `json:"asOf"`
	Instance string    `json:"instance"` // changes when the engine restarts
	KVTokens int       `json:"kvTokens"`
	Leaving  bool      `json:"leaving,omitempty"`
	// Loaded holds the version of each model that is loaded.
	Loaded      map[string]string `json:"loaded,omitempty"`
	Preemptions int64             `json:"preemptions"`
	Role        string            `json:"role,omitempty"` // that the last order gave it
	Running     int               `json:"running"`
	StepMicros  int64             `json:"stepMicros"` // of the last step
	Used        int               `json:"used"`       // tokens of memory in use
	Waiting     int               `json:"waiting"`
}

// CacheEvent tells that a prefix entered or left an engine's cache.
type CacheEvent struct {
	Number int64  `json:"number"` // rises by one; a gap means that events were lost
	Prefix uint64 `json:"prefix"`
	Stored bool   `json:"stored"`
}

// OrderKind is what an order asks for.
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
	Fence   int64     `json:"fence"` // an order with a lower fence than one seen is refused
	Kind    OrderKind `json:"kind"`
	Model   string    `json:"model,omitempty"`
	Role    string    `json:"role,omitempty"`
	Version string    `json:"version,omitempty"`
}
