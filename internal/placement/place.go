package placement

import (
	"time"

	"github.com/linetiller/linetiller/internal/resource"
)

// Place is permission to start a generation at an upstream.
type Place struct {
	GrantedAt time.Time // a place must be used soon after; see Stale
	Upstream  *resource.Upstream
}

// placeTTL is how long a place may be used after it was granted.
const placeTTL = time.Second

// Stale reports whether the place is too old to be used.
func (p *Place) Stale(now time.Time) bool {
	return now.Sub(p.GrantedAt) > placeTTL
}
