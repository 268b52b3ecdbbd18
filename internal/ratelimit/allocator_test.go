package ratelimit

import (
	"context"
	"math"
	"testing"
	"testing/synctest"
	"time"

	"pgregory.net/rapid"
)

// window is the time over which the tests count permits.
const window = 4 * time.Second

// maxInSpan returns how many of some times lie in any span of that length.
func maxInSpan(l []time.Time, span time.Duration) int {
	n, first := 0, 0
	for i := range l {
		for l[i].Sub(l[first]) >= span {
			first++
		}
		n = max(n, i-first+1)
	}
	return n
}

// TestAllocatorKeepsToTheLimit checks, for random asks, that no window sees more permits than the
// limit, what is saved up and what is urgent allow, and that little is lost where all is asked for.
func TestAllocatorKeepsToTheLimit(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		rate := rapid.Float64Range(0.2, 200).Draw(t, "rate")
		pauses := rapid.SliceOfN(rapid.IntRange(0, 400), 50, 400).Draw(t, "pauses in ms")
		a, now := NewAllocator(), time.Unix(1_000, 0)
		start := now
		var used []time.Time
		for i, p := range pauses {
			now = now.Add(time.Duration(p) * time.Millisecond)
			q := &PermitRequest{Limit: Limit{ReportedAt: now, PerSecond: rate, Upstream: "u"}, Urgent: i%7 == 0, Want: 1 + i%3}
			if i%5 == 0 {
				q.WaitUntil = now.Add(200 * time.Millisecond)
			}
			g := a.Allocate(q, 1, 8, now)
			for range g.Count {
				used = append(used, g.From)
			}
			if g.Count == 0 && !g.RetryAt.After(now) {
				t.Fatalf("no permit, and to ask again %s later, want later", g.RetryAt.Sub(now))
			}
		}
		want := rate*window.Seconds() + minBurst + rate*burstPeriod.Seconds() + urgentOverdraft + 1
		if got := maxInSpan(used, window); float64(got) > want {
			t.Fatalf("permits in %s at %.1f a second: got %d, want at most %.1f", window, rate, got, want)
		}
		if got, want := float64(len(used)), rate*now.Sub(start).Seconds()+want; got > want {
			t.Fatalf("permits: got %.0f, want at most %.1f", got, want)
		}
	})
}

// TestPermitForLater checks that a wait for a permit ends with one, and that permits for later are
// not handed out twice.
func TestPermitForLater(t *testing.T) {
	a, now := NewAllocator(), time.Unix(1_000, 0)
	l := Limit{ReportedAt: now, PerSecond: 2, Upstream: "u"}
	want := now
	for i := range 4 {
		g := a.Allocate(&PermitRequest{Limit: l, Want: 1, WaitUntil: now.Add(2 * time.Second)}, 1, 1, now)
		want = want.Add(500 * time.Millisecond)
		if g.Count != 1 || g.From.Sub(want).Abs() > time.Millisecond {
			t.Errorf("permit %d: got %d from %s on, want 1 from %s on", i, g.Count, g.From.Sub(now), want.Sub(now))
		}
	}
	g := a.Allocate(&PermitRequest{Limit: l, Want: 1, WaitUntil: now.Add(2 * time.Second)}, 1, 1, now)
	if got, want := g.RetryAt.Sub(now), 2500*time.Millisecond; g.Count != 0 || (got-want).Abs() > time.Millisecond {
		t.Errorf("got %d permits, ask again in %s; want none, in %s", g.Count, got, want)
	}
}

// TestRefusedBoxesAreSpread checks that boxes which get no permit are not all told the same time.
func TestRefusedBoxesAreSpread(t *testing.T) {
	const boxes = 300
	a, now := NewAllocator(), time.Unix(1_000, 0)
	requests := 0
	retryAt := make([]time.Time, boxes)
	for range 1000 { // 10 s
		now = now.Add(10 * time.Millisecond)
		for i := range retryAt {
			if now.Before(retryAt[i]) {
				continue
			}
			requests++
			g := a.Allocate(&PermitRequest{Limit: Limit{ReportedAt: now, PerSecond: 2.8, Upstream: "u"}, Want: 1}, 1, boxes, now)
			retryAt[i] = g.RetryAt
			if g.Count > 0 {
				retryAt[i] = now
			}
		}
	}
	if got, maxRequests := requests/10, 250; got > maxRequests {
		t.Errorf("asks a second of %d boxes: got %d, want at most %d", boxes, got, maxRequests)
	}
}

