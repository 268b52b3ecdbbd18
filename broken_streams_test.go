//go:build !race || whole

package linetiller

import (
	"fmt"
	"sync"
	"sync/atomic"
	"testing"
	"time"
)

// TestBrokenStreamsReleaseTheirPlaces guards against streams that break off at all upstreams at once and never go on:
// each of them kept its place at the upstream that had run it while it waited for one elsewhere.
func TestBrokenStreamsReleaseTheirPlaces(t *testing.T) {
	for _, streams := range []int{8, 24, 36} {
		t.Run(fmt.Sprint(streams, " streams"), func(t *testing.T) {
			withRoutedRegion(t, func(t *testing.T, r *routedRegion) {
				r.configureStreams(2, true)
				time.Sleep(3 * time.Second)
				var whole atomic.Int64
				var g sync.WaitGroup
				for i := range streams {
					n := boxesAlternatingHalls[i%len(boxesAlternatingHalls)]
					g.Go(func() {
						if events, complete, _ := r.streamPlan(n, fmt.Sprint("stream-", i), routedKey, 1200); complete && events == 300 {
							whole.Add(1)
						}
					})
					time.Sleep(50 * time.Millisecond)
				}
				time.Sleep(3 * time.Second)
				began := time.Now()
				for _, e := range r.upstreams {
					e.Reset()
				}
				g.Wait()
				if got, want := int(whole.Load()), streams; got != want {
					t.Errorf("whole streams: got %d, want %d", got, want)
				}
				if got, maxWant := time.Since(began), 39*time.Second/2; got > maxWant { // half of the route's timeout
					t.Errorf("the last stream ended %s after the break, want at most %s", got, maxWant)
				}
			})
		})
	}
}
