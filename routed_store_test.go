//go:build !race || whole

package linetiller

import (
	"fmt"
	"net"
	"net/http"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	fakeplatform "github.com/linetiller/linetiller/internal/fake/platform"
	"github.com/linetiller/linetiller/internal/fake/routed"
	"github.com/linetiller/linetiller/internal/metric"
	"github.com/linetiller/linetiller/internal/resource"
	"github.com/linetiller/linetiller/internal/settings"
)

// errRefused is the error of a call that the store refuses.
var errRefused = &net.OpError{Op: "dial", Net: "link", Err: fmt.Errorf("refused by the store")}

// refuseBoxes makes the store refuse the calls of boxes.
func (r *routedRegion) refuseBoxes(boxes ...string) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	for _, b := range boxes {
		r.refusedBoxes[b] = true
	}
}

// TestNoticeWhileTheStoreIsAway checks that boxes act on an engine's own load report that it is
// leaving while the platform's list of upstreams is unavailable, also those that never read the
// list.
func TestNoticeWhileTheStoreIsAway(t *testing.T) {
	withRoutedRegion(t, func(t *testing.T, r *routedRegion) {
		r.platform.SetFaults(fakeplatform.Faults{Down: true})
		time.Sleep(5 * time.Second)
		var g sync.WaitGroup
		for _, b := range []string{"box-a1", "box-a2"} {
			g.Go(func() {
				if events, complete, _ := r.streamPlan(b, "id-"+b, routedKey, 1600); events != 400 || !complete {
					t.Errorf("%s: got %d events, complete %v; want 400, complete", b, events, complete)
				}
			})
		}
		time.Sleep(2 * time.Second)
		r.upstreams["i-a1"].Leave()
		r.upstreams["i-a2"].Leave()
		time.Sleep(1600 * time.Millisecond)
		for _, n := range []string{"i-a1", "i-a2"} {
			r.upstreams[n].Crash()
			r.link.SetDown(upstreamAddress(n), true)
		}
		g.Wait()
	})
}

// TestBoxesThatDoNotReadHearThatTheStoreIsAway checks that every box of a hall of five learns that
// the list of upstreams cannot be read, and that it can be read again: each box owns upstreams,
// whose load reports it reads more often meanwhile.
func TestBoxesThatDoNotReadHearThatTheStoreIsAway(t *testing.T) {
	withRoutedRegion(t, func(t *testing.T, r *routedRegion) {
		for _, n := range []string{"box-a3", "box-a4", "box-a5"} {
			r.startEntryBox(n)
		}
		time.Sleep(5 * time.Second)
		for _, x := range []struct {
			down bool
			wait time.Duration
		}{{true, 5 * time.Second}, {true, 30 * time.Second}, {false, 3 * time.Second}} {
			r.platform.SetFaults(fakeplatform.Faults{Down: x.down})
			time.Sleep(x.wait)
			for n, b := range r.boxes {
				if got := b.follower.ListUnavailable(); got != x.down {
					t.Errorf("%s: store down %v, %v later: list of upstreams unavailable: got %v", n, x.down, x.wait, got)
				}
			}
		}
	})
}

// TestStoreTurnsBoxesAway has the store refuse all boxes but one: the others still learn of a key
// that was revoked, of one that was added and of a shutdown notice.
func TestStoreTurnsBoxesAway(t *testing.T) {
	withRoutedRegion(t, func(t *testing.T, r *routedRegion) {
		r.refuseBoxes("box-a1", "box-a2", "box-b1")
		time.Sleep(3 * time.Second)
		r.configure(2, "new-key")
		r.listUpstream("i-a1", "draining")
		time.Sleep(2 * time.Second)
		for n, b := range r.boxes {
			if _, _, status := r.streamPlan(n, "old-"+n, routedKey, 40); status != http.StatusUnauthorized {
				t.Errorf("%s: the old key: got status %d, want 401", n, status)
			}
			if _, complete, status := r.streamPlan(n, "new-"+n, "new-key", 40); !complete {
				t.Errorf("%s: the new key: got status %d, want a complete stream", n, status)
			}
			if u := b.view.Upstream("i-a1"); u != nil && u.AcceptsWork(time.Now()) {
				t.Errorf("%s: the engine is still used after its shutdown notice", n)
			}
		}
	})
}

