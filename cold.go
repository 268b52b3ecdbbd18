package linetiller

import (
	"math"

	"github.com/linetiller/linetiller/internal/policy"
	"github.com/linetiller/linetiller/internal/resource"
)

// coldMost returns how many requests a second this box may send to a plain upstream, which
// has no owner, while that is cold.
func (b *Box) coldMost(u *resource.Upstream) int {
	n := u.ColdPerSecond()
	if n <= 0 {
		return math.MaxInt
	}
	c := b.settings.Cold
	return policy.ColdShare(u.Name, b.settings.Box, b.members.Alive(""), n*c.Overage+c.Slack)
}
