package linetiller

import (
	"sync"

	"github.com/linetiller/linetiller/internal/resource"
)

// upstreamIndex holds the addresses of the upstreams in a view. It is rebuilt when it is used after the
// view has changed.
type upstreamIndex struct {
	mutex     sync.Mutex // guards the fields below; the view's lock is taken under it
	addresses map[string]bool
	version   uint64 // of the view
}

// contains reports whether an upstream with an address (IP:port) is in v.
func (x *upstreamIndex) contains(v *resource.View, address string) bool {
	x.mutex.Lock()
	defer x.mutex.Unlock()
	_, current, _ := v.ChangedUpstreams(x.version)
	if x.addresses == nil || current != x.version {
		x.addresses = make(map[string]bool)
		for _, u := range v.Upstreams(func(*resource.Upstream) bool { return true }) {
			x.addresses[u.HostPort()] = true
		}
		x.version = current
	}
	return x.addresses[address]
}
