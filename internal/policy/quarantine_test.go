package policy

import (
	"fmt"
	"strings"
	"testing"
	"time"
)

// TestTwoCrashesQuarantineARequest checks when a request is sent to no further upstream: once two
// starts of upstreams crashed under it apart in time from others, or three in any way, and for as
// long as they are remembered.
func TestTwoCrashesQuarantineARequest(t *testing.T) {
	now := time.Now()
	at := now.Add
	type fact struct {
		after        time.Duration
		upstream     string
		born         int64
		fingerprints []Fingerprint
	}
	const own, other = Fingerprint(1), Fingerprint(2)
	both := []Fingerprint{own, other}
	for _, x := range []struct {
		name  string
		facts []fact
		later time.Duration
		want  bool
	}{
		{"one", []fact{{0, "a", 1, both}}, time.Second, false},
		{"two", []fact{{0, "a", 1, both}, {time.Second, "b", 1, both}}, 2 * time.Second, true},
		{"the second was another's", []fact{{0, "a", 1, both}, {time.Second, "b", 1, []Fingerprint{other}}}, 2 * time.Second, false},
		{"one that several boxes tell of", []fact{{0, "a", 1, both}, {time.Second, "a", 1, both}}, 2 * time.Second, false},
		{"one that has started again", []fact{{0, "a", 1, both}, {time.Second, "a", 2, both}}, 2 * time.Second, true},
		{"one that has started again and does not tell when", []fact{{0, "a", 0, both}, {4 * time.Second, "a", 0, both}}, 5 * time.Second, true},
		{"one that does not tell when it started, told of twice", []fact{{0, "a", 0, both}, {time.Second, "a", 0, both}}, 2 * time.Second, false},
		{"two long ago", []fact{{0, "a", 1, both}, {time.Second, "b", 1, both}}, time.Hour, false},
		{"a rack with one more after it", []fact{
			{0, "a", 1, both}, {time.Millisecond, "b", 1, nil}, {2 * time.Millisecond, "c", 1, nil}, {time.Second, "d", 1, both},
		}, 2 * time.Second, false},
		{"all that crashed together", []fact{
			{0, "a", 1, both}, {time.Millisecond, "b", 1, both}, {2 * time.Millisecond, "c", 1, both},
		}, 2 * time.Second, true},
		{"two of three that crashed together, and one of three again", []fact{
			{0, "a", 1, both}, {0, "b", 1, both}, {0, "c", 1, nil}, {time.Second, "d", 1, both}, {time.Second, "e", 1, nil}, {time.Second, "f", 1, nil},
		}, 2 * time.Second, true},
		{"a rack twice", []fact{
			{0, "a", 1, both}, {0, "b", 1, nil}, {0, "c", 1, nil}, {time.Second, "d", 1, both}, {time.Second, "e", 1, nil}, {time.Second, "f", 1, nil},
		}, 2 * time.Second, false},
	} {
		q := NewQuarantine()
		for _, f := range x.facts {
			q.Record([]Crash{crashOf(f.upstream, f.born, at(f.after), f.fingerprints...)}, at(f.after))
		}
		if got := q.Quarantined(own, at(x.later)); got != x.want {
			t.Errorf("%s: got quarantined %v, want %v", x.name, got, x.want)
		}
		q.Clear(own)
		if q.Quarantined(own, at(x.later)) {
			t.Errorf("%s: quarantined although it ran to its end", x.name)
		}
	}
}

// crashOf returns a crash with its suspects.
func crashOf(upstream string, born int64, at time.Time, l ...Fingerprint) Crash {
	c := Crash{At: at, StartedAtMS: born, Upstream: upstream}
	for _, p := range l {
		c.Suspects = append(c.Suspects, Suspect{Fingerprint: p})
	}
	return c
}

// TestCrashesAreBounded has more requests than are remembered be running as upstreams end, over
// days: what is old goes.
func TestCrashesAreBounded(t *testing.T) {
	now, q := time.Now(), NewQuarantine()
	for i := range 10 {
		var fingerprints []Fingerprint
		for n := range 4000 {
			fingerprints = append(fingerprints, Fingerprint(i*4000+n+1))
		}
		at := now.Add(time.Duration(i) * time.Second)
		q.Record([]Crash{crashOf(fmt.Sprint("u-", i), 0, at, fingerprints...)}, at)
	}
	if got := q.suspectCount; got > maxSuspects {
		t.Errorf("suspects: got %d, want at most %d", got, maxSuspects)
	}
	q.Record([]Crash{crashOf("later", 0, now.Add(time.Hour))}, now.Add(time.Hour))
	if got := len(q.bySuspect) + len(q.crashes) + q.suspectCount; got != 1 {
		t.Errorf("remembered an hour later: got %d, want 1, the crash itself", got)
	}
}

