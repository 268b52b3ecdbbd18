//go:build !race

package linetiller

import (
	"fmt"
	"net/http"
	"testing"
	"time"

	fakeplatform "github.com/linetiller/linetiller/internal/fake/platform"
)

const (
	// restoredAway is how long the store answers nobody before it is back from a copy.
	restoredAway = 2 * time.Second
	// changeBound is within what time of the store's acknowledgement a change has to be in
	// force at all boxes.
	changeBound = 2 * time.Second
)

// key returns the one key of a version of the configuration.
func key(version int) string {
	return fmt.Sprint("key-", version)
}

// change writes versions of the configuration, each with a key of its own.
func (r *routes) change(versions ...int) {
	for _, v := range versions {
		r.configure(v, key(v))
	}
}

// restore has the store answer nobody for a moment, and come back from its newest copy.
func (r *routes) restore() {
	r.platform.SetFaults(fakeplatform.Faults{Down: true})
	time.Sleep(restoredAway)
	r.platform.Restore()
	r.platform.SetFaults(fakeplatform.Faults{})
}

// wantKey checks that every box serves the key of one version of the configuration, and
// refuses that of another.
func (r *routes) wantKey(when string, version, refused int) {
	r.t.Helper()
	for n := range r.boxes {
		id := fmt.Sprint(when, "-", n, "-", time.Now().UnixNano())
		if _, whole, status := r.plan(n, id, key(version), 8); !whole {
			r.t.Errorf("%s: %s: the key of version %d: got status %d, want a whole stream", when, n, version, status)
		}
		if _, _, status := r.plan(n, id+"-old", key(refused), 8); status != http.StatusUnauthorized {
			r.t.Errorf("%s: %s: the key of version %d: got status %d, want 401", when, n, refused, status)
		}
	}
}

// TestChangeAfterTheStoreWasRestored changes the configuration after the store came back
// from a copy.
//
// Seen: boxes answered 404 for a route which a change had added 2.2 s before. The store had
// been away for a moment; each box held a revision of the time before, and its reads of what
// changed since then were answered that there is no such revision, until the store had given
// it out again. The change was below it.
func TestChangeAfterTheStoreWasRestored(t *testing.T) {
	withRoutes(t, func(_ *testing.T, r *routes) {
		r.change(2, 3)
		r.platform.Copy()
		r.change(4, 5, 6, 7, 8, 9)
		time.Sleep(changeBound)
		r.restore()
		time.Sleep(3 * time.Second)
		r.wantKey("before operators have written again", 9, 3)
		r.change(9, 10)
		time.Sleep(changeBound)
		r.wantKey("after a change", 10, 9)
		r.change(11)
		time.Sleep(changeBound)
		r.wantKey("after another change", 11, 10)
	})
}
