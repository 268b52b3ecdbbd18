package ratelimit

import "time"

// PermitRequest is a request for permits, sent to the upstream's allocator.
type PermitRequest struct {
	ColdRate  float64   `cbor:"6,keyasint,omitempty"` // requests per second that the upstream sustains while cold; 0 if it is not cold
	NoForward bool      `cbor:"1,keyasint,omitempty"` // do not forward to the allocator: this request was forwarded already, or the allocator does not answer
	Limit     Limit     `cbor:"2,keyasint"`           // as the requesting box knows it; ReportedAt is zero if the upstream has none
	Urgent    bool      `cbor:"3,keyasint,omitempty"` // the upstream request fails without a permit, because no other upstream can take it
	WaitUntil time.Time `cbor:"4,keyasint,omitzero"`  // a permit that becomes valid by then is accepted; zero if only an immediate one is
	Want      int       `cbor:"5,keyasint"`           // permits that the box could use at once
}

// Grant is the answer to a PermitRequest.
type Grant struct {
	Count   int       `cbor:"1,keyasint,omitempty"` // permits granted; 0 if refused
	From    time.Time `cbor:"2,keyasint,omitzero"`  // start of the permits' validity
	RetryAt time.Time `cbor:"3,keyasint,omitzero"`  // when to send another request, if refused
	Until   time.Time `cbor:"4,keyasint,omitzero"`  // end of the permits' validity
}

// rateAndBurst returns the rate at which permits may be granted, per second, and the capacity of the
// token bucket. A cold upstream's rate is its own limit or coldPermitShare of ColdRate, whichever is
// lower.
func (q *PermitRequest) rateAndBurst() (rate, burst float64) {
	rate = max(q.Limit.PerSecond, probesPerSecond)
	burst = minBurst + rate*burstPeriod.Seconds()
	if c := coldPermitShare * q.ColdRate; c > 0 && (q.Limit.ReportedAt.IsZero() || c < rate) {
		return c, 1
	}
	return rate, burst
}