// TestUpstreamWithoutPermitsIsTried checks that an upstream which accepts nothing gets a request now
// and then, with whose answer it can say otherwise.
func TestUpstreamWithoutPermitsIsTried(t *testing.T) {
	a, now := NewAllocator(), time.Unix(1_000, 0)
	n := 0
	for range 600 {
		now = now.Add(100 * time.Millisecond)
		n += a.Allocate(&PermitRequest{Limit: Limit{ReportedAt: now, Upstream: "u"}, Want: 1}, 1, 1, now).Count
	}
	if got, want := n, 12; got < want-1 || got > want {
		t.Errorf("requests in a minute: got %d, want %d", got, want)
	}
}

// TestNewBucketIsEmpty checks that a box which begins to allocate permits does not add to those that
// another one has handed out.
func TestNewBucketIsEmpty(t *testing.T) {
	now := time.Unix(1_000, 0)
	l := Limit{ReportedAt: now, PerSecond: 100, Upstream: "u"}
	if got := NewAllocator().Allocate(&PermitRequest{Limit: l, Want: 10}, 1, 1, now).Count; got != 0 {
		t.Errorf("permits: got %d, want none", got)
	}
	a := NewAllocator()
	a.Allocate(&PermitRequest{Limit: l, Want: 10}, 1, 1, now)
	l.StartedAt = 7
	if got := a.Allocate(&PermitRequest{Limit: l, Want: 10}, 1, 1, now.Add(10*time.Millisecond)).Count; got != 0 {
		t.Errorf("permits at its next start: got %d, want none", got)
	}
}

// TestLoweredLimitHoldsAtOnce checks that what was saved up under a higher limit is not handed out
// under a lower one.
func TestLoweredLimitHoldsAtOnce(t *testing.T) {
	a, now := NewAllocator(), time.Unix(1_000, 0)
	allocate := func(rate float64) int {
		return a.Allocate(&PermitRequest{Limit: Limit{ReportedAt: now, PerSecond: rate, Upstream: "u"}, Want: math.MaxInt32}, 1, 1, now).Count
	}
	allocate(200)
	now = now.Add(10 * time.Second)
	if got, maxPermits := allocate(1), minBurst; got > maxPermits {
		t.Errorf("permits under the lower limit: got %d, want at most %d", got, maxPermits)
	}
}

// TestLimitOfAnAnswerThatWasOvertaken checks which of two answers counts, and for how long a limit
// holds that is named no more.
func TestLimitOfAnAnswerThatWasOvertaken(t *testing.T) {
	s, now := NewLimits(), time.Unix(1_000, 0)
	later := now.Add(time.Second)
	s.Record(Limit{ReportedAt: later, PerSecond: 3, Upstream: "u"}, later)
	if c := s.Record(Limit{ReportedAt: now, PerSecond: 9, Upstream: "u"}, later); c != nil {
		t.Errorf("an older answer: got %v, want no change", c.After)
	}
	if l := s.Get("u", 0, later); l == nil || l.PerSecond != 3 {
		t.Errorf("got %v, want 3 a second", l)
	}
	if l := s.Get("u", 1, later); l != nil {
		t.Errorf("at its next start: got %v, want none", l)
	}
	later = later.Add(time.Millisecond)
	s.Lift("u", 0, later)
	if l := s.Get("u", 0, later.Add(liftDelay-time.Millisecond)); l == nil {
		t.Error("right after an answer without one: got no limit, want it")
	}
	if l := s.Get("u", 0, later.Add(liftDelay)); l != nil {
		t.Errorf("later: got %v, want none", l)
	}
	if c := s.Record(Limit{ReportedAt: later, PerSecond: 3, Upstream: "u"}, later.Add(time.Second)); c != nil {
		t.Errorf("what another box heard before: got %v, want no change", c.After)
	}
}

