package policy

import (
	"fmt"
	"testing"
	"time"
)

// TestColdShareIsKeptByAllBoxes sums what boxes may send to a cold upstream, from one box to
// 300, before one that bears 42 requests a second and one that bears 5.
func TestColdShareIsKeptByAllBoxes(t *testing.T) {
	for _, bears := range []float64{5, 42.5} {
		for n := 1; n <= 300; n++ {
			boxes := make([]string, n)
			for i := range boxes {
				boxes[i] = fmt.Sprint("box-", i)
			}
			sum := 0
			for _, b := range boxes {
				sum += ColdShare("u", b, boxes, bears)
			}
			if got := float64(sum); got > bears || got < 1 {
				t.Errorf("%d boxes, %v a second: got %v, want 1 to %v", n, bears, got, bears)
			}
		}
	}
}

// TestOwnerBoundsStarts has a crowd of short generations, 200 in a second, each over at
// once, come to an engine that bears ten a second while it is cold: in no second more start,
// those that wait and those that run already elsewhere counted, and all start in the end.
func TestOwnerBoundsStarts(t *testing.T) {
	o := NewOwner("u", Capacity{KVTokens: 100_000, MaxBatch: 64, MaxStartsPerSecond: 10}, NewLengths(), testStart)
	o.SetReport(Report{AsOf: testStart, StepSeconds: 0.02}, testStart)
	var starts []time.Time
	start := func(id string, now time.Time) {
		starts = append(starts, now)
		o.Finish(id, 1, true, now)
	}
	now := testStart
	for i := range 200 {
		w := testWork(fmt.Sprint("crowd-", i))
		w.Deadline = now.Add(time.Hour)
		if a := o.Ask(w, now); a.Verdict == VerdictStart {
			start(w.ID, now)
		}
		if i == 100 {
			o.Register(testWork("moved"), 10, now)
			starts = append(starts, now)
		}
		now = now.Add(5 * time.Millisecond)
	}
	for range 30 * 50 {
		for _, a := range o.Dispatch(now) {
			if a.Verdict == VerdictStart {
				start(a.ID, now)
			}
		}
		now = now.Add(20 * time.Millisecond)
	}
	if len(starts) != 201 {
		t.Errorf("starts: got %d, want 201", len(starts))
	}
	for i := range starts {
		n := 0
		for _, s := range starts[i:] {
			if s.Sub(starts[i]) < time.Second {
				n++
			}
		}
		if n > 11 { // ten, and the one that the owner was told of
			t.Fatalf("starts in the second from %v on: got %d, want at most 11", starts[i].Sub(testStart), n)
		}
	}
}
