package configuration

import (
	"sync/atomic"
	"time"

	"github.com/linetiller/linetiller/internal/resource"
)

// source is a source that the follower reads.
type source struct {
	readRevision atomic.Int64 // the store's revision up to which this box has read
	recoveredAt  atomicTime   // when the source could be read again after an outage of the store
	unconfirmed  atomic.Bool  // neither the current read nor its hedge has had a response yet
	waitEndsAt   atomicTime   // when the wait of the read in progress ends; zero if there is none
	failures     atomic.Int64 // consecutive failed reads; one that timed out counts as several
	name         resource.Source
	read         Reader
	readAt       atomicTime // time of the last successful read
}

const (
	// readInterval is the pause between two reads by any reader but the standby. Changes come in
	// groups, and reads are billed.
	readInterval = 80 * time.Millisecond
	// standbyReadInterval is the same for the standby, whose results matter only while the
	// primary's reads stall without being noticed. A change must take effect within 2 s.
	standbyReadInterval = 500 * time.Millisecond
	// maxRetryDelay limits the delay after a failure. It ends early when another source recovers.
	maxRetryDelay = 2 * time.Second
	// probeMaxRetryDelay is the same for the primary's reads of the probe, the list of upstreams,
	// which detect that the store responds again. Entries that expired during an outage return
	// within 2 s of its end.
	probeMaxRetryDelay = time.Second
	// substituteMaxRetryDelay is the same for readers other than the primary. The store may serve
	// them and not the primary, but mostly it serves nobody, and they learn at once when the
	// primary can read again.
	substituteMaxRetryDelay = 3 * time.Second
	// boxesWatchPeriod is how long a read of the list of boxes waits for changes. Reads are billed.
	// A read whose connection is lost for too short a time to be detected otherwise ends only after
	// this period.
	boxesWatchPeriod = 15 * time.Second
	// shortWatchPeriod is the same for the sources that decide about requests. It limits how late
	// the loss of a single response is detected.
	shortWatchPeriod = 2 * time.Second
	// standbyWatchPeriod is the same for the standby.
	standbyWatchPeriod = 7 * time.Second
	// confirmPeriod is the time within which some read of the primary must end its wait. It limits
	// how late it is detected that its connections no longer carry data.
	confirmPeriod = time.Second
	// substituteConfirmPeriod is the same for substitutes, of which there are two or more at a
	// time.
	substituteConfirmPeriod = 1200 * time.Millisecond
)

// maxRetryDelay returns the longest delay after a failed read in a role.
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

// readInterval returns the pause between two reads in a role.
func (s *source) readInterval(r readerRole) time.Duration {
	if r == roleStandby {
		return standbyReadInterval
	}
	return readInterval
}

// unavailable reports whether recent reads of the source failed, not counting a single one that
// failed at once.
func (s *source) unavailable() bool {
	return s.failures.Load() >= failuresUntilUnavailable
}

// confirmPeriodFor returns the time within which some read in a role must end its wait.
func confirmPeriodFor(r readerRole) time.Duration {
	if r == roleSubstitute {
		return substituteConfirmPeriod
	}
	return confirmPeriod
}

// watchPeriod returns the longest time that a read of the source in a role waits for changes.
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
