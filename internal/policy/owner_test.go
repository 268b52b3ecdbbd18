package policy

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"
)

var testStart = time.Unix(1000, 0)

// newTestOwner returns an owner that has the report of an idle upstream.
func newTestOwner() *Owner {
	o := NewOwner("u", Capacity{KVTokens: 10_000, MaxBatch: 32}, NewLengths(), testStart)
	o.SetReport(Report{AsOf: testStart, StepSeconds: 0.02}, testStart)
	return o
}

// fill starts work until some is queued, and returns how much started.
func fill(t *testing.T, o *Owner, now time.Time) int {
	t.Helper()
	for n := 0; ; n++ {
		w := testWork(fmt.Sprintf("fill-%d", n))
		switch a := o.RequestPlace(w, now); a.Verdict {
		case VerdictStart:
			o.Progress(w.ID, 1, now)
		case VerdictQueue:
			o.Cancel(w.ID, now)
			return n
		case VerdictRefuse:
			t.Fatalf("refused with reason %s", a.Reason)
		}
	}
}

func TestOwnerAnswersTheSameAskAlike(t *testing.T) {
	o := newTestOwner()
	w := testWork("a")
	for range 3 {
		if got, want := o.RequestPlace(w, testStart).Verdict, VerdictStart; got != want {
			t.Fatalf("verdict: got %s, want %s", got, want)
		}
	}
	if got, want := o.Running(), 1; got != want {
		t.Errorf("reservations: got %d, want %d", got, want)
	}
}

func TestOwnerDropsReservationsThatWereNotUsed(t *testing.T) {
	o := newTestOwner()
	var unused []time.Duration
	o.OnUnused = func(held time.Duration) { unused = append(unused, held) }
	o.RequestPlace(testWork("a"), testStart)
	o.Dispatch(testStart.Add(reservationTimeout + time.Millisecond))
	o.RequestPlace(testWork("b"), testStart)
	o.Finish("b", 0, false, testStart.Add(time.Second))
	o.RequestPlace(testWork("c"), testStart)
	o.Finish("c", 1, true, testStart.Add(time.Second))
	if got, want := unused, []time.Duration{reservationTimeout + time.Millisecond, time.Second}; !slices.Equal(got, want) {
		t.Errorf("unused reservations: got %v, want %v", got, want)
	}
	if got, want := o.Running(), 0; got != want {
		t.Errorf("reservations: got %d, want %d", got, want)
	}
	if got, want := o.usedTokens, 0; got != want {
		t.Errorf("used tokens: got %d, want %d", got, want)
	}
}

// TestOwnerBoundsThePromptsThatAreRead checks that a prompt waits while the prefill limit is reached, and
// that a moved run neither waits for it nor counts towards it, as its KV memory is copied.
func TestOwnerBoundsThePromptsThatAreRead(t *testing.T) {
	o := NewOwner("u", Capacity{KVTokens: 30_000, MaxBatch: 32, MaxPrefillTokens: 7000}, NewLengths(), testStart)
	o.SetReport(Report{AsOf: testStart, StepSeconds: 0.02}, testStart)
	request := func(id string, prompt int, moved bool, want Verdict) {
		t.Helper()
		w := testWork(id)
		w.Prompt, w.Moved = prompt, moved
		if got := o.RequestPlace(w, testStart).Verdict; got != want {
			t.Errorf("%s: got %s, want %s", id, got, want)
		}
	}
	request("moved", 5000, true, VerdictStart)
	request("first", 5000, false, VerdictStart)
	request("moved too", 5000, true, VerdictStart)
	request("second", 3000, false, VerdictQueue)
	o.Progress("moved", 1, testStart)
	if got := o.Dispatch(testStart); len(got) != 0 {
		t.Errorf("while the first prompt is prefilled: got %v, want no verdicts", got)
	}
	o.Progress("first", 1, testStart)
	if got := o.Dispatch(testStart); len(got) != 1 || got[0].ID != "second" {
		t.Errorf("once it is prefilled: got %v, want a start of the second", got)
	}
	o.Finish("second", 0, false, testStart)
	if got := o.Load(testStart).UsedTokens; got != 15_002 {
		t.Errorf("used tokens in the end: got %d, want 15002", got)
	}
}

