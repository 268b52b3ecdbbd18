// The race detector itself crashes now and then when complete boxes run in virtual time (a
// segmentation fault in its runtime, while no goroutine of this module is running), so make test
// runs these tests without it. The same parts run under it over loopback in streams_test.go,
// outage_test.go and callers_test.go.

//go:build !race || whole

package linetiller

import (
	"fmt"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/joomcode/errorx"

	"github.com/linetiller/linetiller/internal/fail"
	fakeplatform "github.com/linetiller/linetiller/internal/fake/platform"
	"github.com/linetiller/linetiller/internal/operator"
	"github.com/linetiller/linetiller/internal/resource"
	"github.com/linetiller/linetiller/internal/settings"
)

// TestHallCutOffForAnHour cuts a hall off from the other hall and from the platform. Its boxes serve
// requests without a key, refuse as not run those that need the table of request keys, and a box
// that replaces one of them gets the configuration from its peer. After the cut they learn of the
// resources that were accepted meanwhile, and no request is lost or runs twice.
func TestHallCutOffForAnHour(t *testing.T) {
	withRegion(t, func(t *testing.T, r *region) {
		if n, err := r.generate("k-before", "length=9", "box-b1"); err != nil || n != 9 {
			t.Fatal(n, err)
		}
		r.isolateHallB(true)
		time.Sleep(time.Minute)
		r.apply("box-a1", resource.KindPriority, "accepted-meanwhile", `{"value":3}`)
		r.kill("box-b2")
		r.startBox("box-b3", func(s *settings.Settings) { s.Peers = []string{"box-b1"} })
		time.Sleep(10 * time.Second)
		before := r.startedGenerations()
		for i, b := range []string{"box-b1", "box-b3", "box-a1"} {
			if n, err := r.generate("", "length=20", b); err != nil || n != 20 {
				t.Errorf("%s during the cut: got %d tokens, %v; want 20", b, n, err)
			}
			if got, want := r.startedGenerations(), before+i+1; got != want {
				t.Errorf("generations: got %d, want %d", got, want)
			}
		}
		before = r.startedGenerations()
		if _, err := r.generate("k-cut", "length=9", "box-b3"); !errorx.IsOfType(err, fail.NotRun) || fail.Reason(err) != "table_unavailable" {
			t.Errorf("with a key during the cut: got %v, want not run, table_unavailable", err)
		}
		if got := r.startedGenerations(); got != before {
			t.Errorf("generations of a refused request: got %d, want none", got-before)
		}
		time.Sleep(time.Hour)
		r.isolateHallB(false)
		time.Sleep(30 * time.Second)
		for n, b := range r.boxes {
			if b.view.Get(resource.KindPriority, "accepted-meanwhile") == nil {
				t.Errorf("%s: the resource that was accepted during the cut is not in force", n)
			}
		}
		before = r.startedGenerations()
		for _, b := range []string{"box-b1", "box-b3", "box-a2"} {
			if n, err := r.generate("k-cut", "length=9", b); err != nil || n == 0 {
				t.Errorf("%s after the cut: got %d tokens, %v", b, n, err)
			}
			if n, err := r.generate("k-before", "length=9", b); err != nil || n == 0 {
				t.Errorf("%s, key from before: got %d tokens, %v", b, n, err)
			}
		}
		if got, want := r.startedGenerations(), before+1; got != want {
			t.Errorf("generations after the cut: got %d, want %d", got, want)
		}
	})
}

// TestPlatformOutForAnHour checks the load on the platform's table after an outage:
// at most four reads a second from four boxes, and no writes.
func TestPlatformOutForAnHour(t *testing.T) {
	withRegion(t, func(t *testing.T, r *region) {
		r.platform.SetFaults(fakeplatform.Faults{Down: true})
		time.Sleep(time.Hour)
		if n, err := r.generate("", "length=20", "box-b1"); err != nil || n != 20 {
			t.Errorf("during the outage: got %d tokens, %v; want 20", n, err)
		}
		before := r.platform.Counters()
		r.platform.SetFaults(fakeplatform.Faults{})
		const period = 20 // seconds
		time.Sleep(period * time.Second)
		after := r.platform.Counters()
		if got, want := (after.Reads-before.Reads)/period, int64(4); got > want {
			t.Errorf("reads a second after the outage: got %d, want at most %d", got, want)
		}
		if got, want := after.Writes-before.Writes, int64(0); got != want {
			t.Errorf("writes: got %d, want %d", got, want)
		}
		if n, err := r.generate("k", "length=9", "box-a1"); err != nil || n != 9 {
			t.Errorf("with a key: got %d tokens, %v; want 9", n, err)
		}
	})
}

