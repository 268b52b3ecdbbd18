package routed

import "time"

// Settings describes an engine.
type Settings struct {
	CopyPerToken    time.Duration // to copy the KV cache of one token to another engine
	EventInterval   time.Duration // between two events of a stream
	KVTokens        int           // size of the KV cache in tokens
	PrefillPerToken time.Duration // to process one prompt token
	TokensPerEvent  int
}

// DefaultSettings returns a typical engine: an event every 32 ms, and copies of 64 MB per run over a
// 2.7 Gbit/s link.
func DefaultSettings() Settings {
	return Settings{
		CopyPerToken: 55 * time.Microsecond, EventInterval: 32 * time.Millisecond, KVTokens: 34_500,
		PrefillPerToken: 70 * time.Microsecond, TokensPerEvent: 4,
	}
}
