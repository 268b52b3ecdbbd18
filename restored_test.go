//go:build !race || whole

package linetiller

import (
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"strings"
	"testing"
	"time"

	fakeplatform "github.com/linetiller/linetiller/internal/fake/platform"
	"github.com/linetiller/linetiller/internal/operator"
	"github.com/linetiller/linetiller/internal/resource"
)

const (
	// storeDownPeriod is how long the store is down before it is restored from a copy.
	storeDownPeriod = 2 * time.Second
	// changeBound is the time after the store's acknowledgement within which a change has to be in
	// force at all boxes.
	changeBound = 2 * time.Second
)

// versionKey returns the only API key of a version of the configuration.
func versionKey(version int) string {
	return fmt.Sprint("key-", version)
}

// writeVersions writes versions of the configuration, each with a key of its own.
func (r *routedRegion) writeVersions(versions ...int) {
	for _, v := range versions {
		r.configure(v, versionKey(v))
	}
}

// restoreStore takes the store down for a moment and restores it from its newest copy.
func (r *routedRegion) restoreStore() {
	r.platform.SetFaults(fakeplatform.Faults{Down: true})
	time.Sleep(storeDownPeriod)
	r.platform.Restore()
	r.platform.SetFaults(fakeplatform.Faults{})
}

// wantKey checks that every box accepts the key of one version of the configuration and refuses
// that of another.
func (r *routedRegion) wantKey(when string, version, refusedVersion int) {
	r.t.Helper()
	for n := range r.boxes {
		id := fmt.Sprint(when, "-", n, "-", time.Now().UnixNano())
		if _, complete, status := r.streamPlan(n, id, versionKey(version), 8); !complete {
			r.t.Errorf("%s: %s: the key of version %d: got status %d, want a complete stream", when, n, version, status)
		}
		if _, _, status := r.streamPlan(n, id+"-old", versionKey(refusedVersion), 8); status != http.StatusUnauthorized {
			r.t.Errorf("%s: %s: the key of version %d: got status %d, want 401", when, n, refusedVersion, status)
		}
	}
}

// TestChangeAfterTheStoreWasRestored guards against changes of the configuration that are not in
// force in time after the store was restored from a copy: boxes answered 404 for a route that had
// been added 2.2 s before. Each box requests changes after the revision that it knows from before
// the restore. The store rejects that revision until it has reached it again, and so the box misses
// changes with a lower one.
func TestChangeAfterTheStoreWasRestored(t *testing.T) {
	withRoutedRegion(t, func(_ *testing.T, r *routedRegion) {
		r.writeVersions(2, 3)
		r.platform.TakeSnapshot()
		r.writeVersions(4, 5, 6, 7, 8, 9)
		time.Sleep(changeBound)
		r.restoreStore()
		time.Sleep(3 * time.Second)
		r.wantKey("before operators have written again", 9, 3)
		r.writeVersions(9, 10)
		time.Sleep(changeBound)
		r.wantKey("after a change", 10, 9)
		r.writeVersions(11)
		time.Sleep(changeBound)
		r.wantKey("after another change", 11, 10)
	})
}

// wantUpstream checks whether every box considers that an upstream accepts new work.
func (r *routedRegion) wantUpstream(when, name string, want bool) {
	r.t.Helper()
	for n, b := range r.boxes {
		u := b.view.Upstream(name)
		if got := u != nil && u.AcceptsWork(time.Now()); got != want {
			r.t.Errorf("%s: %s: %s: accepts work: got %v, want %v", when, n, name, got, want)
		}
	}
}

// TestUpstreamsAfterTheStoreWasRestored has upstreams start, end and give shutdown notice after the
// copy from which the store is restored. Until an upstream's entry is written again or lapses, boxes
// treat the upstream as they did before the restore: ended and leaving ones stay unused, and those
// that had started are used, but only for as long as a live one may take to write its entry again.
func TestUpstreamsAfterTheStoreWasRestored(t *testing.T) {
	withRoutedRegion(t, func(_ *testing.T, r *routedRegion) {
		r.platform.TakeSnapshot()
		r.listUpstream("i-a1", "draining")
		r.killUpstream("i-a2")
		r.startUpstream("i-b3")
		r.startUpstream("i-b4")
		r.writeVersions(2, 3, 4)
		time.Sleep(time.Second)
		r.restoreStore()
		for range 10 { // the entry of an ended upstream lapses after 3.6 s
			time.Sleep(150 * time.Millisecond)
			r.wantUpstream("restored", "i-a1", false)
			r.wantUpstream("restored", "i-a2", false)
			r.wantUpstream("restored", "i-b3", true)
		}
		r.listUpstream("i-a1", "draining")
		r.listUpstream("i-b3", "ready")
		time.Sleep(2 * time.Second) // boxes notice the store's return within a second
		r.wantUpstream("written again", "i-a1", false)
		r.wantUpstream("written again", "i-a2", false)
		r.wantUpstream("written again", "i-b3", true)
		r.wantUpstream("not written again", "i-b4", false)
		r.platform.Remove("servers/i-a2")
		for range 10 {
			time.Sleep(time.Second)
			r.wantUpstream("later", "i-a1", false)
			r.wantUpstream("later", "i-a2", false)
			r.wantUpstream("later", "i-b3", true)
			r.wantUpstream("later", "i-b4", false)
		}
	})
}

