package health

import (
	"testing"
	"time"

	"github.com/linetiller/linetiller/internal/resource"
)

// TestColdUpstreamGetsItsShare sends bursts of calls to two cold upstreams, of which one warms up
// later. A cold upstream must get at most two requests per second from this box, and the other calls
// must be refused while no upstream is warm.
func TestColdUpstreamGetsItsShare(t *testing.T) {
	h, now := New("a"), time.Now()
	h.ColdRateLimit = func(*resource.Upstream) int { return 2 }
	warmAt := now.Add(2500 * time.Millisecond)
	l := []*resource.Upstream{
		{Name: "s1", ColdUntil: warmAt, Spec: resource.UpstreamSpec{Hall: "a"}},
		{Name: "s2", ColdUntil: warmAt, Spec: resource.UpstreamSpec{Hall: "b"}},
	}
	sent := make(map[string]int)
	sendBurst := func(calls int) (refused int) {
		for range calls {
			u, retryAt := h.Choose(l, nil, now)
			if u == nil {
				if !retryAt.Equal(warmAt) {
					t.Errorf("refused call: got retry at %v, want %v", retryAt, warmAt)
				}
				refused++
				continue
			}
			sent[u.Name]++
			h.Begin(u.Name)()
		}
		return refused
	}
	if got, want := sendBurst(100), 96; got != want {
		t.Errorf("refused in the first second: got %d, want %d", got, want)
	}
	now = now.Add(1100 * time.Millisecond)
	if got, want := sendBurst(100), 96; got != want {
		t.Errorf("refused in the second second: got %d, want %d", got, want)
	}
	l[1].ColdUntil = time.Time{}
	if got := sendBurst(100); got != 0 {
		t.Errorf("refused with one warm upstream: got %d, want 0", got)
	}
	if got, want := sent["s1"], 4; got != want {
		t.Errorf("sent to the cold upstream: got %d, want %d", got, want)
	}
	now = warmAt
	sendBurst(100)
	if sent["s1"] <= 4 {
		t.Error("got no requests to the upstream once it is warm, want some")
	}
}
