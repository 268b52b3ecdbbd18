//go:build !race || whole

package linetiller

import (
	"encoding/json"
	"fmt"
	"maps"
	"net/http"
	"slices"
	"sync/atomic"
	"testing"
	"time"

	"github.com/linetiller/linetiller/internal/resource"
)

// pagedUpstreams is the number of upstreams in a list of several pages.
const pagedUpstreams = 1200

// pagedUpstream returns the name of an upstream in a list of several pages, in the order of the list.
func pagedUpstream(i int) string { return fmt.Sprintf("s-%06d", i) }

// listPagedUpstream writes the entry of an upstream in a list of several pages.
func (r *routedRegion) listPagedUpstream(i int, state string) {
	r.platform.Put("servers/"+pagedUpstream(i), json.RawMessage(fmt.Sprintf(`{"service":"desk","address":"127.0.9.9:%d","zone":"a","state":%q}`, i+1, state)))
}

// beforeNextPage has change called before the store answers the next read of a later page of the list of upstreams. It
// returns whether that has happened.
func (r *routedRegion) beforeNextPage(change func()) (called *atomic.Bool) {
	called = new(atomic.Bool)
	r.link.Handle("platform", http.HandlerFunc(func(w http.ResponseWriter, q *http.Request) {
		if q.URL.Path == "/rows-get" && q.FormValue("table") == "servers" && q.FormValue("from") != "" && called.CompareAndSwap(false, true) {
			change()
		}
		r.platform.ServeHTTP(w, q)
	}))
	return called
}

// TestListThatChangesWhileItIsRead guards against changes of the list of upstreams that no box ever learns of, because
// the list was read in several pages and a later page was newer than the change: requests still reached upstreams that
// had been draining for long.
func TestListThatChangesWhileItIsRead(t *testing.T) {
	for _, cause := range []struct {
		name    string
		disrupt func(r *routedRegion)
	}{
		{"boxes start", func(r *routedRegion) {
			names := slices.Sorted(maps.Keys(r.boxes))
			for _, n := range names {
				r.kill(n)
			}
			for _, n := range names {
				r.link.SetDown(n, false)
				r.startEntryBox(n)
			}
		}},
		{"the history is forgotten", func(r *routedRegion) {
			r.platform.Put("other/row", "x") // of a table that no box reads, so that all of them are behind
			r.platform.CompactHistory()
		}},
	} {
		for _, early := range []struct {
			name   string
			change func(r *routedRegion)
		}{
			{"drains", func(r *routedRegion) { r.listPagedUpstream(1, "draining") }},
			{"goes", func(r *routedRegion) { r.platform.Remove("servers/" + pagedUpstream(1)) }},
		} {
			for _, late := range []struct {
				name   string
				change func(r *routedRegion)
			}{
				{"drains", func(r *routedRegion) { r.listPagedUpstream(pagedUpstreams-1, "draining") }},
				{"joins", func(r *routedRegion) { r.listPagedUpstream(pagedUpstreams, "ready") }},
			} {
				t.Run(fmt.Sprintf("%s, an early one %s, a late one %s", cause.name, early.name, late.name), func(t *testing.T) {
					withRoutedRegion(t, func(t *testing.T, r *routedRegion) {
						for i := range pagedUpstreams {
							r.listPagedUpstream(i, "ready")
						}
						time.Sleep(5 * time.Second)
						called := r.beforeNextPage(func() {
							early.change(r)
							late.change(r)
						})
						cause.disrupt(r)
						time.Sleep(5 * time.Second)
						if !called.Load() {
							t.Fatal("the list was not read")
						}
						for n, b := range r.boxes {
							if u := b.view.Upstream(pagedUpstream(1)); u != nil && u.AcceptsWork(time.Now()) {
								t.Errorf("%s: got %+v, want one that accepts no new work", n, u)
							}
							if got, want := len(b.view.List(resource.KindUpstream)), pagedUpstreams; got < want {
								t.Errorf("%s: upstreams: got %d, want at least %d", n, got, want)
							}
						}
					})
				})
			}
		}
	}
}
