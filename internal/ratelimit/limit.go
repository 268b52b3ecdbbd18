// Package ratelimit keeps requests to upstreams within the rate that each upstream accepts from all
// boxes together. Limits holds the limits that a box knows, an Allocator grants permits to all
// boxes, and a Limiter takes permits for one box. The package does no I/O.
package ratelimit

import "time"

// Limit is the request rate, over all boxes together, that an upstream last announced.
type Limit struct {
	ReportedAt  time.Time `cbor:"1,keyasint"`           // when the answer that announced it arrived
	StartedAtMS int64     `cbor:"2,keyasint,omitempty"` // start time of the upstream instance, in Unix milliseconds; 0 if unknown
	Lifted      bool      `cbor:"3,keyasint,omitempty"` // the answer announced no limit although earlier ones did
	PerSecond   float64   `cbor:"4,keyasint,omitempty"` // requests per second, as last announced
	Upstream    string    `cbor:"5,keyasint"`
}

const (
	// liftDelay is how long a limit stays in force after an answer without one. Answers on
	// different connections may arrive out of order.
	liftDelay = 500 * time.Millisecond
	// limitTTL is how long a limit is kept if no answer confirms it.
	limitTTL = time.Hour
	// liftedTTL is how long a lifted limit is kept. Meanwhile a box that has not learned that the
	// limit was lifted cannot reintroduce it.
	liftedTTL = time.Minute
)

// expired reports whether the limit is too old to be kept.
func (l *Limit) expired(now time.Time) bool {
	if l.Lifted {
		return now.Sub(l.ReportedAt) >= liftedTTL
	}
	return now.Sub(l.ReportedAt) >= limitTTL
}

// inForce reports whether the limit applies. A lifted limit still does for liftDelay.
func (l *Limit) inForce(now time.Time) bool {
	return !l.Lifted || now.Sub(l.ReportedAt) < liftDelay
}

// supersedes reports whether l should replace the known limit because it comes from a later answer.
// Of several answers without a limit the first one counts.
func (l *Limit) supersedes(old *Limit) bool {
	if l.Lifted && old.Lifted && l.StartedAtMS == old.StartedAtMS {
		return false
	}
	return l.ReportedAt.After(old.ReportedAt)
}
