package ratelimit

import (
	"context"
	"math"
	"testing"
	"testing/synctest"
	"time"

	"pgregory.net/rapid"
)

// window is the interval over which the tests count permits.
const window = 4 * time.Second

// maxInSpan returns the largest number of the times, which are sorted, that lie within one span.
func maxInSpan(l []time.Time, span time.Duration) int {
	n, start := 0, 0
	for i := range l {
		for l[i].Sub(l[start]) >= span {
			start++
		}
		n = max(n, i-start+1)
	}
	return n
}

// TestAllocatorKeepsToTheLimit checks, for random permit requests, that neither any window nor the
// whole run gets more permits than the limit, the burst and the urgent overdraft allow.
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
				t.Fatalf("no permit: got retry after %s, want a positive delay", g.RetryAt.Sub(now))
			}
		}
		want := rate*window.Seconds() + minBurst + rate*burstPeriod.Seconds() + urgentOverdraft + 1
		if got := maxInSpan(used, window); float64(got) > want {
			t.Fatalf("permits in %s at %.1f per second: got %d, want at most %.1f", window, rate, got, want)
		}
		if got, want := float64(len(used)), rate*now.Sub(start).Seconds()+want; got > want {
			t.Fatalf("permits: got %.0f, want at most %.1f", got, want)
		}
	})
}

// TestRetryForAFractionOfAPermit guards against a box that is told to retry at once, because rounding
// left a bucket a fraction of a nanosecond's tokens short of a permit.
func TestRetryForAFractionOfAPermit(t *testing.T) {
	for rate := 1.0; rate <= 300; rate++ {
		a, now := NewAllocator(), time.Unix(1_000, 0)
		for i, pause := range []time.Duration{0, 19 * time.Millisecond, time.Millisecond, 0, 3 * time.Millisecond, time.Millisecond, 7 * time.Millisecond} {
			now = now.Add(pause)
			q := &PermitRequest{Limit: Limit{ReportedAt: now, PerSecond: rate, Upstream: "u"}, Urgent: i == 0, Want: 1 + i%3}
			if g := a.Allocate(q, 1, 8, now); g.Count == 0 && !g.RetryAt.After(now) {
				t.Errorf("%v permits a second, request %d: got retry after %s, want a positive delay", rate, i, g.RetryAt.Sub(now))
			}
		}
	}
}

// TestPermitForLater checks that a request that can wait gets a permit for a later time, and that
// no future permit is granted twice.
func TestPermitForLater(t *testing.T) {
	a, now := NewAllocator(), time.Unix(1_000, 0)
	l := Limit{ReportedAt: now, PerSecond: 2, Upstream: "u"}
	want := now
	for i := range 4 {
		g := a.Allocate(&PermitRequest{Limit: l, Want: 1, WaitUntil: now.Add(2 * time.Second)}, 1, 1, now)
		want = want.Add(500 * time.Millisecond)
		if g.Count != 1 || g.From.Sub(want).Abs() > time.Millisecond {
			t.Errorf("permit %d: got %d valid from %s, want 1 valid from %s", i, g.Count, g.From.Sub(now), want.Sub(now))
		}
	}
	g := a.Allocate(&PermitRequest{Limit: l, Want: 1, WaitUntil: now.Add(2 * time.Second)}, 1, 1, now)
	if got, want := g.RetryAt.Sub(now), 2500*time.Millisecond; g.Count != 0 || (got-want).Abs() > time.Millisecond {
		t.Errorf("got %d permits, retry in %s; want none, retry in %s", g.Count, got, want)
	}
}

// TestRefusedBoxesAreSpread checks that boxes that get no permit are given different retry times.
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
		t.Errorf("permit requests per second of %d boxes: got %d, want at most %d", boxes, got, maxRequests)
	}
}

// TestUpstreamWithoutPermitsIsTried checks that an upstream with a limit of 0 still gets probes, so
// that its answers can raise the limit.
func TestUpstreamWithoutPermitsIsTried(t *testing.T) {
	a, now := NewAllocator(), time.Unix(1_000, 0)
	n := 0
	for range 600 {
		now = now.Add(100 * time.Millisecond)
		n += a.Allocate(&PermitRequest{Limit: Limit{ReportedAt: now, Upstream: "u"}, Want: 1}, 1, 1, now).Count
	}
	if got, want := n, 12; got < want-1 || got > want {
		t.Errorf("permits per minute: got %d, want %d", got, want)
	}
}

// TestNewBucketIsEmpty checks that a box that starts to allocate permits grants none at once,
// because another box may just have granted them.
func TestNewBucketIsEmpty(t *testing.T) {
	now := time.Unix(1_000, 0)
	l := Limit{ReportedAt: now, PerSecond: 100, Upstream: "u"}
	if got := NewAllocator().Allocate(&PermitRequest{Limit: l, Want: 10}, 1, 1, now).Count; got != 0 {
		t.Errorf("permits: got %d, want none", got)
	}
	a := NewAllocator()
	a.Allocate(&PermitRequest{Limit: l, Want: 10}, 1, 1, now)
	l.StartedAtMS = 7
	if got := a.Allocate(&PermitRequest{Limit: l, Want: 10}, 1, 1, now.Add(10*time.Millisecond)).Count; got != 0 {
		t.Errorf("permits after the upstream restarted: got %d, want none", got)
	}
}

// TestLoweredLimitHoldsAtOnce checks that tokens that accumulated under a higher limit are not
// granted once the limit is lowered.
func TestLoweredLimitHoldsAtOnce(t *testing.T) {
	a, now := NewAllocator(), time.Unix(1_000, 0)
	allocate := func(rate float64) int {
		return a.Allocate(&PermitRequest{Limit: Limit{ReportedAt: now, PerSecond: rate, Upstream: "u"}, Want: math.MaxInt32}, 1, 1, now).Count
	}
	allocate(200)
	now = now.Add(10 * time.Second)
	if got, maxPermits := allocate(1), minBurst; got > maxPermits {
		t.Errorf("permits after the limit was lowered: got %d, want at most %d", got, maxPermits)
	}
}