// TestDigestsOfLimits checks that boxes which know the same limits have the same digest, whatever
// their rates.
func TestDigestsOfLimits(t *testing.T) {
	now := time.Unix(1_000, 0)
	a, b := NewLimits(), NewLimits()
	for i, n := range []string{"u", "v", "w"} {
		a.Record(Limit{ReportedAt: now, PerSecond: 1, Upstream: n}, now)
		b.Record(Limit{ReportedAt: now.Add(time.Duration(i)), PerSecond: 2, Upstream: n}, now)
	}
	if got, want := a.Digest(now), b.Digest(now); got != want || got == 0 {
		t.Errorf("digests: got %x and %x, want the same, not 0", got, want)
	}
	a.Lift("v", 0, now.Add(time.Second))
	if got := a.Digest(now); got == b.Digest(now) {
		t.Error("with one lifted: got the same digests, want others")
	}
	for _, l := range a.All(now) {
		b.Record(l, now.Add(time.Second))
	}
	if got, want := b.Digest(now), a.Digest(now); got != want {
		t.Errorf("after they were told: got %x, want %x", got, want)
	}
	if got := a.Digest(now.Add(2 * limitTTL)); got != 0 {
		t.Errorf("once all are old: got %x, want 0", got)
	}
}

// TestTakeIsCheapWithoutLimits checks that the way of a request to an upstream without a limit
// allocates nothing and asks nobody.
func TestTakeIsCheapWithoutLimits(t *testing.T) {
	m := NewLimiter(NewLimits())
	m.limits.Record(Limit{ReportedAt: time.Now(), PerSecond: 1, Upstream: "another"}, time.Now())
	if got := testing.AllocsPerRun(100, func() { m.Take(t.Context(), Upstream{Name: "u"}) }); got != 0 {
		t.Errorf("allocations: got %v, want 0", got)
	}
}

// TestHeldPermitsLapse checks that a box which got several permits asks for none while it has some,
// and uses none that has lapsed.
func TestHeldPermitsLapse(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		requests := 0
		m := NewLimiter(NewLimits())
		m.RequestPermits = func(context.Context, *PermitRequest) (*Grant, error) {
			requests++
			return &Grant{Count: 3, From: time.Now(), Until: time.Now().Add(permitTTL)}, nil
		}
		m.limits.Record(Limit{ReportedAt: time.Now(), PerSecond: 10, Upstream: "u"}, time.Now())
		for range 2 {
			m.Take(t.Context(), Upstream{Name: "u"})
		}
		if got, want := requests, 1; got != want {
			t.Errorf("asks for two requests: got %d, want %d", got, want)
		}
		time.Sleep(permitTTL)
		m.Take(t.Context(), Upstream{Name: "u"})
		if got, want := requests, 2; got != want {
			t.Errorf("asks once the permits have lapsed: got %d, want %d", got, want)
		}
	})
}

func BenchmarkTake(b *testing.B) {
	m := NewLimiter(NewLimits())
	m.limits.Record(Limit{ReportedAt: time.Now(), PerSecond: 1, Upstream: "another"}, time.Now())
	b.ReportAllocs()
	for b.Loop() {
		m.Take(b.Context(), Upstream{Name: "u"})
	}
}

// TestColdUpstreamIsSpared checks that a cold upstream gets no more in any second than it bears, also
// where a second box allocates permits beside the first, and that a limit which it names counts, too.
func TestColdUpstreamIsSpared(t *testing.T) {
	const maxRate = 8
	first, second, now := NewAllocator(), NewAllocator(), time.Unix(1_000, 0)
	var used []time.Time
	for range 600 {
		now = now.Add(10 * time.Millisecond)
		q := &PermitRequest{ColdRate: maxRate, Limit: Limit{Upstream: "u"}, Want: 3}
		for range first.Allocate(q, 1, 4, now).Count + second.Allocate(q, FallbackShare, 4, now).Count {
			used = append(used, now)
		}
	}
	got := maxInSpan(used, time.Second)
	if got > maxRate {
		t.Errorf("permits in a second: got %d, want at most %d", got, maxRate)
	}
	if got, minPermits := len(used), 20; got < minPermits {
		t.Errorf("permits in 6 s: got %d, want at least %d", got, minPermits)
	}
	limited := &PermitRequest{ColdRate: maxRate, Limit: Limit{ReportedAt: now, PerSecond: 0.2, Upstream: "v"}, Want: 1}
	if rate, _ := limited.rateAndBurst(); rate != 0.2 {
		t.Errorf("rate of a cold upstream that names 0.2 a second: got %v, want that", rate)
	}
}
