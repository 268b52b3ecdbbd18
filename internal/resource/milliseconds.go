package resource

import "time"

// Milliseconds is a duration, encoded as a number of milliseconds.
type Milliseconds int64

// Duration converts m to a time.Duration.
func (m Milliseconds) Duration() time.Duration {
	return time.Duration(m) * time.Millisecond
}
