package linetiller

import (
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/linetiller/linetiller/internal/idle"
	"github.com/linetiller/linetiller/internal/memory"
)

// TestIdleConnectionsAreClosedOnlyIfThatIsEnough guards against a box that closes all idle connections for a body that
// does not fit even then.
func TestIdleConnectionsAreClosedOnlyIfThatIsEnough(t *testing.T) {
	b := &Box{memory: memory.NewAccount(10 * memory.ConnectionBytes)}
	b.memory.Reclaim = b.reclaimConnections
	for range 2 {
		c := idle.NewCloser(func() time.Duration { return 0 })
		c.Reserve = func() (func(), bool) {
			r, err := b.memory.Reserve(memory.ConnectionBytes)
			return r.Release, err == nil
		}
		b.callerConnections = append(b.callerConnections, c)
		for range 3 {
			n, _ := net.Pipe()
			c.Track(n, http.StateNew)
			c.Track(n, http.StateActive)
			c.Track(n, http.StateIdle)
		}
	}
	// Reservations for four and seven connections are large, and leave a quarter of the account free.
	for _, x := range []struct {
		connections int64 // whose memory is requested
		fits        bool
		left        int // idle connections
	}{{4, true, 3}, {7, false, 3}, {2, true, 3}, {2, true, 2}, {2, true, 0}, {1, false, 0}} {
		_, err := b.memory.Reserve(x.connections * memory.ConnectionBytes)
		if got := err == nil; got != x.fits {
			t.Errorf("%+v: got a reservation %v", x, got)
		}
		left := 0
		for _, c := range b.callerConnections {
			left += c.Closable()
		}
		if left != x.left {
			t.Errorf("%+v: got %d idle connections left", x, left)
		}
	}
}