// TestLimitOfAnAnswerThatWasOvertaken checks that the later of two answers counts, whatever order
// they are recorded in, and how long a limit stays in force after an answer without one.
func TestLimitOfAnAnswerThatWasOvertaken(t *testing.T) {
	s, now := NewLimits(), time.Unix(1_000, 0)
	later := now.Add(time.Second)
	s.Record(Limit{ReportedAt: later, PerSecond: 3, Upstream: "u"}, later)
	if c := s.Record(Limit{ReportedAt: now, PerSecond: 9, Upstream: "u"}, later); c != nil {
		t.Errorf("older answer: got %v, want no change", c.After)
	}
	if l := s.Get("u", 0, later); l == nil || l.PerSecond != 3 {
		t.Errorf("limit: got %v, want 3 requests per second", l)
	}
	if l := s.Get("u", 1, later); l != nil {
		t.Errorf("after the upstream restarted: got %v, want no limit", l)
	}
	later = later.Add(time.Millisecond)
	s.Lift("u", 0, later)
	if l := s.Get("u", 0, later.Add(liftDelay-time.Millisecond)); l == nil {
		t.Error("just before the lift delay has passed: got no limit, want the old one")
	}
	if l := s.Get("u", 0, later.Add(liftDelay)); l != nil {
		t.Errorf("after the lift delay: got %v, want no limit", l)
	}
	if c := s.Record(Limit{ReportedAt: later, PerSecond: 3, Upstream: "u"}, later.Add(time.Second)); c != nil {
		t.Errorf("report from another box that is no newer than the lift: got %v, want no change", c.After)
	}
}

// TestDigestsOfLimits checks that boxes that know the same limited upstreams have the same digest,
// even if they know different rates.
func TestDigestsOfLimits(t *testing.T) {
	now := time.Unix(1_000, 0)
	a, b := NewLimits(), NewLimits()
	for i, n := range []string{"u", "v", "w"} {
		a.Record(Limit{ReportedAt: now, PerSecond: 1, Upstream: n}, now)
		b.Record(Limit{ReportedAt: now.Add(time.Duration(i)), PerSecond: 2, Upstream: n}, now)
	}
	if got, want := a.Digest(now), b.Digest(now); got != want || got == 0 {
		t.Errorf("digests: got %x and %x, want equal and not 0", got, want)
	}
	a.Lift("v", 0, now.Add(time.Second))
	if got := a.Digest(now); got == b.Digest(now) {
		t.Error("after one limit was lifted: got equal digests, want different ones")
	}
	for _, l := range a.All(now) {
		b.Record(l, now.Add(time.Second))
	}
	if got, want := b.Digest(now), a.Digest(now); got != want {
		t.Errorf("after the limits were copied: got digest %x, want %x", got, want)
	}
	if got := a.Digest(now.Add(2 * limitTTL)); got != 0 {
		t.Errorf("after all limits expired: got digest %x, want 0", got)
	}
}

// TestTakeIsCheapWithoutLimits checks that Take neither allocates nor requests permits for an
// upstream without a limit. Requesting permits would panic: RequestPermits is nil.
func TestTakeIsCheapWithoutLimits(t *testing.T) {
	m := NewLimiter(NewLimits())
	m.limits.Record(Limit{ReportedAt: time.Now(), PerSecond: 1, Upstream: "another"}, time.Now())
	if got := testing.AllocsPerRun(100, func() { m.Take(t.Context(), Upstream{Name: "u"}) }); got != 0 {
		t.Errorf("allocations: got %v, want 0", got)
	}
}

// TestHeldPermitsLapse checks that a box that was granted several permits requests no more while it
// holds valid ones, and does not use expired ones.
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
			t.Errorf("permit requests for two takes: got %d, want %d", got, want)
		}
		time.Sleep(permitTTL)
		m.Take(t.Context(), Upstream{Name: "u"})
		if got, want := requests, 2; got != want {
			t.Errorf("permit requests after the permits expired: got %d, want %d", got, want)
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

// TestColdUpstreamIsSpared checks that a cold upstream never gets more requests in a second than it
// can sustain, even while two boxes allocate its permits, and that a lower limit that the upstream
// announces itself still applies.
func TestColdUpstreamIsSpared(t *testing.T) {
	const maxRate = 8
	allocator, fallback, now := NewAllocator(), NewAllocator(), time.Unix(1_000, 0)
	var used []time.Time
	for range 600 {
		now = now.Add(10 * time.Millisecond)
		q := &PermitRequest{ColdRate: maxRate, Limit: Limit{Upstream: "u"}, Want: 3}
		for range allocator.Allocate(q, 1, 4, now).Count + fallback.Allocate(q, FallbackShare, 4, now).Count {
			used = append(used, now)
		}
	}
	got := maxInSpan(used, time.Second)
	if got > maxRate {
		t.Errorf("permits within a second: got %d, want at most %d", got, maxRate)
	}
	if got, minPermits := len(used), 20; got < minPermits {
		t.Errorf("permits in 6 s: got %d, want at least %d", got, minPermits)
	}
	limited := &PermitRequest{ColdRate: maxRate, Limit: Limit{ReportedAt: now, PerSecond: 0.2, Upstream: "v"}, Want: 1}
	if rate, _ := limited.rateAndBurst(); rate != 0.2 {
		t.Errorf("rate of a cold upstream with a limit of 0.2 requests per second: got %v, want 0.2", rate)
	}
}
