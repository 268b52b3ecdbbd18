//go:build !race || whole

package linetiller

import (
	"encoding/json"
	"fmt"
	"net/http"
	"sync"
	"testing"
	"time"

	fakeplatform "github.com/linetiller/linetiller/internal/fake/platform"
	"github.com/linetiller/linetiller/internal/resource"
)

// evacuationBound is within what time of the store's acknowledgement nothing more may be
// sent to an evacuated hall, and within which a hall that is taken back is to be used.
const evacuationBound = 5 * time.Second

// evacuate sets or withdraws the evacuation of halls.
func (r *routedRegion) evacuate(withdrawn bool, halls ...string) {
	for _, h := range halls {
		if withdrawn {
			r.platform.Remove("op/evacuate/" + h)
			continue
		}
		r.platform.Put("op/evacuate/"+h, json.RawMessage(`{}`))
	}
}

// engineRequests returns how many requests have reached the engines of a hall.
func (r *routedRegion) engineRequests(hall string) int {
	n := 0
	for name, e := range r.upstreams {
		if name[2:3] == hall {
			n += len(e.Requests())
		}
	}
	return n
}

// streamThroughAll sends a short stream to every box and returns how many came whole.
func (r *routedRegion) streamThroughAll(round string) int {
	var g sync.WaitGroup
	var mutex sync.Mutex
	complete := 0
	for n := range r.boxes {
		g.Go(func() {
			if _, ok, _ := r.streamPlan(n, round+"-"+n, routedKey, 8); ok {
				mutex.Lock()
				complete++
				mutex.Unlock()
			}
		})
	}
	g.Wait()
	return complete
}

// TestEvacuationIsInForceInTime evacuates hall a while other things go wrong. Once the
// bound has passed no engine of the hall gets anything, from no box, and callers are served
// by hall b; and after the hall was taken back its engines are used again.
func TestEvacuationIsInForceInTime(t *testing.T) {
	for _, x := range []struct {
		name    string
		trouble func(r *routedRegion)
	}{
		{"nothing else", func(*routedRegion) {}},
		{"the first reader is frozen", func(r *routedRegion) {
			first := r.firstReader()
			r.setPaused(first, true)
			time.AfterFunc(20*time.Second, func() { r.setPaused(first, false) })
		}},
		{"the first reader is killed", func(r *routedRegion) { r.kill(r.firstReader()) }},
		{"the store turns a third of the boxes away", func(r *routedRegion) { r.refuseBoxes("box-a1", "box-a2", "box-b1") }},
		{"the store is slow", func(r *routedRegion) { r.platform.SetFaults(fakeplatform.Faults{DelayMilliseconds: 200}) }},
		{"the store forgets its history", func(r *routedRegion) {
			time.AfterFunc(time.Millisecond, r.platform.ForgetHistory)
		}},
		{"a configuration follows at once", func(r *routedRegion) {
			time.AfterFunc(time.Millisecond, func() { r.configure(2, routedKey) })
		}},
		{"a box starts", func(r *routedRegion) {
			r.kill("box-b2")
			time.AfterFunc(time.Second, func() {
				r.link.Down("box-b2", false)
				r.startEntryBox("box-b2")
			})
		}},
		{"set, withdrawn and set", func(r *routedRegion) {
			r.evacuate(false, "a")
			time.Sleep(100 * time.Millisecond)
			r.evacuate(true, "a")
			time.Sleep(100 * time.Millisecond)
		}},
	} {
		t.Run(x.name, func(t *testing.T) {
			withRoutedRegion(t, func(t *testing.T, r *routedRegion) {
				x.trouble(r)
				r.evacuate(false, "a")
				time.Sleep(evacuationBound)
				before := r.engineRequests("a")
				for i := range 5 {
					if got := r.streamThroughAll(fmt.Sprint("round-", i)); got < len(r.boxes)-1 {
						t.Errorf("round %d: got %d of %d boxes that serve", i, got, len(r.boxes))
					}
					time.Sleep(200 * time.Millisecond)
				}
				if got := r.engineRequests("a") - before; got != 0 {
					t.Errorf("requests that reached the evacuated hall: got %d, want 0", got)
				}
				r.evacuate(true, "a")
				time.Sleep(evacuationBound)
				for i := range 5 {
					r.streamThroughAll(fmt.Sprint("back-", i))
				}
				if r.engineRequests("a") == before {
					t.Error("the hall that was taken back gets nothing")
				}
			})
		})
	}
}

// TestAllHallsAreEvacuated evacuates every hall: requests are refused at once, truthfully,
// with a time to come back, and what runs goes on.
func TestAllHallsAreEvacuated(t *testing.T) {
	withRoutedRegion(t, func(t *testing.T, r *routedRegion) {
		ended := make(chan bool, 1)
		go func() {
			_, complete, _ := r.streamPlan("box-a1", "running", routedKey, 1600)
			ended <- complete
		}()
		time.Sleep(time.Second)
		r.evacuate(false, "a", "b")
		time.Sleep(2 * time.Second)
		for n := range r.boxes {
			began := time.Now()
			_, _, status := r.streamPlan(n, "late-"+n, routedKey, 8)
			if took := time.Since(began); status != http.StatusServiceUnavailable || took > 100*time.Millisecond {
				t.Errorf("%s: got status %d after %v, want 503 at once", n, status, took)
			}
			if got := r.runCount("late-" + n); got != 0 {
				t.Errorf("%s: a request that was refused ran %d times", n, got)
			}
		}
		if !<-ended {
			t.Error("the stream that ran: got broken off, want whole")
		}
		r.evacuate(true, "a", "b")
		time.Sleep(2 * time.Second)
		if got := r.streamThroughAll("back"); got != len(r.boxes) {
			t.Errorf("taken back: got %d of %d boxes that serve", got, len(r.boxes))
		}
	})
}

// TestOperatorsEvacuateByTheirOwnInterface declares an evacuation as a resource: it is in
// force at every box, and its removal too.
func TestOperatorsEvacuateByTheirOwnInterface(t *testing.T) {
	withRegion(t, func(t *testing.T, r *region) {
		r.apply("box-a1", resource.KindEvacuation, "works", `{"hall":"a"}`)
		time.Sleep(2 * time.Second)
		for n, b := range r.boxes {
			for _, u := range b.view.Upstreams(func(*resource.Upstream) bool { return true }) {
				if got, want := u.AcceptsWork(time.Now()), u.Spec.Hall != "a"; got != want {
					t.Errorf("%s: %s: got takes %v, want %v", n, u.Name, got, want)
				}
			}
		}
	})
}
