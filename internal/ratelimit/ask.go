package ratelimit

import "time"

// PermitRequest asks for permits.
type PermitRequest struct {
	ColdRate  float64   `cbor:"6,keyasint,omitempty"` // requests a second that the upstream bears while it is cold; 0 where it is not
	NoForward bool      `cbor:"1,keyasint,omitempty"` // not to be passed on to the box that should allocate them: it was, or that box does not answer
	Limit     Limit     `cbor:"2,keyasint"`           // as the asking box knows it; At is zero where the upstream has none
	Urgent    bool      `cbor:"3,keyasint,omitempty"` // the request has nowhere else to go, and is lost without
	WaitUntil time.Time `cbor:"4,keyasint,omitzero"`  // a permit for a time up to then is of use, too; zero where none is
	Want      int       `cbor:"5,keyasint"`           // permits that the box would use at once
}

// Grant answers an Ask.
type Grant struct {
	Count   int       `cbor:"1,keyasint,omitempty"` // permits; 0 where there are none
	From    time.Time `cbor:"2,keyasint,omitzero"`  // before that they are not to be used
	RetryAt time.Time `cbor:"3,keyasint,omitzero"`  // where there are none: when to ask again
	Until   time.Time `cbor:"4,keyasint,omitzero"`  // after that they are not to be used
}

// rateAndBurst returns the rate, in requests a second, that the upstream accepts, and how many permits may be
// saved up.
func (q *PermitRequest) rateAndBurst() (rate, burst float64) {
	rate = max(q.Limit.PerSecond, probesPerSecond)
	burst = minBurst + rate*burstPeriod.Seconds()
	if c := coldShare * q.ColdRate; c > 0 && (q.Limit.ReportedAt.IsZero() || c < rate) {
		return c, 1
	}
	return rate, burst
}
