package configuration

import (
	"sync/atomic"
	"time"

	"github.com/linetiller/linetiller/internal/resource"
)

// source is one source that the follower reads.
type source struct {
	after       atomic.Int64 // the store's revision up to which this box has read
	recoveredAt atomicTime   // of the return of the store after an outage
	unconfirmed atomic.Bool  // a read and the one that hedges it have no answer yet
	waitEndsAt  atomicTime   // when the wait of the read in progress ends, zero where there is none
	failures    atomic.Int64 // reads that failed in a row
	name        resource.Source
	read        Reader
	readAt      atomicTime // of the last read that went well
}

const (
	// readInterval is between two reads of the first reader: changes come in
	// groups, and reads are priced.
	readInterval = 80 * time.Millisecond
	// standbyReadInterval is the same for the standby, whose word counts only where the
	// first reader's reads stand still unnoticed; a change is to be in force within 2 s.
	standbyReadInterval = 500 * time.Millisecond
	// maxRetryDelay bounds the wait after a failure. Other sources' return ends it.
	maxRetryDelay = 2 * time.Second
	// probeMaxRetryDelay is the same for the first reader's probe, the list of upstreams, by
	// which the store's return is noticed: entries that lapsed are back within 2 s of it.
	probeMaxRetryDelay = time.Second
	// substituteMaxRetryDelay is the same for boxes that read since the first reader cannot:
	// the store may serve them and not it, but mostly it serves nobody, and they hear at
	// once when the first reader can read again.
	substituteMaxRetryDelay = 3 * time.Second
	// boxesWatchPeriod is how long one read waits for changes. Reads are priced, and one
	// that is lost in a silence too short to be noticed otherwise ends only after it.
	boxesWatchPeriod = 15 * time.Second
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

// unavailable reports whether reads of the source failed lately, and not only one at once.
func (s *source) unavailable() bool {
	return s.failures.Load() >= failuresUntilUnavailable
}

// readInterval returns the time between two reads by a reader of that rank.
func (s *source) readInterval(r readerRole) time.Duration {
	if r == roleStandby {
		return standbyReadInterval
	}
	return readInterval
}

// maxRetryDelay returns the longest wait after a failure of a reader of that rank.
func (s *source) maxRetryDelay(r readerRole) time.Duration {
	switch {
	case r != rolePrimary:
		return substituteMaxRetryDelay
	case s.name == resource.SourceUpstreams:
		return probeMaxRetryDelay
	default:
		return maxRetryDelay
	}
}

// confirmPeriodFor returns within which time some read of a reader of that rank ends its wait.
func confirmPeriodFor(r readerRole) time.Duration {
	if r == roleSubstitute {
		return substituteConfirmPeriod
	}
	return confirmPeriod
}

// boxesWatchPeriod returns how long one read of the source by a reader of that rank waits at most.
func (s *source) watchPeriod(r readerRole) time.Duration {
	switch {
	case s.name == resource.SourceBoxes:
		return boxesWatchPeriod
	case r == roleStandby:
		return standbyWatchPeriod
	default:
		return shortWatchPeriod
	}
}