// TestOwnerLostWithItsQueue kills the owner of a crowded engine while requests wait in its queue:
// all are served, each with one run.
func TestOwnerLostWithItsQueue(t *testing.T) {
	withRegion(t, func(t *testing.T, r *region) {
		r.isolateHallB(true) // so that hall a can only use engine-a
		time.Sleep(10 * time.Second)
		owner := r.ownerOf("engine-a")
		other := map[string]string{"box-a1": "box-a2", "box-a2": "box-a1"}[owner]
		var g sync.WaitGroup
		const requests = 200
		var mutex sync.Mutex
		completeCount := 0
		for i := range requests {
			g.Go(func() {
				n, err := r.generate("", fmt.Sprintf("%d %s length=300", i, strings.Repeat("word ", 800)), other)
				mutex.Lock()
				defer mutex.Unlock()
				if err == nil && n == 300 {
					completeCount++
					return
				}
				t.Errorf("request %d: got %d tokens, %v; want 300", i, n, err)
			})
		}
		time.Sleep(3 * time.Second)
		if got := r.boxes[owner].owners; got == nil {
			t.Fatal("the owner has no record of ownership")
		}
		r.kill(owner)
		g.Wait()
		if got, want := completeCount, requests; got != want {
			t.Errorf("complete answers: got %d, want %d", got, want)
		}
		if got, want := r.engines["engine-a"].StartedGenerations(), requests; got != want {
			t.Errorf("generations started: got %d, want %d", got, want)
		}
	})
}

// TestFrozenOwner pauses the owner of an engine: requests are served under another owner, and after
// the pause all boxes agree on the earlier one again.
func TestFrozenOwner(t *testing.T) {
	withRegion(t, func(t *testing.T, r *region) {
		owner := r.ownerOf("engine-a")
		other := map[string]string{"box-a1": "box-a2", "box-a2": "box-a1"}[owner]
		r.setPaused(owner, true)
		if n, err := r.generate("", "length=20", other); err != nil || n != 20 {
			t.Errorf("while the owner is paused: got %d tokens, %v; want 20", n, err)
		}
		r.setPaused(owner, false)
		time.Sleep(time.Minute)
		if got, want := r.ownerOf("engine-a"), owner; got != want {
			t.Errorf("owner after the pause: got %s, want %s", got, want)
		}
		if n, err := r.generate("", "length=20", owner); err != nil || n != 20 {
			t.Errorf("at the box that was paused: got %d tokens, %v; want 20", n, err)
		}
	})
}

// TestFrozenBoxRefreshesBeforeItSends pauses a box while an upstream is declared as leaving: the
// first request that the box sends after the pause does not go there.
func TestFrozenBoxRefreshesBeforeItSends(t *testing.T) {
	withRegion(t, func(t *testing.T, r *region) {
		b := r.boxes["box-a1"]
		r.setPaused("box-a1", true)
		r.apply("box-a2", resource.KindUpstream, "engine-a", `{"address":"http://127.0.1.1:1","hall":"a","kvTokens":60000,"maxBatch":100,"models":["m"],"type":"engine","leaving":true}`)
		time.Sleep(3 * time.Second)
		b.lastTick.Store(b.lastTick.Load() - int64(10*time.Second)) // as if the box had been paused for 10 s
		r.setPaused("box-a1", false)
		b.refreshAfterPause(t.Context())
		if u := b.view.Upstream("engine-a"); u == nil || !u.Spec.Leaving {
			t.Error("the box does not know that the upstream is leaving")
		}
		before := r.engines["engine-a"].StartedGenerations()
		if n, err := r.generate("", "length=20", "box-a1"); err != nil || n != 20 {
			t.Errorf("got %d tokens, %v; want 20", n, err)
		}
		if got := r.engines["engine-a"].StartedGenerations(); got != before {
			t.Errorf("generations at the leaving upstream: got %d, want none", got-before)
		}
	})
}

// TestChangeIsInForceInSeconds checks that a change is in force at every box of both halls within 5
// s of virtual time.
func TestChangeIsInForceInSeconds(t *testing.T) {
	withRegion(t, func(t *testing.T, r *region) {
		r.apply("box-b2", resource.KindPriority, "new", `{"value":3}`)
		time.Sleep(5 * time.Second)
		for n, b := range r.boxes {
			if b.view.Get(resource.KindPriority, "new") == nil {
				t.Errorf("%s: the change is not in force after 5 s", n)
			}
		}
	})
}

// TestStatusIsUnknownAcrossACut checks that the status of a resource is unknown while some boxes
// cannot be reached.
func TestStatusIsUnknownAcrossACut(t *testing.T) {
	withRegion(t, func(t *testing.T, r *region) {
		r.isolateHallB(true)
		o := operator.NewClient("http://box-a1-operator", "", &http.Client{Transport: r.link})
		x, err := o.Get(t.Context(), resource.KindModel, "m")
		if err != nil {
			t.Fatal(err)
		}
		if got, want := x.Status.Conditions[0].Status, "Unknown"; got != want {
			t.Errorf("condition during the cut: got %s, want %s", got, want)
		}
		r.isolateHallB(false)
		time.Sleep(time.Minute)
		x, err = o.Get(t.Context(), resource.KindModel, "m")
		if err != nil {
			t.Fatal(err)
		}
		if got, want := x.Status.Conditions[0].Status, "True"; got != want {
			t.Errorf("condition after the cut: got %s, want %s", got, want)
		}
	})
}

// TestNaivePolicyServes checks that a box serves with the naive policy, a baseline that settings
// can select.
func TestNaivePolicyServes(t *testing.T) {
	withRegion(t, func(t *testing.T, r *region) {
		r.startBox("box-a9", func(s *settings.Settings) { s.Policy = settings.PolicyNaive })
		time.Sleep(5 * time.Second)
		if n, err := r.generate("", "length=20", "box-a9"); err != nil || n != 20 {
			t.Errorf("got %d tokens, %v; want 20", n, err)
		}
	})
}
