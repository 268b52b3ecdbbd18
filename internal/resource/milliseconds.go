package resource

import "time"

// Milliseconds is a length of time, written as a number of milliseconds.
type Milliseconds int64

// Duration returns m in the standard library's type.
func (m Milliseconds) Duration() time.Duration {
	return time.Duration(m) * time.Millisecond
}
