//go:build !race || whole

package linetiller

import (
	"fmt"
	"maps"
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	fakeplatform "github.com/linetiller/linetiller/internal/fake/platform"
	"github.com/linetiller/linetiller/internal/fake/routed"
)

// withLargeHalls runs f with halls of four boxes each, and one engine in hall a.
func withLargeHalls(t *testing.T, halls string, f func(t *testing.T, r *routedRegion)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		r := &routedRegion{region: newRegion(t), upstreams: make(map[string]*routed.Engine)}
		defer r.close()
		r.configure(1, routedKey)
		r.startUpstream("i-a1")
		for _, h := range halls {
			for i := range 4 {
				r.startEntryBox(fmt.Sprintf("box-%c%d", h, i+1))
			}
		}
		time.Sleep(10 * time.Second)
		f(t, r)
	})
}

// storeCalls returns how many store calls each box has made.
func (r *region) storeCalls() map[string]int {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	return maps.Clone(r.storeCallCounts)
}

// firstReader returns the first reader, which reads the store for all boxes: the box that calls the
// store most.
func (r *region) firstReader() string {
	before := r.storeCalls()
	time.Sleep(20 * time.Second)
	reader, maxCalls := "", 0
	for n, c := range r.storeCalls() {
		if c -= before[n]; c > maxCalls {
			reader, maxCalls = n, c
		}
	}
	return reader
}

// storeCallsDuring returns how many store calls all boxes make in a period.
func (r *region) storeCallsDuring(d time.Duration) int {
	total := func() int {
		n := 0
		for _, c := range r.storeCalls() {
			n += c
		}
		return n
	}
	before := total()
	time.Sleep(d)
	return total() - before
}

// checkLeavingKnown checks that after a period every box, but for one, knows that an engine is
// leaving.
func (r *routedRegion) checkLeavingKnown(t *testing.T, engine, except string, d time.Duration) {
	t.Helper()
	time.Sleep(d)
	for n, b := range r.boxes {
		if u := b.view.Upstream(engine); n != except && u != nil && u.AcceptsWork(time.Now()) {
			t.Errorf("%s: %v after its shutdown notice the engine is still used", n, d)
		}
	}
}

// TestCallsDoNotGrowWithHalls checks the number of store calls in steady state, with one hall and
// with five.
func TestCallsDoNotGrowWithHalls(t *testing.T) {
	for _, halls := range []string{"a", "abcde"} {
		withLargeHalls(t, halls, func(t *testing.T, r *routedRegion) {
			if got, maxWant := r.storeCallsDuring(time.Minute), 90; got > maxWant {
				t.Errorf("halls %s: got %d calls in a minute, want at most %d", halls, got, maxWant)
			}
		})
	}
}

// TestOutageCostsFewCalls checks the number of store calls in an outage of 8 s, and that a change
// is in force soon after it. Boxes read a single source to notice the store's return, and wait
// longer the lower they rank among the readers.
func TestOutageCostsFewCalls(t *testing.T) {
	withLargeHalls(t, "abcde", func(t *testing.T, r *routedRegion) {
		r.platform.SetFaults(fakeplatform.Faults{Down: true})
		if got, maxWant := r.storeCallsDuring(8*time.Second), 70; got > maxWant {
			t.Errorf("got %d calls in 8 s, want at most %d", got, maxWant)
		}
		r.platform.SetFaults(fakeplatform.Faults{})
		time.Sleep(2 * time.Second)
		r.configure(2, "new-key")
		time.Sleep(time.Second)
		for n := range r.boxes {
			if _, _, status := r.streamPlan(n, "id-"+n, routedKey, 8); status != http.StatusUnauthorized {
				t.Errorf("%s: a revoked key after the return: got status %d, want 401", n, status)
			}
		}
	})
}

// TestFirstReaderFreezes pauses the first reader and then has an engine give its shutdown notice:
// all other boxes know of it within 1.5 s.
func TestFirstReaderFreezes(t *testing.T) {
	withLargeHalls(t, "abc", func(t *testing.T, r *routedRegion) {
		reader := r.firstReader()
		r.setPaused(reader, true)
		time.Sleep(50 * time.Millisecond)
		r.listUpstream("i-a1", "draining")
		r.checkLeavingKnown(t, "i-a1", reader, 1500*time.Millisecond)
		r.setPaused(reader, false)
	})
}

// TestFirstReaderIsTurnedAway has the store refuse the first reader, and then an engine give its
// shutdown notice: all boxes know of it within 0.5 s, and store calls stay few.
func TestFirstReaderIsTurnedAway(t *testing.T) {
	withLargeHalls(t, "abcde", func(t *testing.T, r *routedRegion) {
		reader := r.firstReader()
		r.refuseBoxes(reader)
		time.Sleep(3 * time.Second)
		r.listUpstream("i-a1", "draining")
		r.checkLeavingKnown(t, "i-a1", "", 500*time.Millisecond)
		if got, maxWant := r.storeCallsDuring(20*time.Second), 80; got > maxWant {
			t.Errorf("got %d calls in 20 s, want at most %d", got, maxWant)
		}
	})
}

// TestSlowStoreCostsFewCalls guards against a multiple of the usual store calls where each answer
// takes longer than the timeout after which a reader repeats a read and other boxes read in its
// place: boxes adapt the timeout, so the delay causes extra calls only once.
func TestSlowStoreCostsFewCalls(t *testing.T) {
	for _, delay := range []int{200, 400, 600, 900} {
		withLargeHalls(t, "abc", func(t *testing.T, r *routedRegion) {
			r.platform.SetFaults(fakeplatform.Faults{DelayMilliseconds: delay})
			if got, maxWant := r.storeCallsDuring(20*time.Second), 120; got > maxWant {
				t.Errorf("answers after %d ms: got %d calls in 20 s, want at most %d", delay, got, maxWant)
			}
			if got, maxWant := r.storeCallsDuring(20*time.Second), 40; got > maxWant {
				t.Errorf("answers after %d ms: got %d calls in the next 20 s, want at most %d", delay, got, maxWant)
			}
		})
	}
}
