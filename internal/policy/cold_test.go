package policy

import (
	"fmt"
	"testing"
	"time"
)

// TestColdShareIsKeptByAllBoxes checks that the shares of 1 to 300 boxes in a cold upstream add up to at
// least one request a second, and at most to the upstream's capacity of 5 or 42.5 a second.
func TestColdShareIsKeptByAllBoxes(t *testing.T) {
	for _, maxPerSecond := range []float64{5, 42.5} {
		for n := 1; n <= 300; n++ {
			boxes := make([]string, n)
			for i := range boxes {
				boxes[i] = fmt.Sprint("box-", i)
			}
			sum := 0
			for _, b := range boxes {
				sum += ColdShare("u", b, boxes, maxPerSecond)
			}
			if got := float64(sum); got > maxPerSecond || got < 1 {
				t.Errorf("%d boxes, %v a second: got %v, want 1 to %v", n, maxPerSecond, got, maxPerSecond)
			}
		}
	}
}

// TestOwnerBoundsStarts sends 200 short generations within a second to an engine that handles ten
// starts a second while it is cold. Each ends at once. At most ten may start within any second, from the
// queue or at once, besides the one that is registered as running already, and all must start in the end.
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
		if a := o.RequestPlace(w, now); a.Verdict == VerdictStart {
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
		if n > 11 { // ten, and the registered one
			t.Fatalf("starts in the second from %v on: got %d, want at most 11", starts[i].Sub(testStart), n)
		}
	}
}
