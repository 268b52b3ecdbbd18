//go:build !race || whole

package linetiller

import (
	"fmt"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/linetiller/linetiller/internal/fake/routed"
	"github.com/linetiller/linetiller/internal/policy"
	"github.com/linetiller/linetiller/internal/relay"
)

// TestBoxesHearUnderWhatUpstreamsCrash guards against boxes that do not announce to each other
// which requests upstreams crash under, so that each box lets further upstreams crash under a
// poison request. A caller sends the request to one box after another: two upstreams crash,
// whichever hall they are in, and from then on all boxes refuse it. While the halls are cut off
// from each other, each counts only its own crashes.
func TestBoxesHearUnderWhatUpstreamsCrash(t *testing.T) {
	for _, cut := range []bool{false, true} {
		withRoutedRegion(t, func(t *testing.T, r *routedRegion) {
			crashes := 0
			for _, n := range []string{"s-a1", "s-a2", "s-a3", "s-b1", "s-b2", "s-b3"} {
				r.startUpstream(n)
				r.upstreams[n].OnCrash = func(string) {
					r.link.SetDown(upstreamAddress(n), true)
					crashes++
				}
			}
			time.Sleep(time.Second)
			r.isolateHallB(cut)
			time.Sleep(5 * time.Second)
			for i := range 5 {
				for _, b := range []string{"box-a1", "box-b1", "box-a2", "box-b2"} {
					status := r.post(b, fmt.Sprint(b, "-", i), routed.PoisonPrefix)
					if i > 0 && status != http.StatusBadGateway {
						t.Errorf("cut %v, round %d: %s: got status %d, want 502", cut, i, b, status)
					}
					time.Sleep(50 * time.Millisecond)
				}
			}
			want := 2
			if cut {
				want = 4 // two on each side of the cut
			}
			if crashes != want {
				t.Errorf("cut %v: crashed upstreams: got %d, want %d", cut, crashes, want)
			}
			for n := range r.boxes {
				got := 0
				for i := 0; got != http.StatusOK && i < 10; i++ { // first attempts may go to upstreams beyond the cut
					got = r.post(n, fmt.Sprint("sound-", n, i), "sound")
				}
				if got != http.StatusOK {
					t.Errorf("cut %v: %s: harmless call: got status %d, want 200", cut, n, got)
				}
			}
		})
	}
}

// TestRequestThatIsServedIsCleared guards against a request that many callers send and that is
// refused as soon as any two upstreams crash while they run it, whatever the cause. All boxes know
// of one crash; then one box serves the request, which clears it at all of them.
func TestRequestThatIsServedIsCleared(t *testing.T) {
	withRoutedRegion(t, func(t *testing.T, r *routedRegion) {
		for _, n := range []string{"s-a1", "s-a2", "s-b1", "s-b2"} {
			r.startUpstream(n)
			r.upstreams[n].OnCrash = func(string) { r.link.SetDown(upstreamAddress(n), true) }
		}
		time.Sleep(time.Second)
		const body = "asked by many"
		for round := range 3 {
			recordCrash := func(upstream string) {
				p := relay.FingerprintOf(&relay.Request{Body: []byte(body), Host: routedHost, Method: http.MethodPost, Target: "/call/x"})
				for _, b := range r.boxes {
					b.relay.RecordCrashes([]policy.Crash{{At: time.Now(), Suspects: []policy.Suspect{{Fingerprint: p}}, Upstream: fmt.Sprint(upstream, round)}}, "")
				}
				time.Sleep(time.Second)
			}
			recordCrash("first")
			if got := r.post("box-a1", fmt.Sprint("served-", round), body); got != http.StatusOK {
				t.Errorf("round %d: after one crash: got status %d, want 200", round, got)
			}
			time.Sleep(time.Second)
			recordCrash("second")
			for n := range r.boxes {
				if got := r.post(n, fmt.Sprint(n, "-", round), body); got != http.StatusOK {
					t.Errorf("round %d: %s: after another crash: got status %d, want 200", round, n, got)
				}
			}
		}
	})
}

// post sends a call with a body through a box and returns the status of the answer, 0 if there is
// none.
func (r *routedRegion) post(box, id, body string) int {
	q, err := http.NewRequestWithContext(r.t.Context(), http.MethodPost, "http://"+box+"-entry/call/x", strings.NewReader(body))
	if err != nil {
		r.t.Fatal(err)
	}
	q.Host = routedHost
	q.Header.Set("Authorization", "Bearer "+routedKey)
	q.Header.Set("X-Linetiller-Request-Id", id)
	w, err := r.link.RoundTrip(q)
	if err != nil {
		return 0
	}
	_ = w.Body.Close()
	return w.StatusCode
}

// TestBoxThatServedARequestVouchesForIt checks a request under which upstreams crash at one box
// after another box has served it: all boxes serve it again within 1.5 s, since the box that served
// it clears it.
func TestBoxThatServedARequestVouchesForIt(t *testing.T) {
	withRoutedRegion(t, func(t *testing.T, r *routedRegion) {
		for _, n := range []string{"s-a1", "s-a2", "s-b1"} {
			r.startUpstream(n)
		}
		time.Sleep(time.Second)
		const body = "asked by many"
		if got := r.post("box-b1", "before", body); got != http.StatusOK {
			t.Fatalf("before: got status %d, want 200", got)
		}
		p := relay.FingerprintOf(&relay.Request{Body: []byte(body), Host: routedHost, Method: http.MethodPost, Target: "/call/x"})
		for _, u := range []string{"one", "two"} {
			for _, b := range r.boxes {
				b.relay.RecordCrashes([]policy.Crash{{At: time.Now(), Suspects: []policy.Suspect{{Fingerprint: p}}, Upstream: u}}, "")
			}
		}
		if got := r.post("box-a1", "at once", body); got != http.StatusBadGateway {
			t.Errorf("at once: got status %d, want 502", got)
		}
		time.Sleep(1500 * time.Millisecond)
		for n := range r.boxes {
			if got := r.post(n, "after-"+n, body); got != http.StatusOK {
				t.Errorf("%s: got status %d, want 200", n, got)
			}
		}
	})
}
