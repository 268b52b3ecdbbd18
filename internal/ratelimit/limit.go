// Package ratelimit keeps requests to upstreams within the rates that they accept from all boxes
// together: Limits are those that a box knows, an Allocator hands out permits for all boxes, and a
// Limiter takes them for one. It does no I/O.
package ratelimit

import "time"

// Limit is what an upstream was last heard to say of the rate that it accepts from all boxes
// together.
type Limit struct {
	ReportedAt time.Time `cbor:"1,keyasint"`           // when the answer came that says so
	StartedAt  int64     `cbor:"2,keyasint,omitempty"` // when the upstream had started, in Unix milliseconds; 0 where that is not told
	Lifted     bool      `cbor:"3,keyasint,omitempty"` // the answer names no limit any more
	PerSecond  float64   `cbor:"4,keyasint,omitempty"` // requests, as last named
	Upstream   string    `cbor:"5,keyasint"`
}

const (
	// liftDelay is how long a limit holds once an answer names none: answers on different
	// connections may overtake each other.
	liftDelay = 500 * time.Millisecond
	// limitTTL is how long a limit is remembered that no answer confirms.
	limitTTL = time.Hour
	// liftedTTL is how long it is remembered that a limit was lifted, so that a box which has not
	// heard of that cannot bring the limit back.
	liftedTTL = time.Minute
)

// inForce reports whether the limit is in force.
func (l *Limit) inForce(now time.Time) bool {
	return !l.Lifted || now.Sub(l.ReportedAt) < liftDelay
}

// expired reports whether the limit is to be forgotten.
func (l *Limit) expired(now time.Time) bool {
	if l.Lifted {
		return now.Sub(l.ReportedAt) >= liftedTTL
	}
	return now.Sub(l.ReportedAt) >= limitTTL
}

// supersedes reports whether l is to replace what is known: it tells of a later answer. Of two
// answers that name no limit the first one counts.
func (l *Limit) supersedes(known *Limit) bool {
	if l.Lifted && known.Lifted && l.StartedAt == known.StartedAt {
		return false
	}
	return l.ReportedAt.After(known.ReportedAt)
}
