package routed

import "time"

// Settings describes an engine.
type Settings struct {
	CopyPerToken    time.Duration // to copy one token of memory to another engine
	EventInterval   time.Duration // between two events of a stream
	KVTokens        int
	PrefillPerToken time.Duration // to read one token of a prompt
	TokensPerEvent  int
}

// DefaultSettings returns an engine like those of the users: an event each 32 ms,
// 64 MB a run over 2.7 Gbit/s.
func DefaultSettings() Settings {
	return Settings{
		CopyPerToken: 55 * time.Microsecond, EventInterval: 32 * time.Millisecond, KVTokens: 34_500,
		PrefillPerToken: 70 * time.Microsecond, TokensPerEvent: 4,
	}
}
