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

// evacuationBound is the time after the store's acknowledgement of a write within which an
// evacuation, or its withdrawal, has to be in force: from then on nothing is sent to an evacuated
// hall, or the hall is used again.
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

// streamThroughAll sends a short stream through every box and returns how many of the streams were
// complete.
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

// TestEvacuationIsInForceInTime evacuates hall a while other faults occur. From evacuationBound on,
// no box sends anything to the hall's engines, and callers are served by hall b. After the
// evacuation is withdrawn, the hall's engines are used again.
func TestEvacuationIsInForceInTime(t *testing.T) {
	for _, x := range []struct {
		name    string
		disrupt func(r *routedRegion)
	}{
		{"nothing else", func(*routedRegion) {}},
		{"the first reader is paused", func(r *routedRegion) {
			reader := r.firstReader()
			r.setPaused(reader, true)
			time.AfterFunc(20*time.Second, func() { r.setPaused(reader, false) })
		}},
		{"the first reader is killed", func(r *routedRegion) { r.kill(r.firstReader()) }},
		{"the store refuses three of four boxes", func(r *routedRegion) { r.refuseBoxes("box-a1", "box-a2", "box-b1") }},
		{"the store is slow", func(r *routedRegion) { r.platform.SetFaults(fakeplatform.Faults{DelayMilliseconds: 200}) }},
		{"the store forgets its history", func(r *routedRegion) {
			time.AfterFunc(time.Millisecond, r.platform.CompactHistory)
		}},
		{"a configuration follows at once", func(r *routedRegion) {
			time.AfterFunc(time.Millisecond, func() { r.configure(2, routedKey) })
		}},
		{"a box starts", func(r *routedRegion) {
			r.kill("box-b2")
			time.AfterFunc(time.Second, func() {
				r.link.SetDown("box-b2", false)
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
				x.disrupt(r)
				r.evacuate(false, "a")
				time.Sleep(evacuationBound)
				before := r.engineRequests("a")
				for i := range 5 {
					if got := r.streamThroughAll(fmt.Sprint("round-", i)); got < len(r.boxes)-1 {
						t.Errorf("round %d: boxes that served a complete stream: got %d of %d", i, got, len(r.boxes))
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
					t.Error("the hall gets no requests after its evacuation was withdrawn")
				}
			})
		})
	}
}

// TestAllHallsAreEvacuated evacuates every hall: new requests are refused at once, without having
// run, and streams in progress complete.
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
				t.Errorf("%s: refused request: got %d runs, want none", n, got)
			}
		}
		if !<-ended {
			t.Error("the stream in progress: got it interrupted, want it complete")
		}
		r.evacuate(true, "a", "b")
		time.Sleep(2 * time.Second)
		if got := r.streamThroughAll("back"); got != len(r.boxes) {
			t.Errorf("after the withdrawal: boxes that served a complete stream: got %d of %d", got, len(r.boxes))
		}
	})
}

// TestOperatorsEvacuateByTheirOwnInterface declares an evacuation as a resource, and checks that it
// is in force at every box.
func TestOperatorsEvacuateByTheirOwnInterface(t *testing.T) {
	withRegion(t, func(t *testing.T, r *region) {
		r.apply("box-a1", resource.KindEvacuation, "works", `{"hall":"a"}`)
		time.Sleep(2 * time.Second)
		for n, b := range r.boxes {
			for _, u := range b.view.Upstreams(func(*resource.Upstream) bool { return true }) {
				if got, want := u.AcceptsWork(time.Now()), u.Spec.Hall != "a"; got != want {
					t.Errorf("%s: %s: accepts work: got %v, want %v", n, u.Name, got, want)
				}
			}
		}
	})
}
