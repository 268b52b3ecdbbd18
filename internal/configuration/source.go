package configuration

import (
	"sync/atomic"
	"time"

	"github.com/linetiller/linetiller/internal/resource"
)

// source is one source that the follower reads.
type source struct {
	after    atomic.Int64 // the store's revision up to which this box has read
	backAt   atomic.Int64 // Unix nanoseconds of the return of the store after an outage
	failures atomic.Int64 // reads that failed in a row
	name     resource.Source
	read     Reader
}

const (
	// watchPeriod is how long one read waits for changes. Reads are priced, and a
	// lost connection is noticed only after it.
	watchPeriod = 15 * time.Second
	// upstreamsWatchPeriod is the same for the list of upstreams: it also bounds
	// how late a silent store is noticed, after which engines are asked themselves.
	upstreamsWatchPeriod = 3 * time.Second
)

// watch returns how long one read of the source waits.
func (s *source) watch() time.Duration {
	if s.name == resource.SourceUpstreams {
		return upstreamsWatchPeriod
	}
	return watchPeriod
}