// TestEvacuationAfterTheStoreWasRestored evacuates one hall, and withdraws the evacuation of
// another, after the copy from which the store is restored. Both stay in force until operators
// write again; then what they write is in force.
func TestEvacuationAfterTheStoreWasRestored(t *testing.T) {
	withRoutedRegion(t, func(_ *testing.T, r *routedRegion) {
		r.evacuate(false, "b")
		time.Sleep(time.Second)
		r.platform.TakeSnapshot()
		r.writeVersions(2, 3, 4)
		r.evacuate(true, "b")
		r.evacuate(false, "a")
		time.Sleep(2 * time.Second)
		r.restoreStore()
		for range 10 {
			time.Sleep(200 * time.Millisecond)
			r.wantUpstream("restored", "i-a1", false)
			r.wantUpstream("restored", "i-b1", true)
		}
		r.evacuate(false, "a")
		r.evacuate(true, "b")
		for range 10 {
			time.Sleep(time.Second)
			r.wantUpstream("written again", "i-a1", false)
			r.wantUpstream("written again", "i-b1", true)
		}
		r.evacuate(true, "a")
		r.evacuate(false, "b")
		time.Sleep(2 * time.Second)
		r.wantUpstream("changed", "i-a1", true)
		r.wantUpstream("changed", "i-b1", false)
	})
}

// TestWithdrawnWhileTheStoreWasAway restores the store to a copy from before an evacuation, and has
// operators write it again without one, while no box can read it: the hall is used again all the
// same.
func TestWithdrawnWhileTheStoreWasAway(t *testing.T) {
	withRoutedRegion(t, func(_ *testing.T, r *routedRegion) {
		r.platform.TakeSnapshot()
		r.writeVersions(2, 3, 4)
		r.evacuate(false, "a")
		time.Sleep(2 * time.Second)
		r.platform.SetFaults(fakeplatform.Faults{Down: true})
		time.Sleep(storeDownPeriod)
		r.platform.Restore()
		r.writeVersions(4)
		r.platform.SetFaults(fakeplatform.Faults{})
		time.Sleep(5 * time.Second)
		r.wantUpstream("withdrawn", "i-a1", true)
	})
}

// TestBoxesAfterTheStoreWasRestored starts a box after the copy from which the store is restored:
// the other boxes still know its address, and its row is written again within 2 s.
func TestBoxesAfterTheStoreWasRestored(t *testing.T) {
	withRoutedRegion(t, func(t *testing.T, r *routedRegion) {
		r.platform.TakeSnapshot()
		r.writeVersions(2, 3, 4)
		r.startEntryBox("box-a3")
		time.Sleep(3 * time.Second)
		r.restoreStore()
		for range 8 {
			time.Sleep(250 * time.Millisecond)
			for n, b := range r.boxes {
				if got := b.members.Address("box-a3"); got == "" {
					t.Errorf("%s: got no address of the box that started last", n)
				}
			}
		}
		if r.platform.Row("box/box-a3") == nil {
			t.Error("the row of the box that started last: got none within 2 s")
		}
	})
}

// TestStoreIsOvertakenUnseen guards against changes that boxes miss where the store is restored,
// and written beyond its earlier revision, while it answers no box: the store then accepts the
// boxes' revisions, although they are from before the restore.
func TestStoreIsOvertakenUnseen(t *testing.T) {
	withRoutedRegion(t, func(_ *testing.T, r *routedRegion) {
		r.startUpstream("i-a3")
		time.Sleep(time.Second)
		r.platform.TakeSnapshot()
		r.writeVersions(2, 3)
		time.Sleep(time.Second)
		r.platform.SetFaults(fakeplatform.Faults{Down: true})
		time.Sleep(storeDownPeriod)
		r.platform.Restore()
		r.writeVersions(2, 3, 4)
		r.listUpstream("i-a1", "draining")
		r.platform.Remove("servers/i-a3")
		r.writeVersions(5, 6)
		r.platform.SetFaults(fakeplatform.Faults{})
		time.Sleep(changeBound + 2*time.Second)
		r.wantKey("overtaken", 6, 3)
		r.wantUpstream("overtaken", "i-a1", false)
		r.wantUpstream("overtaken", "i-a3", false)
		r.wantUpstream("overtaken", "i-a2", true)
	})
}

