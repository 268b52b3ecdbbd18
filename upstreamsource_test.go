package linetiller

import (
	"net"
	"testing"
)

// TestUpstreamSource checks that connections are opened from the address that was set last.
func TestUpstreamSource(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = l.Close() }()
	var s upstreamSource
	for _, x := range []struct {
		ip, want string // the address of this end; "" for no connection
	}{{"", "127.0.0.1"}, {"127.0.0.2", "127.0.0.2"}, {"192.0.2.1", ""}, {"", "127.0.0.1"}} {
		s.set(x.ip)
		got := ""
		if c, err := s.dial(t.Context(), "tcp", l.Addr().String()); err == nil {
			got, _, _ = net.SplitHostPort(c.LocalAddr().String())
			_ = c.Close()
		}
		if got != x.want {
			t.Errorf("source %q: got %q, want %q", x.ip, got, x.want)
		}
	}
}
