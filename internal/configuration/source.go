package configuration

import (
	"sync/atomic"
	"time"

	"github.com/linetiller/linetiller/internal/resource"
)

// source is one source that the follower reads.
type source struct {
	after       atomic.Int64 // the store's revision up to which this box has read
	backAt      moment       // of the return of the store after an outage
	unconfirmed atomic.Bool  // a read and the one that hedges it have no answer yet
	dueAt       moment       // when the wait of the read in progress ends, zero where there is none
	failures    atomic.Int64 // reads that failed in a row
	name        resource.Source
	read        Reader
	readAt      moment // of the last read that went well
}

const (
	// gatherPeriod is between two reads of the first reader: changes come in
	// groups, and reads are priced.
	gatherPeriod = 80 * time.Millisecond
	// standbyGatherPeriod is the same for the standby, whose word counts only where the
	// first reader's reads stand still unnoticed; a change is to be in force within 2 s.
	standbyGatherPeriod = 500 * time.Millisecond
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
	// shortWatchPeriod is the same for the sources by which requests are decided: it bounds how
	// late the loss of a single answer is noticed.
	shortWatchPeriod = 2 * time.Second
	// standbyWatchPeriod is the same for the standby.
	standbyWatchPeriod = 7 * time.Second
	// confirmPeriod is within which time some read of the first reader ends its wait: it bounds
	// how late it is noticed that its connections carry nothing more.
	confirmPeriod = time.Second
	// substituteConfirmPeriod is the same for boxes that read since the first reader cannot: two
	// or more do at a time.
	substituteConfirmPeriod = 1200 * time.Millisecond
)

// away reports whether reads of the source failed lately, and not only one at once.
func (s *source) away() bool {
	return s.failures.Load() >= failuresAway
}

// gather returns the time between two reads by a reader of that rank.
func (s *source) gather(r rank) time.Duration {
	if r == rankStandby {
		return standbyGatherPeriod
	}
	return gatherPeriod
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

// confirm returns within which time some read of a reader of that rank ends its wait.
func confirm(r rank) time.Duration {
	if r == rankSubstitute {
		return substituteConfirmPeriod
	}
	return confirmPeriod
}

// watchPeriod returns how long one read of the source by a reader of that rank waits at most.
func (s *source) watchPeriod(r rank) time.Duration {
	switch {
	case s.name == resource.SourceBoxes:
		return watchPeriod
	case r == rankStandby:
		return standbyWatchPeriod
	default:
		return shortWatchPeriod
	}
}