// TestDeclaredResourcesAfterTheStoreWasRestored declares, changes and removes resources after the
// copy from which the store is restored. What was accepted stays in force at every box, and is back
// in the store within seconds, so that a box which starts then has it, too.
func TestDeclaredResourcesAfterTheStoreWasRestored(t *testing.T) {
	withRegion(t, func(t *testing.T, r *region) {
		r.apply("box-a1", resource.KindPriority, "old", `{"value":1}`)
		time.Sleep(time.Second)
		r.platform.TakeSnapshot()
		r.apply("box-a1", resource.KindPriority, "new", `{"value":2}`)
		r.apply("box-b1", resource.KindModel, "m", `{"maxTokens":5000}`)
		r.remove("box-a2", resource.KindPriority, "old")
		time.Sleep(2 * time.Second)
		want := map[string]string{"Model/m": `{"maxTokens":5000}`, "Priority/new": `{"value":2}`, "Priority/old": ""}
		check := func(when string) {
			t.Helper()
			for n, b := range r.boxes {
				for k, spec := range want {
					kind, name, _ := strings.Cut(k, "/")
					got := ""
					if x := b.view.Get(resource.Kind(kind), name); x != nil {
						got = string(x.Spec)
					}
					if got != spec {
						t.Errorf("%s: %s: %s: got %q, want %q", when, n, k, got, spec)
					}
				}
			}
		}
		r.platform.SetFaults(fakeplatform.Faults{Down: true})
		time.Sleep(storeDownPeriod)
		r.platform.Restore()
		r.platform.SetFaults(fakeplatform.Faults{})
		for range 10 {
			time.Sleep(time.Second)
			check("restored")
		}
		r.kill("box-b2")
		r.link.SetDown("box-b2", false)
		r.startBox("box-b2")
		time.Sleep(3 * time.Second)
		check("after a box has started")
		r.apply("box-a2", resource.KindModel, "m", `{"maxTokens":6000}`)
		want["Model/m"] = `{"maxTokens":6000}`
		time.Sleep(changeBound)
		check("after a change")
	})
}

// TestDeclaringWaitsForWhatTheStoreLost declares a resource right after the store was restored from
// a copy, at a box that already knows of the restore, or learns of it from the read before its
// write. The write is refused, since its row may be one of those that are yet to be written again.
func TestDeclaringWaitsForWhatTheStoreLost(t *testing.T) {
	for _, wait := range []time.Duration{0, 1500 * time.Millisecond} {
		t.Run(wait.String(), func(t *testing.T) { declareAfter(t, wait) })
	}
}

// declareAfter declares a resource some time after the store was restored from a copy, and again
// later.
func declareAfter(t *testing.T, wait time.Duration) {
	withRegion(t, func(t *testing.T, r *region) {
		r.platform.TakeSnapshot()
		r.platform.Restore()
		time.Sleep(wait)
		o := operator.NewClient("http://box-a1-operator", "", &http.Client{Transport: r.link})
		x := &resource.Resource{Kind: resource.KindPriority, Metadata: resource.Metadata{Name: "new"}, Spec: json.RawMessage(`{"value":2}`)}
		_, err := o.Apply(t.Context(), x)
		p := new(operator.Problem)
		if !errors.As(err, &p) || p.Code != "platform_restored" {
			t.Errorf("at once: got %v, want a refusal", err)
		}
		if r.platform.Row("resource/Priority/new") != nil {
			t.Error("at once: the row is written, want none")
		}
		time.Sleep(6 * time.Second)
		if _, err := o.Apply(t.Context(), x); err != nil {
			t.Errorf("later: got %v, want it written", err)
		}
	})
}

// TestRestoredStoreIsReadByFew counts the store calls of twelve boxes after the store was restored:
// the readers read each table in full once or twice, and no other box calls the store for that.
func TestRestoredStoreIsReadByFew(t *testing.T) {
	calls := func(restored bool) (n, fullReads int) {
		withRoutedRegion(t, func(_ *testing.T, r *routedRegion) {
			for _, name := range []string{"box-a3", "box-a4", "box-a5", "box-a6", "box-b3", "box-b4", "box-b5", "box-b6"} {
				r.startEntryBox(name)
			}
			time.Sleep(20 * time.Second)
			r.platform.TakeSnapshot()
			r.writeVersions(2, 3, 4)
			time.Sleep(5 * time.Second)
			tables := []string{"box", "op", "servers"}
			for _, x := range tables {
				fullReads -= r.platform.FullReads(x)
			}
			r.platform.SetFaults(fakeplatform.Faults{Down: true})
			time.Sleep(storeDownPeriod)
			if restored {
				r.platform.Restore()
			}
			r.platform.SetFaults(fakeplatform.Faults{})
			n = r.storeCallsDuring(10 * time.Second)
			for _, x := range tables {
				fullReads += r.platform.FullReads(x)
			}
		})
		return n, fullReads
	}
	n, fullReads := calls(true)
	callsBefore, fullReadsBefore := calls(false)
	t.Logf("calls in 10 s: %d, after an outage alone %d; full reads: %d and %d", n, callsBefore, fullReads, fullReadsBefore)
	const readers, tables = 4, 3 // at most two in each hall
	if maxWant := 2 * readers * tables; fullReads > maxWant {
		t.Errorf("full reads: got %d, want at most %d", fullReads, maxWant)
	}
	if maxWant := callsBefore + 2*readers*tables; n > maxWant {
		t.Errorf("calls: got %d, want at most %d", n, maxWant)
	}
}
