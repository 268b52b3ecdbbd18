package linetiller

import (
	"context"
	"net"
	"sync/atomic"

	"github.com/linetiller/linetiller/internal/httpclient"
)

// upstreamSource opens connections to upstreams from an address that can be changed. It is safe for
// concurrent use.
type upstreamSource struct {
	address atomic.Pointer[net.TCPAddr] // nil for any
}

// dial opens a connection, as net.Dialer.DialContext does.
func (s *upstreamSource) dial(ctx context.Context, network, address string) (net.Conn, error) {
	d := new(net.Dialer)
	if a := s.address.Load(); a != nil {
		d.LocalAddr = a
	}
	return httpclient.Dial(d)(ctx, network, address)
}

// set sets the IP address from which later connections are opened; "" stands for any.
func (s *upstreamSource) set(ip string) {
	if ip == "" {
		s.address.Store(nil)
		return
	}
	s.address.Store(&net.TCPAddr{IP: net.ParseIP(ip)})
}