// TestBoxStartsWhileTheStoreIsAway replaces a box during an outage of the store: its neighbours send
// it the configuration and the list of upstreams. Until then it may refuse requests.
func TestBoxStartsWhileTheStoreIsAway(t *testing.T) {
	withRoutedRegion(t, func(t *testing.T, r *routedRegion) {
		r.platform.SetFaults(fakeplatform.Faults{Down: true})
		r.kill("box-a2")
		time.Sleep(time.Second)
		r.link.SetDown("box-a2", false)
		r.startEntryBox("box-a2")
		if _, _, status := r.streamPlan("box-a2", "early", routedKey, 40); status != http.StatusServiceUnavailable && status != http.StatusOK {
			t.Errorf("at once: got status %d, want 503 or 200", status)
		}
		time.Sleep(10 * time.Second)
		if _, complete, status := r.streamPlan("box-a2", "late", routedKey, 40); !complete {
			t.Errorf("after 10 s: got status %d, want a complete stream", status)
		}
	})
}

// TestFewBoxesReadTheListAsAllStart restarts eight boxes of a hall at once: only the hall's readers
// read the list of upstreams, and yet all boxes serve within two seconds.
func TestFewBoxesReadTheListAsAllStart(t *testing.T) {
	withRoutedRegion(t, func(t *testing.T, r *routedRegion) {
		names := []string{"box-a1", "box-a2", "box-a3", "box-a4", "box-a5", "box-a6", "box-a7", "box-a8"}
		for _, n := range names[2:] {
			r.startEntryBox(n)
		}
		time.Sleep(5 * time.Second)
		for _, n := range names {
			r.kill(n)
		}
		time.Sleep(time.Second)
		before := r.platform.FullReads("servers")
		for _, n := range names {
			r.link.SetDown(n, false)
			r.startEntryBox(n)
		}
		time.Sleep(2 * time.Second)
		if got, want := r.platform.FullReads("servers")-before, 2; got > want {
			t.Errorf("full reads of the list: got %d, want at most %d", got, want)
		}
		for _, n := range names {
			if _, complete, status := r.streamPlan(n, "id-"+n, routedKey, 40); !complete {
				t.Errorf("%s: got status %d, want a complete stream", n, status)
			}
		}
	})
}

// TestBoxesOfAFirstStartTellEachOther starts 24 boxes of three halls within 0.3 s, with the setting
// for a first start: each writes its row, and few read anything.
func TestBoxesOfAFirstStartTellEachOther(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := &routedRegion{region: newRegion(t), upstreams: make(map[string]*routed.Engine)}
		defer r.close()
		r.configure(1, routedKey)
		r.startUpstream("i-a1")
		before := r.platform.Counters().Writes
		var names []string
		for i := range 24 {
			names = append(names, fmt.Sprint("box-", string("abc"[i%3]), i+1))
			r.startEntryBox(names[i], func(s *settings.Settings) { s.FirstStart = true })
			time.Sleep(12 * time.Millisecond)
		}
		time.Sleep(5 * time.Second)
		c := r.platform.Counters()
		if got, want := c.Writes-before, int64(24); got != want {
			t.Errorf("writes: got %d, want %d, a row each", got, want)
		}
		if got, maxWant := c.Reads, int64(24); got > maxWant {
			t.Errorf("reads: got %d, want at most %d", got, maxWant)
		}
		for _, n := range names {
			if _, complete, status := r.streamPlan(n, "id-"+n, routedKey, 40); !complete {
				t.Errorf("%s: got status %d, want a complete stream", n, status)
			}
			if got := r.boxes[n].members.Count(); got != 24 {
				t.Errorf("%s: got %d boxes known, want 24", n, got)
			}
		}
	})
}

