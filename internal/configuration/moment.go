package configuration

import (
	"sync/atomic"
	"time"
)

// atomicTime is a time that is safe for concurrent use. It keeps the reading of the monotonic clock:
// the time of day may jump.
type atomicTime struct {
	at atomic.Pointer[time.Time]
}

// get returns the time, zero where none was set.
func (m *atomicTime) get() time.Time {
	if t := m.at.Load(); t != nil {
		return *t
	}
	return time.Time{}
}

// set sets the time.
func (m *atomicTime) set(t time.Time) {
	m.at.Store(&t)
}
