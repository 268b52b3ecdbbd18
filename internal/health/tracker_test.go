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

// TestSlowUpstreamIsChosenLess guards against requests that go to an upstream whose machine is busy
// with other work as often as to the others, although it reports that its work takes longer.
func TestSlowUpstreamIsChosenLess(t *testing.T) {
	l := []*resource.Upstream{{Name: "s1", Spec: resource.UpstreamSpec{Hall: "a"}}, {Name: "s2", Spec: resource.UpstreamSpec{Hall: "a"}}}
	for _, x := range []struct {
		name           string
		paces          [2]float64 // as reported by s1 by turns
		minWant, maxOf int        // choices of s1 among 100
	}{
		{"as usual", [2]float64{1, 1}, 30, 70},
		{"not reported", [2]float64{0, 0}, 30, 70},
		{"twice as long", [2]float64{2, 2}, 0, 10},
		{"four times as long and as usual by turns", [2]float64{4, 1}, 0, 10},
		{"twice and half as long by turns", [2]float64{2, 0.5}, 20, 80},
		{"out of all bounds", [2]float64{1e9, 1e9}, 0, 10},
	} {
		h, now, chosen := New("a"), time.Now(), 0
		for i := range 100 {
			h.RecordAnswer("s1", false, &Load{Pace: x.paces[i%2], Running: 1, Slots: 6}, now)
			h.RecordAnswer("s2", false, &Load{Pace: 1, Running: 1, Slots: 6}, now)
			now = now.Add(50 * time.Millisecond)
			if u, _ := h.Choose(l, nil, now); u.Name == "s1" {
				chosen++
			}
		}
		if chosen < x.minWant || chosen > x.maxOf {
			t.Errorf("%s: got %d of 100 choices, want from %d to %d", x.name, chosen, x.minWant, x.maxOf)
		}
	}
}

// TestSlowUpstreamIsTriedAgain guards against an upstream that was slow once and is never chosen
// again, since only an answer of its own reports a new pace.
func TestSlowUpstreamIsTriedAgain(t *testing.T) {
	l := []*resource.Upstream{{Name: "s1", Spec: resource.UpstreamSpec{Hall: "a"}}, {Name: "s2", Spec: resource.UpstreamSpec{Hall: "a"}}}
	h, now := New("a"), time.Now()
	for range 50 {
		h.RecordAnswer("s1", false, &Load{Pace: 1e6, Slots: 6}, now)
	}
	for range 12 {
		now = now.Add(500 * time.Millisecond)
		h.RecordAnswer("s2", false, &Load{Pace: 1, Running: 1, Slots: 6}, now)
		if u, _ := h.Choose(l, nil, now); u.Name == "s1" {
			return
		}
	}
	t.Error("an upstream that was slow was not chosen within 6 s, want it tried again")
}