// TestFewBoxesReadTheListOnTheFirstStart starts eight boxes of a hall, which have no rows in the
// store yet, within 0.3 s: only the hall's readers read the list of upstreams.
func TestFewBoxesReadTheListOnTheFirstStart(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := &routedRegion{region: newRegion(t), upstreams: make(map[string]*routed.Engine)}
		defer r.close()
		r.configure(1, routedKey)
		r.startUpstream("i-a1")
		var names []string
		for i := range 8 {
			names = append(names, fmt.Sprint("box-a", i+1))
			r.startEntryBox(names[i])
			time.Sleep(40 * time.Millisecond)
		}
		time.Sleep(3 * time.Second)
		if got, want := r.platform.FullReads("servers"), 2; got > want {
			t.Errorf("full reads of the list: got %d, want at most %d", got, want)
		}
		for _, n := range names {
			if _, complete, status := r.streamPlan(n, "id-"+n, routedKey, 40); !complete {
				t.Errorf("%s: got status %d, want a complete stream", n, status)
			}
		}
	})
}

// TestEntriesLapseWithTheStore removes the entries of all engines as the store comes back from an
// outage, and writes them again 1.5 s later: no request is refused meanwhile.
func TestEntriesLapseWithTheStore(t *testing.T) {
	withRoutedRegion(t, func(t *testing.T, r *routedRegion) {
		r.platform.SetFaults(fakeplatform.Faults{Down: true})
		time.Sleep(5 * time.Second)
		for n := range r.upstreams {
			r.platform.Remove("servers/" + n)
		}
		r.platform.SetFaults(fakeplatform.Faults{})
		backAt := time.Now()
		time.AfterFunc(1500*time.Millisecond, func() {
			for n := range r.upstreams {
				r.listUpstream(n, "ready")
			}
		})
		for i := 0; time.Since(backAt) < 4*time.Second; i++ {
			id := fmt.Sprint("id-", i)
			if _, complete, status := r.streamPlan("box-a1", id, routedKey, 8); !complete {
				t.Errorf("%s after the store's return: got status %d, want a complete stream", time.Since(backAt), status)
			}
		}
	})
}

// TestReadersAreFewAndCallsRare checks the number of store calls in steady state.
func TestReadersAreFewAndCallsRare(t *testing.T) {
	withRoutedRegion(t, func(t *testing.T, r *routedRegion) {
		before := r.platform.Counters()
		const period = 60 // seconds
		time.Sleep(period * time.Second)
		after := r.platform.Counters()
		if got, maxWant := float64(after.Reads-before.Reads)/period, 2.5; got > maxWant {
			t.Errorf("reads a second: got %.2f, want at most %.1f", got, maxWant)
		}
		if got := after.Writes - before.Writes; got != 0 {
			t.Errorf("writes: got %d, want none", got)
		}
	})
}

// TestFreshBoxBelievesTheNewestConfiguration guards against a box that starts without access to the
// store and uses an older configuration than its neighbours.
func TestFreshBoxBelievesTheNewestConfiguration(t *testing.T) {
	withRoutedRegion(t, func(t *testing.T, r *routedRegion) {
		r.configure(2, "new-key")
		time.Sleep(time.Second)
		r.refuseBoxes("box-b2")
		r.kill("box-b2")
		r.link.SetDown("box-b2", false)
		r.startEntryBox("box-b2")
		time.Sleep(5 * time.Second)
		want := r.boxes["box-b1"].view.Revisions()[resource.SourceConfiguration]
		if got := r.boxes["box-b2"].view.Revisions()[resource.SourceConfiguration]; got != want {
			t.Errorf("revision: got %d, want %d", got, want)
		}
		if got := r.boxes["box-b1"].metrics.Value(metric.Refusals, "reason", "configuration_unknown"); got != 0 {
			t.Errorf("refusals with configuration_unknown at a box that has one: got %d, want none", got)
		}
	})
}
