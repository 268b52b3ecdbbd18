package policy

import (
	"slices"
	"testing"
	"time"
)

// TestLargeWorkGoesFirstWhileItCanBeInTime queues work of two routes. Large work ranks ahead of both routes
// while it can meet its target, behind work of a higher priority, and behind all other work once it is
// late.
func TestLargeWorkGoesFirstWhileItCanBeInTime(t *testing.T) {
	o := newTestOwner()
	fill(t, o, testStart)
	request := func(id string, change func(w *Work)) {
		w := testWork(id)
		w.TargetAt, w.Deadline = testStart.Add(2*time.Second), testStart.Add(time.Hour)
		w.Workspace = id // otherwise the fair share would decide
		change(w)
		o.RequestPlace(w, testStart)
	}
	request("plan", func(w *Work) { w.RoutePriority = 9 })
	request("check", func(w *Work) { w.RoutePriority = 8 })
	request("large check", func(w *Work) { w.RoutePriority, w.Large, w.Prompt = 8, true, 400 })
	request("larger check", func(w *Work) { w.RoutePriority, w.Large, w.Prompt = 8, true, 900 })
	request("late large check", func(w *Work) { w.RoutePriority, w.Large, w.TargetAt = 8, true, testStart.Add(-time.Second) })
	request("large without a target", func(w *Work) { w.RoutePriority, w.Large, w.TargetAt = 7, true, time.Time{} })
	request("of a higher priority", func(w *Work) { w.Priority = 1 })
	var got []string
	for e := o.queue.first(); e != nil; e = o.queue.first() {
		got = append(got, e.work.ID)
		o.Cancel(e.work.ID, testStart)
	}
	want := []string{"of a higher priority", "larger check", "large check", "plan", "check", "large without a target", "late large check"}
	if !slices.Equal(got, want) {
		t.Errorf("order: got %v, want %v", got, want)
	}
}

// TestNothingStartsPastLargeWork queues large work that waits for memory. Small work that would fit must
// wait, too, until enough memory is free for the large work.
func TestNothingStartsPastLargeWork(t *testing.T) {
	o := newTestOwner()
	fill(t, o, testStart)
	large := testWork("large")
	large.Large, large.Prompt, large.TargetAt, large.Deadline = true, o.capacity.KVTokens/2, testStart.Add(time.Minute), testStart.Add(time.Hour)
	if got := o.RequestPlace(large, testStart).Verdict; got != VerdictQueue {
		t.Fatalf("large work: got %s, want it queued", got)
	}
	ids := make([]string, 0, len(o.running))
	for id := range o.running {
		ids = append(ids, id)
	}
	slices.Sort(ids)
	started := ""
	for i, id := range ids {
		o.Finish(id, 10, true, testStart)
		o.SetReport(Report{AsOf: testStart, StepSeconds: 0.02}, testStart)
		small := testWork("small-" + id)
		small.TargetAt, small.Deadline = testStart.Add(time.Minute), testStart.Add(time.Hour)
		if v := o.RequestPlace(small, testStart).Verdict; v == VerdictStart && started == "" {
			t.Fatalf("after %d ended generations: small work started, want the large work first", i+1)
		}
		for _, a := range o.Dispatch(testStart) {
			if started == "" {
				started = a.ID
			}
		}
		if started != "" {
			break
		}
	}
	if started != "large" {
		t.Errorf("first to start: got %q, want the large work", started)
	}
}
