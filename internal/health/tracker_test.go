package health

import (
	"testing"
	"time"

	"github.com/linetiller/linetiller/internal/resource"
)

// TestUpstreamOutOfReachGetsOneRequestNowAndThen checks that upstreams that accept no connections
// are not chosen, that fewer failures than the threshold do not count, and that probes are let
// through until an upstream answers.
func TestUpstreamOutOfReachGetsOneRequestNowAndThen(t *testing.T) {
	h, now := New("a"), time.Now()
	l := []*resource.Upstream{{Name: "s1", Spec: resource.UpstreamSpec{Hall: "a"}}, {Name: "s2", Spec: resource.UpstreamSpec{Hall: "b"}}}
	choose := func(when string, want bool) *resource.Upstream {
		t.Helper()
		u, retryAt := h.Choose(l, nil, now)
		if (u != nil) != want || (u == nil && retryAt.IsZero()) || (u == nil && retryAt.Sub(now) > unreachablePeriod) {
			t.Errorf("%s: got %v, retry in %v; want an upstream: %v", when, u, retryAt.Sub(now), want)
		}
		return u
	}
	for range unreachableThreshold - 1 {
		h.RecordUnreachable("s1", now)
		h.RecordUnreachable("s2", now)
	}
	choose("fewer failures than the threshold", true)
	h.RecordUnreachable("s1", now)
	if u := choose("one unreachable", true); u != nil && u.Name != "s2" {
		t.Errorf("got %s, want s2", u.Name)
	}
	h.RecordUnreachable("s2", now)
	choose("both unreachable", false)
	now = now.Add(unreachablePeriod)
	choose("first probe", true)
	choose("second probe", true)
	choose("both being probed", false)
	h.RecordAnswer("s1", false, nil, now)
	for range 3 {
		if u := choose("after one answered", true); u != nil && u.Name != "s1" {
			t.Errorf("got %s, want s1", u.Name)
		}
	}
}
