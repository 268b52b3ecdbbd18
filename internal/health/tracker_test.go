package health

import (
	"testing"
	"time"

	"github.com/linetiller/linetiller/internal/resource"
)

// TestUpstreamOutOfReachGetsOneRequestNowAndThen checks that upstreams which answer no
// connections are passed over, that one miss is not enough for that, and that a request is
// let through now and then until one of them answers.
func TestUpstreamOutOfReachGetsOneRequestNowAndThen(t *testing.T) {
	h, now := New("a"), time.Now()
	l := []*resource.Upstream{{Name: "s1", Spec: resource.UpstreamSpec{Hall: "a"}}, {Name: "s2", Spec: resource.UpstreamSpec{Hall: "b"}}}
	choose := func(when string, want bool) *resource.Upstream {
		t.Helper()
		u, retryAt := h.Choose(l, nil, now)
		if (u != nil) != want || (u == nil && retryAt.IsZero()) || (u == nil && retryAt.Sub(now) > unreachablePeriod) {
			t.Errorf("%s: got %v, back at %v; want one: %v", when, u, retryAt.Sub(now), want)
		}
		return u
	}
	for range unreachableThreshold - 1 {
		h.RecordUnreachable("s1", now)
		h.RecordUnreachable("s2", now)
	}
	choose("after a miss or two", true)
	h.RecordUnreachable("s1", now)
	if u := choose("one is out of reach", true); u != nil && u.Name != "s2" {
		t.Errorf("got %s, want s2", u.Name)
	}
	h.RecordUnreachable("s2", now)
	choose("both are", false)
	now = now.Add(unreachablePeriod)
	choose("a moment later", true)
	choose("again", true)
	choose("while both are being tried", false)
	h.RecordAnswer("s1", false, nil, now)
	for range 3 {
		if u := choose("one has answered", true); u != nil && u.Name != "s1" {
			t.Errorf("got %s, want s1", u.Name)
		}
	}
}
