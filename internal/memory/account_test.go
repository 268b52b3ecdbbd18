package memory

import (
	"errors"
	"math/rand/v2"
	"sync"
	"testing"
)

// TestReservationsStayWithinTheLimit reserves and releases at random from many goroutines: no more than the limit is ever
// reserved, and nothing is in the end.
func TestReservationsStayWithinTheLimit(t *testing.T) {
	const limit = 1 << 20
	a := NewAccount(limit)
	var g sync.WaitGroup
	for i := range 8 {
		g.Go(func() {
			x := rand.New(rand.NewPCG(1, uint64(i)))
			for range 2000 {
				r, err := a.Reserve(x.Int64N(limit / 2))
				if err != nil {
					continue
				}
				if r.Grow(x.Int64N(limit/4)) == nil {
					r.Shrink(1)
				}
				if got := a.Reserved(); got > limit {
					t.Errorf("reserved: got %d, want at most %d", got, limit)
				}
				r.Release()
				r.Release()
			}
		})
	}
	g.Wait()
	if got := a.Reserved(); got != 0 {
		t.Errorf("reserved in the end: got %d, want 0", got)
	}
}

// TestLargeReservationsLeaveRoomForSmallOnes fills an account with large reservations: small ones still succeed.
func TestLargeReservationsLeaveRoomForSmallOnes(t *testing.T) {
	const limit = 40 << 20
	a := NewAccount(limit)
	large := 0
	for ; ; large++ {
		if _, err := a.Reserve(1 << 20); err != nil {
			break
		}
	}
	if got, want := large, 30; got != want {
		t.Errorf("large reservations: got %d, want %d", got, want)
	}
	small := 0
	for ; ; small++ {
		if _, err := a.Reserve(smallBytes); err != nil {
			break
		}
	}
	if got, want := small, 160; got != want {
		t.Errorf("small reservations beside them: got %d, want %d", got, want)
	}
}

// TestReclaim checks that memory is reclaimed only if there is no room and it is enough, and that a lack of memory is
// reported.
func TestReclaim(t *testing.T) {
	a := NewAccount(100)
	idle, err := a.Reserve(40)
	if err != nil {
		t.Fatal(err)
	}
	reclaimed, short := 0, 0
	a.OnShort = func() { short++ }
	a.Reclaim = func(n int64) bool {
		if idle == nil || n > 40 {
			return false
		}
		idle.Release()
		idle = nil
		reclaimed++
		return true
	}
	for i, c := range []struct {
		bytes int64
		fits  bool
	}{{50, true}, {60, false}, {50, true}, {50, false}} {
		want := []int{0, 0, 1, 1}[i]
		if _, err := a.Reserve(c.bytes); errors.Is(err, ErrShort) == c.fits {
			t.Errorf("reservation %d: got error %v", i, err)
		}
		if reclaimed != want {
			t.Errorf("reservation %d: reclaimed %d times, want %d", i, reclaimed, want)
		}
	}
	if got, want := short, 2; got != want {
		t.Errorf("times without room: got %d, want %d", got, want)
	}
}

// TestLimitsOfSmallAndLargeProcesses checks the shares of a process's memory.
func TestLimitsOfSmallAndLargeProcesses(t *testing.T) {
	for _, c := range []struct {
		mb                float64
		runtime, callerMB int64 // in MiB, rounded down
	}{
		{0, 0, 0}, {-1, 0, 0}, {1e300, 0, 0}, {16, 8, 4}, {134, 97, 58}, {284, 225, 135},
	} {
		if got, want := RuntimeLimit(c.mb)/mebibyte, c.runtime; got != want {
			t.Errorf("runtime limit of %g MiB: got %d MiB, want %d", c.mb, got, want)
		}
		if got, want := CallerLimit(c.mb)/mebibyte, c.callerMB; got != want {
			t.Errorf("limit of callers of %g MiB: got %d MiB, want %d", c.mb, got, want)
		}
	}
}
