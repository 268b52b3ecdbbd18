package configuration

import (
	"sync/atomic"
	"time"

	"github.com/linetiller/linetiller/internal/resource"
)

// source is one source that the follower reads.
type source struct {
	after    atomic.Int64 // the store's revision up to which this box has read
	backAt   moment       // of the return of the store after an outage
	failures atomic.Int64 // reads that failed in a row
	name     resource.Source
	read     Reader
	readAt   moment // of the last read that went well
}

const (
	// gatherPeriod is between two reads of the first reader: changes come in
	// groups, and reads are priced.
	gatherPeriod = 80 * time.Millisecond
	// standbyGatherPeriod is the same for the standby, whose word counts only where the
	// first reader's reads stand still unnoticed; a change is to be in force within 2 s.
	standbyGatherPeriod = 500 * time.Millisecond
	// standbyUpstreamsGatherPeriod is the same for the list of upstreams, which changes
	// every second; engines' own reports tell of their leaving within 1.5 s.
	standbyUpstreamsGatherPeriod = 2 * time.Second
	// retryMost bounds the wait after a failure. Other sources' return ends it.
	retryMost = 2 * time.Second
	// probeRetryMost is the same for the first reader's probe, the list of upstreams, by
	// which the store's return is noticed: entries that lapsed are back within 2 s of it.
	probeRetryMost = time.Second
	// substituteRetryMost is the same for boxes that read since the first reader cannot:
	// the store may serve them and not it, but mostly it serves nobody, and they hear at
	// once when the first reader can read again.
	substituteRetryMost = 3 * time.Second
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
	// standbyWatches is how many times as long a read of the standby waits.
	standbyWatches = 2
)

// away reports whether reads of the source failed lately, and not only one at once.
func (s *source) away() bool {
	return s.failures.Load() >= failuresAway
}

// gather returns the time between two reads by a reader of that rank.
func (s *source) gather(r rank) time.Duration {
	switch {
	case r != rankStandby:
		return gatherPeriod
	case s.name == resource.SourceUpstreams:
		return standbyUpstreamsGatherPeriod
	default:
		return standbyGatherPeriod
	}
}

// retryMost returns the longest wait after a failure of a reader of that rank.
func (s *source) retryMost(r rank) time.Duration {
	switch {
	case r != rankFirst:
		return substituteRetryMost
	case s.name == resource.SourceUpstreams:
		return probeRetryMost
	default:
		return retryMost
	}
}

// watch returns how long one read of the source by a reader of that rank waits. After a
// failure it does not wait: the answer tells whether the store is back, and silence is
// known sooner.
func (s *source) watch(r rank) time.Duration {
	switch {
	case s.failures.Load() > 0:
		return 0
	case r == rankStandby:
		return standbyWatches * s.watchFirst()
	default:
		return s.watchFirst()
	}
}

// watchFirst returns how long one read of the first reader waits.
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
