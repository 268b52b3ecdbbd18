package configuration

import (
	"sync/atomic"
	"time"
)

// atomicTime is a time that is safe for concurrent use. It keeps the monotonic clock reading, since
// the wall clock may jump.
type atomicTime struct {
	at atomic.Pointer[time.Time]
}

// get returns the time, or the zero time if none was set.
func (m *atomicTime) get() time.Time {
	if t := m.at.Load(); t != nil {
		return *t
	}
	return time.Time{}
}

func (m *atomicTime) set(t time.Time) {
	m.at.Store(&t)
}
