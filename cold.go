package linetiller

import (
	"math"

	"github.com/linetiller/linetiller/internal/policy"
	"github.com/linetiller/linetiller/internal/resource"
)

// coldCapacity returns how many requests a second a plain upstream, which has no owner, bears from all
// boxes while it is cold; 0 is no bound.
func (b *Box) coldCapacity(u *resource.Upstream) float64 {
	n := u.ColdPerSecond()
	if n <= 0 {
		return 0
	}
	c := b.settings.Cold
	return n*c.Overage + c.Slack
}

// coldShare returns how many of them this box may send.
func (b *Box) coldShare(u *resource.Upstream) int {
	n := b.coldCapacity(u)
	if n <= 0 {
		return math.MaxInt
	}
	return policy.ColdShare(u.Name, b.settings.Box, b.members.Alive(""), n)
}
