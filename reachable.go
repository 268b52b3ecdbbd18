package linetiller

import (
	"github.com/linetiller/linetiller/internal/resource"
)

// unreachableUpstreams returns those of the upstreams to which no path is known to lead.
func (b *Box) unreachableUpstreams(l []*resource.Upstream) []*resource.Upstream {
	if b.upstreamDialer.AllReachable() {
		return nil
	}
	var unreachable []*resource.Upstream
	for _, u := range l {
		if b.upstreamDialer.Unreachable(u.HostPort()) {
			unreachable = append(unreachable, u)
		}
	}
	return unreachable
}

// upstreamAddresses returns the addresses (IP:port) of all upstreams that take new work.
func (b *Box) upstreamAddresses() []string {
	var addresses []string
	for _, u := range b.view.Upstreams(func(u *resource.Upstream) bool { return !u.IsLeaving() }) {
		addresses = append(addresses, u.HostPort())
	}
	return addresses
}
