package resource

import "time"

// EngineSpec describes the model engines of a service.
type EngineSpec struct {
	KVTokens       int      `json:"kvTokens"`                // memory for prompts and outputs, in tokens
	LinkMbps       float64  `json:"linkMbps,omitempty"`      // bandwidth of the link over which generation memory is copied, in Mbit/s
	MaxBatch       int      `json:"maxBatch"`                // maximum concurrent generations
	Migrates       bool     `json:"migrates,omitempty"`      // running generations can be moved to another engine
	Models         []string `json:"models,omitempty"`        // the models that its engines serve
	Standby        bool     `json:"standby,omitempty"`       // the memory of a running generation can be copied to another engine as a standby
	BytesPerToken  float64  `json:"tokenBytes,omitempty"`    // memory per token, in bytes
	TokensPerEvent int      `json:"tokensAnEvent,omitempty"` // tokens per stream event
}

// CopyTime returns how long the link takes to copy the memory of the given number of tokens, or 0
// if its bandwidth is unknown.
func (e *EngineSpec) CopyTime(tokens int) time.Duration {
	if e.LinkMbps <= 0 {
		return 0
	}
	// A link of 1 Mbit/s copies one bit per microsecond.
	return time.Duration(float64(tokens) * e.BytesPerToken * 8 / e.LinkMbps * float64(time.Microsecond))
}