// BenchmarkQuarantine measures what a request pays for a look: while nothing is remembered, and while
// 16 upstreams ended under 64 requests each. The third takes in such an end.
func BenchmarkQuarantine(b *testing.B) {
	now := time.Now()
	fingerprints := make([]Fingerprint, 64)
	for i := range fingerprints {
		fingerprints[i] = Fingerprint(i + 1)
	}
	b.Run("empty", func(b *testing.B) {
		q := NewQuarantine()
		for b.Loop() {
			_ = q.Empty()
		}
	})
	b.Run("quarantined", func(b *testing.B) {
		q := NewQuarantine()
		for i := range 16 {
			at := now.Add(time.Duration(i) * time.Second)
			q.Record([]Crash{crashOf(fmt.Sprint("u-", i), 0, at, fingerprints...)}, at)
		}
		for b.Loop() {
			_ = q.Quarantined(fingerprints[0], now)
		}
	})
	b.Run("other", func(b *testing.B) {
		q := NewQuarantine()
		for i := range 16 {
			at := now.Add(time.Duration(i) * time.Second)
			q.Record([]Crash{crashOf(fmt.Sprint("u-", i), 0, at, fingerprints...)}, at)
		}
		for b.Loop() {
			_ = q.Quarantined(1<<40, now)
		}
	})
	b.Run("crash", func(b *testing.B) {
		b.ReportAllocs()
		for b.Loop() {
			NewQuarantine().Record([]Crash{crashOf("u", 0, now, fingerprints...)}, now)
		}
	})
}

// TestQuarantineLastsWhileTheRequestReturns has a poison request return every 20 s for three days,
// at boxes that tell each other what they learn: it is let through three times and no more.
func TestQuarantineLastsWhileTheRequestReturns(t *testing.T) {
	const p = Fingerprint(1)
	start := time.Now()
	a, b := NewQuarantine(), NewQuarantine()
	for i := range 2 {
		l := []Crash{crashOf(fmt.Sprint("u-", i), 1, start, p)}
		a.Record(l, start)
		b.Record(l, start)
	}
	var trials []time.Duration
	for now := start; now.Sub(start) < 72*time.Hour; now = now.Add(20 * time.Second) {
		a, b = b, a // it returns to one after the other
		if l := a.Renew(p, now); l != nil {
			b.Record(l, now)
		}
		if a.Quarantined(p, now) {
			continue
		}
		trials = append(trials, now.Sub(start))
		if l := a.TakeTrial(p, now); l == nil {
			t.Fatalf("after %v: sent on without a trial", now.Sub(start))
		} else {
			b.Record(l, now)
		}
		if !a.Quarantined(p, now) || !b.Quarantined(p, now) {
			t.Fatalf("after %v: not quarantined beside a trial", now.Sub(start))
		}
		l := []Crash{crashOf(fmt.Sprint("u-", now.Sub(start)), 1, now, p)}
		a.Record(l, now)
		b.Record(l, now)
	}
	if got, want := fmt.Sprint(trials), "[10m0s 30m0s 1h10m0s]"; got != want {
		t.Errorf("trials: got %s, want %s", got, want)
	}
}

// TestQuarantineEnds checks that a request is forgotten some time after it has last returned, and
// that a trial which ends well frees one that was quarantined by chance.
func TestQuarantineEnds(t *testing.T) {
	const p = Fingerprint(1)
	now := time.Now()
	q := NewQuarantine()
	quarantine := func() {
		for i := range 2 {
			q.Record([]Crash{crashOf(fmt.Sprint("u-", i), now.UnixNano(), now, p)}, now)
		}
		if !q.Quarantined(p, now) {
			t.Fatal("not quarantined after two crashes")
		}
	}
	quarantine()
	now = now.Add(firstTrialDelay)
	if q.TakeTrial(p, now) == nil {
		t.Error("no trial")
	}
	q.Clear(p)
	if q.Quarantined(p, now) {
		t.Error("quarantined although its trial ended well")
	}
	now = now.Add(time.Hour)
	quarantine()
	now = now.Add(quarantineTTL - time.Second)
	q.TakeTrial(p, now)
	if !q.Quarantined(p, now) {
		t.Errorf("forgotten before %v", quarantineTTL)
	}
	if now = now.Add(time.Second); q.Quarantined(p, now) || !q.Empty() {
		t.Errorf("remembered after %v", quarantineTTL)
	}
}

// TestFloodDoesNotPushOutAQuarantine has more suspects than are remembered after a request was
// quarantined, and before another one is.
func TestFloodDoesNotPushOutAQuarantine(t *testing.T) {
	const first, second = Fingerprint(1), Fingerprint(2)
	now, q := time.Now(), NewQuarantine()
	n := Fingerprint(10)
	crash := func(p Fingerprint, with int) {
		now = now.Add(time.Second)
		c := crashOf(fmt.Sprint("u-", now.UnixNano()), 1, now, p)
		for range with {
			n++
			c.Suspects = append(c.Suspects, Suspect{Fingerprint: n})
		}
		q.Record([]Crash{c}, now)
	}
	crash(first, 10)
	crash(first, 10)
	for i := range 8 {
		crash(Fingerprint(3+i), maxSuspects/4)
	}
	crash(second, 10)
	crash(second, 10)
	for _, p := range []Fingerprint{first, second} {
		if !q.Quarantined(p, now) {
			t.Errorf("%v: not quarantined", p)
		}
	}
	if got := q.CrashCount(3, now); got != 0 {
		t.Errorf("crashes of an old suspect: got %d, want none remembered", got)
	}
}

// TestCrashesDoNotFollowTheTimeOfDay records a crash that another box told, whose time is that of the
// day: its age must not change where the time of day steps afterwards.
func TestCrashesDoNotFollowTheTimeOfDay(t *testing.T) {
	now, q := time.Now(), NewQuarantine()
	q.Record([]Crash{crashOf("u", 1, now.Add(-time.Second).Round(0), 1)}, now)
	if got := q.crashes[0].At; !strings.Contains(got.String(), " m=") || now.Sub(got) != time.Second {
		t.Errorf("got %v, want a second before %v by the steady clock", got, now)
	}
}