// TestOwnerIsConservativeUntilItKnows checks that a new owner starts nothing before its first report, or
// before its grace period has passed without one.
func TestOwnerIsConservativeUntilItKnows(t *testing.T) {
	o := NewOwner("u", Capacity{KVTokens: 10_000, MaxBatch: 32}, NewLengths(), testStart)
	if got, want := o.RequestPlace(testWork("a"), testStart).Verdict, VerdictQueue; got != want {
		t.Fatalf("verdict: got %s, want %s", got, want)
	}
	if got := o.Dispatch(testStart.Add(gracePeriod - time.Millisecond)); len(got) != 0 {
		t.Errorf("within the grace period: got %v, want no verdicts", got)
	}
	if got, want := len(o.Dispatch(testStart.Add(gracePeriod))), 1; got != want {
		t.Errorf("after the grace period: got %d starts, want %d", got, want)
	}
}

// TestOwnerCountsWhatItDoesNotKnow checks that a new owner of a busy upstream counts reported memory that
// no known generation accounts for, and stops doing so as generations are registered.
func TestOwnerCountsWhatItDoesNotKnow(t *testing.T) {
	o := NewOwner("u", Capacity{KVTokens: 10_000, MaxBatch: 32}, NewLengths(), testStart)
	o.SetReport(Report{AsOf: testStart, Running: 10, StepSeconds: 0.02, UsedTokens: 9900}, testStart)
	if got, want := o.RequestPlace(testWork("a"), testStart).Verdict, VerdictQueue; got != want {
		t.Fatalf("at a full upstream: got %s, want %s", got, want)
	}
	for i := range 9 {
		w := testWork(fmt.Sprintf("r%d", i))
		w.Prompt = 1000
		o.Register(w, 100, testStart)
	}
	if got, want := o.unaccountedTokens, 0; got != want {
		t.Errorf("unaccounted tokens: got %d, want %d", got, want)
	}
	if got, want := o.usedTokens, 9900; got != want {
		t.Errorf("tokens of known generations: got %d, want %d", got, want)
	}
}

// TestTwoOwnersOvercommitForAMomentOnly checks that two simultaneous owners of an upstream overcommit it
// only until the next report, which shows each of them what the other one has started.
func TestTwoOwnersOvercommitForAMomentOnly(t *testing.T) {
	a, b := newTestOwner(), newTestOwner()
	n := fill(t, a, testStart) + fill(t, b, testStart)
	later := testStart.Add(time.Second)
	r := Report{AsOf: later, Running: n, StepSeconds: 0.02, UsedTokens: n * 101}
	for _, o := range []*Owner{a, b} {
		o.SetReport(r, later)
		if got, want := o.RequestPlace(testWork("late"), later).Verdict, VerdictQueue; got != want {
			t.Errorf("after the report: got %s, want %s", got, want)
		}
	}
}

func TestOwnerStartsNothingWhileSomethingStalls(t *testing.T) {
	o := newTestOwner()
	o.RequestPlace(testWork("a"), testStart)
	o.Progress("a", 5, testStart)
	later := testStart.Add(2 * time.Second)
	o.Progress("a", 5, later)
	if got, want := o.RequestPlace(testWork("b"), later).Verdict, VerdictQueue; got != want {
		t.Fatalf("while a stalls: got %s, want %s", got, want)
	}
	o.Progress("a", 6, later)
	if got, want := len(o.Dispatch(later)), 1; got != want {
		t.Errorf("once a continues: got %d starts, want %d", got, want)
	}
}

func TestOwnerRaisesItsMarginAfterPreemptions(t *testing.T) {
	o := newTestOwner()
	before := fill(t, o, testStart)
	p := newTestOwner()
	p.SetReport(Report{AsOf: testStart, Preemptions: 100, StepSeconds: 0.02}, testStart)
	if got := fill(t, p, testStart); got >= before {
		t.Errorf("started after preemptions: got %d, want fewer than %d", got, before)
	}
}

func TestOwnerLowersItsBatchForTheTimeBetweenTokens(t *testing.T) {
	o := newTestOwner()
	o.SetReport(Report{AsOf: testStart, Running: 20, StepSeconds: 0.08}, testStart)
	if got, want := o.batchLimit, 10.0; got != want {
		t.Errorf("batch limit: got %v, want %v", got, want)
	}
}

func TestOwnerForgetsWhatARestartedUpstreamLost(t *testing.T) {
	o := newTestOwner()
	fill(t, o, testStart)
	o.HandleRestart()
	if got, want := o.Running(), 0; got != want {
		t.Errorf("running: got %d, want %d", got, want)
	}
}

