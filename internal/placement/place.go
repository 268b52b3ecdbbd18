package placement

import (
	"time"

	"github.com/linetiller/linetiller/internal/resource"
)

// Place is an upstream at which a generation may start.
type Place struct {
	GrantedAt time.Time // when; a place is for using at once
	Upstream  *resource.Upstream
}

// placeTTL is how long a place may be used after it was given.
const placeTTL = time.Second

// Stale reports whether the place is too old to be used.
func (p *Place) Stale(now time.Time) bool {
	return now.Sub(p.GrantedAt) > placeTTL
}
