package routed

import "time"

// Settings describes an engine.
type Settings struct {
	CopyToken     time.Duration // to copy one token of memory to another engine
	EventEvery    time.Duration // between two events of a stream
	KVTokens      int
	PrefillToken  time.Duration // to read one token of a prompt
	TokensAnEvent int
}

// DefaultSettings returns an engine like those of the users: an event each 32 ms,
// 64 MB a run over 2.7 Gbit/s.
func DefaultSettings() Settings {
	return Settings{
		CopyToken: 55 * time.Microsecond, EventEvery: 32 * time.Millisecond, KVTokens: 34_500,
		PrefillToken: 70 * time.Microsecond, TokensAnEvent: 4,
	}
}
