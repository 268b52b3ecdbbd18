package linetiller

import (
	"math"

	"github.com/linetiller/linetiller/internal/policy"
	"github.com/linetiller/linetiller/internal/resource"
)

// coldCapacity returns how many requests per second a plain upstream without an owner may get from
// all boxes together while it is cold, including the configured overage and slack; 0 means no
// limit.
func (b *Box) coldCapacity(u *resource.Upstream) float64 {
	n := u.ColdPerSecond()
	if n <= 0 {
		return 0
	}
	c := b.settings.Cold
	return n*c.Overage + c.Slack
}

// coldShare returns how many requests per second this box may send to a cold upstream: its share of
// coldCapacity.
func (b *Box) coldShare(u *resource.Upstream) int {
	n := b.coldCapacity(u)
	if n <= 0 {
		return math.MaxInt
	}
	return policy.ColdShare(u.Name, b.settings.Box, b.members.Active(""), n)
}
