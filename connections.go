package linetiller

import (
	"math"
	"net"
	"slices"
	"syscall"
	"time"

	"github.com/linetiller/linetiller/internal/headlimit"
	"github.com/linetiller/linetiller/internal/idle"
	"github.com/linetiller/linetiller/internal/memory"
	"github.com/linetiller/linetiller/internal/metric"
)

const (
	// callerDescriptorShare is the share of the main listener for callers, one of that many descriptors. Each request in
	// progress takes another one for its connection to an upstream.
	callerDescriptorShare = 2
	// controlDescriptorShare is the share of each other listener.
	controlDescriptorShare = 16
)

// maxConnections returns how many connections a listener may have open that may use one of share descriptors, 0 if the
// descriptors are unlimited or their number is unknown.
func (b *Box) maxConnections(share int) int {
	n := b.settings.Limits.Descriptors
	if n == 0 {
		n = processDescriptors()
	}
	if n == 0 || n >= math.MaxInt32 {
		return 0
	}
	return max(1, int(n)/share)
}

// reclaimConnections closes connections of callers without requests until n bytes are released, or none if there are not
// enough of them. It reports whether it did.
func (b *Box) reclaimConnections(n int64) bool { return reclaimFrom(b.callerConnections, n) }

// trackCallers makes the connections of a server of callers part of their account of memory, and returns its listener. The
// connections may use one of share descriptors.
func (b *Box) trackCallers(v endpoint, name string, share int, timeout func() time.Duration) net.Listener {
	c := idle.NewCloser(timeout, idle.WithMaxOpen(b.maxConnections(share)))
	b.callerConnections = append(b.callerConnections, c)
	return b.trackConnections(v, name, b.memory, c)
}

// trackConnections makes the connections of a server, which c closes, and the heads of their requests part of an account of
// memory, and returns its listener.
func (b *Box) trackConnections(v endpoint, name string, a *memory.Account, c *idle.Closer) net.Listener {
	c.OnClose = func(r idle.Reason) { b.metrics.Count(metric.ConnectionsClosed, "reason", string(r)) }
	c.Reserve = func() (func(), bool) {
		r, err := a.Reserve(memory.ConnectionBytes)
		return r.Release, err == nil
	}
	c.Attach(v.server)
	l := headlimit.NewLimiter(a)
	l.OnShort = func() { b.metrics.Count(metric.ConnectionsClosed, "reason", "head") }
	l.Attach(v.server)
	b.metrics.GaugeOf(metric.Connections, "listener", name, func() float64 { return float64(c.Count()) })
	if v.listener == nil {
		return nil
	}
	return l.Listen(v.listener)
}

// trackControl gives a server that is not for callers an account of memory of its own, so that neither they nor the
// clients of another such server displace its clients, and returns its listener.
func (b *Box) trackControl(v endpoint, name string) net.Listener {
	a := memory.NewAccount(memory.ControlLimit(b.memory.Limit()))
	c := idle.NewCloser(connectionIdleTimeout, idle.WithMaxOpen(b.maxConnections(controlDescriptorShare)))
	a.Reclaim = func(n int64) bool { return reclaimFrom([]*idle.Closer{c}, n) }
	return b.trackConnections(v, name, a, c)
}

// processDescriptors returns how many descriptors the system allows the process to have open, 0 if that is unknown.
func processDescriptors() float64 {
	var l syscall.Rlimit
	if syscall.Getrlimit(syscall.RLIMIT_NOFILE, &l) != nil {
		return 0
	}
	return float64(l.Cur)
}

// reclaimFrom closes connections of some servers in the same way.
func reclaimFrom(l []*idle.Closer, n int64) bool {
	wanted := int((n + memory.ConnectionBytes - 1) / memory.ConnectionBytes)
	closable := 0
	for _, c := range l {
		closable += c.Closable()
	}
	if closable < wanted {
		return false
	}
	for range wanted {
		if !slices.ContainsFunc(l, (*idle.Closer).CloseOne) {
			return false // others have become active or were closed in between
		}
	}
	return true
}