// TestOwnerAccounts drives an owner through random schedules. After each step its sums must match the
// work that it tracks, no work may be lost, an idle upstream must accept work, and each placement request
// must get exactly one final answer.
func TestOwnerAccounts(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		o := newTestOwner()
		now := testStart
		produced := make(map[string]int)
		waiting := make(map[string]bool)
		number := 0
		record := func(a Answer) {
			switch a.Verdict {
			case VerdictStart:
				produced[a.ID] = 0
			case VerdictQueue:
				waiting[a.ID] = true
				return
			case VerdictRefuse:
			}
			delete(waiting, a.ID)
		}
		pick := func(t *rapid.T, m map[string]int) string {
			var l []string
			for id := range number {
				if _, ok := m[fmt.Sprint(id)]; ok {
					l = append(l, fmt.Sprint(id))
				}
			}
			if len(l) == 0 {
				t.Skip("nothing runs")
			}
			return rapid.SampledFrom(l).Draw(t, "id")
		}
		t.Repeat(map[string]func(*rapid.T){
			"ask": func(t *rapid.T) {
				w := testWork(fmt.Sprint(number))
				number++
				w.Arrived, w.Deadline = now, now.Add(time.Duration(rapid.IntRange(1, 100).Draw(t, "deadline"))*time.Second)
				w.Prompt = rapid.IntRange(1, 3000).Draw(t, "prompt")
				w.Kind = rapid.SampledFrom([]string{"", "a", "b"}).Draw(t, "kind")
				idle := o.Running() == 0 && o.Queued() == 0
				a := o.RequestPlace(w, now)
				if idle && a.Verdict != VerdictStart {
					t.Fatalf("at an idle upstream: got %+v, want a start", a)
				}
				record(a)
			},
			"progress": func(t *rapid.T) {
				id := pick(t, produced)
				produced[id] += rapid.IntRange(0, 300).Draw(t, "tokens")
				o.Progress(id, produced[id], now)
			},
			"finish": func(t *rapid.T) {
				id := pick(t, produced)
				o.Finish(id, produced[id], rapid.Bool().Draw(t, "ended"), now)
				delete(produced, id)
			},
			"time": func(t *rapid.T) {
				now = now.Add(time.Duration(rapid.IntRange(1, 3000).Draw(t, "ms")) * time.Millisecond)
				for _, a := range o.Dispatch(now) {
					record(a)
				}
				for id := range produced {
					if !o.IsRunning(id) {
						delete(produced, id) // its reservation has expired
					}
				}
			},
			"": func(t *rapid.T) {
				used := 0
				for _, r := range o.running {
					used += r.work.Prompt + r.produced
				}
				if got, want := o.usedTokens, used; got != want {
					t.Fatalf("used tokens: got %d, want %d", got, want)
				}
				if got, want := o.Queued(), len(waiting); got != want {
					t.Fatalf("waiting: got %d, want %d", got, want)
				}
				if got, want := o.Running(), len(produced); got != want {
					t.Fatalf("running: got %d, want %d", got, want)
				}
				if o.stalledCount < 0 || o.stalledCount > o.Running() {
					t.Fatalf("stalled: got %d of %d", o.stalledCount, o.Running())
				}
			},
		})
	})
}

// BenchmarkOwnerAsk measures a decision with 200 generations running and 10,000 queued.
// BenchmarkOwnerAskQueue shows how its cost grows with the queue.
func BenchmarkOwnerAsk(b *testing.B) { benchmarkRequestPlace(b, 10_000) }

func BenchmarkOwnerAskQueue(b *testing.B) {
	for _, n := range []int{10, 100, 1000, 10_000, 100_000} {
		b.Run(fmt.Sprint(n), func(b *testing.B) { benchmarkRequestPlace(b, n) })
	}
}

func benchmarkRequestPlace(b *testing.B, queued int) {
	o := NewOwner("u", Capacity{KVTokens: 400_000, MaxBatch: 200}, NewLengths(), testStart, WithMaxQueued(1<<20))
	o.SetReport(Report{AsOf: testStart, StepSeconds: 0.02}, testStart)
	for i := range 200 {
		o.Register(testWork(fmt.Sprintf("r%d", i)), 10, testStart)
	}
	for i := range queued {
		w := testWork(fmt.Sprintf("q%d", i))
		w.Prompt, w.Workspace, w.Deadline = 100+i%1000, fmt.Sprint(i%100), testStart.Add(1000*time.Hour)
		o.RequestPlace(w, testStart)
	}
	w := testWork("asked")
	w.Deadline = testStart.Add(1000 * time.Hour)
	b.ReportAllocs()
	for b.Loop() {
		o.RequestPlace(w, testStart)
		o.Cancel("asked", testStart)
	}
}
