package httpclient

import "sync/atomic"

// bodyProgress is how much of a request's body has been read to be sent. It is safe for concurrent use.
type bodyProgress struct {
	ended  atomic.Bool
	length int64 // -1 if unknown
	read   atomic.Int64
}

// complete reports whether the body has been read to its end.
func (p *bodyProgress) complete() bool {
	return p.ended.Load() || (p.length >= 0 && p.read.Load() >= p.length)
}
