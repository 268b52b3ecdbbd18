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
	readAt   atomic.Int64 // Unix nanoseconds of the last read that went well, 0 for none
}

const (
	// gatherPeriod is between two reads of a hall's first reader: changes come in
	// groups, and reads are priced.
	gatherPeriod = 80 * time.Millisecond
	// standbyGatherPeriod is the same for the hall's other reader, whose word counts
	// only where the first one is silent and those of other halls are cut off; a change
	// is to be in force within 2 s.
	standbyGatherPeriod = 500 * time.Millisecond
	// standbyUpstreamsGatherPeriod is the same for the list of upstreams, which changes
	// every second; engines' own reports tell of their leaving within 1.5 s.
	standbyUpstreamsGatherPeriod = 2 * time.Second
	// retryMost bounds the wait after a failure. Other sources' return ends it.
	retryMost = 2 * time.Second
	// upstreamsRetryMost is the same for the list of upstreams, by which the store's
	// return is noticed: entries that lapsed are back within 2 s of it, and calls are
	// priced, so that one source asks often and the others wait for it.
	upstreamsRetryMost = time.Second
	// watchPeriod is how long one read waits for changes. Reads are priced, and one
	// that is lost in a silence too short to be noticed otherwise ends only after it.
	watchPeriod = 15 * time.Second
	// configurationWatchPeriod is the same for the operators' configuration. A read
	// lost in a short silence ends, one second for its answer included, before a change
	// made 3 s after that silence has to be in force, 2 s later.
	configurationWatchPeriod = 3500 * time.Millisecond
	// upstreamsWatchPeriod is the same for the list of upstreams: it also bounds
	// how late a silent store is noticed, after which engines are asked themselves.
	upstreamsWatchPeriod = 2 * time.Second
	// standbyWatches is how many times as long a read of a hall's other reader waits.
	standbyWatches = 2
)

// gather returns the time between two reads by a reader of that rank.
func (s *source) gather(rank int) time.Duration {
	switch {
	case rank == 0:
		return gatherPeriod
	case s.name == resource.SourceUpstreams:
		return standbyUpstreamsGatherPeriod
	default:
		return standbyGatherPeriod
	}
}

// retryMost returns the longest wait after a failure.
func (s *source) retryMost() time.Duration {
	if s.name == resource.SourceUpstreams {
		return upstreamsRetryMost
	}
	return retryMost
}

// watch returns how long one read of the source by a reader of that rank waits. After a
// failure it does not wait: the answer tells whether the store is back, and silence is
// known sooner.
func (s *source) watch(rank int) time.Duration {
	switch {
	case s.failures.Load() > 0:
		return 0
	case rank > 0:
		return standbyWatches * s.watchFirst()
	default:
		return s.watchFirst()
	}
}

// watchFirst returns how long one read of a hall's first reader waits.
func (s *source) watchFirst() time.Duration {
	switch s.name {
	case resource.SourceConfiguration:
		return configurationWatchPeriod
	case resource.SourceUpstreams:
		return upstreamsWatchPeriod
	default:
		return watchPeriod
	}
}
