package resource

import "time"

// EngineSpec describes the model engines of a service.
type EngineSpec struct {
	KVTokens       int      `json:"kvTokens"`                // memory for prompts and outputs, in tokens
	LinkMbps       float64  `json:"linkMbps,omitempty"`      // of the link over which memory is copied
	MaxBatch       int      `json:"maxBatch"`                // generations at once
	Migrates       bool     `json:"migrates,omitempty"`      // running generations can be moved to another engine
	Models         []string `json:"models,omitempty"`        // that its engines run
	Standby        bool     `json:"standby,omitempty"`       // an engine can send a running generation's memory to another one
	BytesPerToken  float64  `json:"tokenBytes,omitempty"`    // of memory a token
	TokensPerEvent int      `json:"tokensAnEvent,omitempty"` // of a stream
}

// CopyTime returns how long the link takes to copy the memory of that many tokens.
func (e *EngineSpec) CopyTime(tokens int) time.Duration {
	if e.LinkMbps <= 0 {
		return 0
	}
	return time.Duration(float64(tokens) * e.BytesPerToken * 8 / e.LinkMbps * float64(time.Microsecond))
}
