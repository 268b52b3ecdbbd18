package policy

import (
	"fmt"
	"slices"
	"testing"
	"time"
)

func TestOwnerRefusesAtOnceWhatCannotMeetItsDeadline(t *testing.T) {
	o := newTestOwner()
	fill(t, o, testStart)
	for i := range 4000 {
		w := testWork(fmt.Sprintf("wait-%d", i))
		w.Deadline = testStart.Add(time.Hour)
		o.RequestPlace(w, testStart)
	}
	w := testWork("short of time")
	w.Deadline = testStart.Add(time.Second)
	w.Priority = -1
	a := o.RequestPlace(w, testStart)
	if got, want := a.Verdict, VerdictRefuse; got != want {
		t.Fatalf("verdict: got %s, want %s", got, want)
	}
	if got, want := a.Reason, ReasonDeadline; got != want {
		t.Errorf("reason: got %s, want %s", got, want)
	}
	if !a.RetryAt.After(testStart) {
		t.Errorf("retry time: got %v, want one after %v", a.RetryAt, testStart)
	}
}

// TestOwnerRefusesAtOnceWhatItGivesUp checks that queued work which can no longer meet its deadline is
// refused at the next sweep instead of staying queued until its deadline.
func TestOwnerRefusesAtOnceWhatItGivesUp(t *testing.T) {
	o := newTestOwner()
	fill(t, o, testStart)
	w := testWork("a")
	w.Deadline = testStart.Add(40 * time.Second)
	if got, want := o.RequestPlace(w, testStart).Verdict, VerdictQueue; got != want {
		t.Fatalf("verdict: got %s, want %s", got, want)
	}
	refusedAfter := time.Duration(0)
	for d := time.Duration(0); d < 40*time.Second && refusedAfter == 0; d += sweepInterval {
		for n := range o.running {
			o.Progress(n, 1+int(d/sweepInterval), testStart.Add(d))
		}
		o.SetReport(Report{AsOf: testStart.Add(d), Running: 32, StepSeconds: 0.02, UsedTokens: 9999}, testStart.Add(d))
		for _, a := range o.Dispatch(testStart.Add(d)) {
			if a.ID == "a" && a.Verdict == VerdictRefuse {
				refusedAfter = d
			}
		}
	}
	if refusedAfter == 0 || refusedAfter > 36*time.Second {
		t.Errorf("refused after: got %v, want well before the deadline at 40s", refusedAfter)
	}
}

func TestOwnerOfALeavingUpstreamRefusesAll(t *testing.T) {
	o := newTestOwner()
	n := fill(t, o, testStart)
	o.RequestPlace(testWork("waits"), testStart)
	o.Leaving = true
	if got, want := o.RequestPlace(testWork("new"), testStart).Reason, ReasonLeaving; got != want {
		t.Errorf("new work: got %q, want %q", got, want)
	}
	a := o.Dispatch(testStart.Add(time.Second))
	if len(a) != 1 || a[0].ID != "waits" || a[0].Reason != ReasonLeaving {
		t.Errorf("queued work: got %v, want its refusal", a)
	}
	if got, want := o.Running(), n; got != want {
		t.Errorf("running work: got %d, want %d", got, want)
	}
}

func TestOwnerNeverInvertsPriorities(t *testing.T) {
	o := newTestOwner()
	fill(t, o, testStart)
	for i, p := range []int{0, 5, -3, 9, 5} {
		w := testWork(fmt.Sprintf("p%d-%d", p, i))
		w.Priority = p
		o.RequestPlace(w, testStart)
	}
	want := []string{"p9-3", "p5-1", "p5-4", "p0-0", "p-3-2"}
	for _, id := range want {
		if got := o.queue.first().work.ID; got != id {
			t.Errorf("next: got %s, want %s", got, id)
		}
		o.Cancel(o.queue.first().work.ID, testStart)
	}
}

// TestRouteDecidesAmongEqualPriorities queues work of one workspace on routes of different priority: the
// costlier work goes first if its route does, and late work goes after both.
func TestRouteDecidesAmongEqualPriorities(t *testing.T) {
	o := newTestOwner()
	fill(t, o, testStart)
	for _, x := range []struct {
		id            string
		route, tokens int
	}{{"check", 8, 10}, {"plan", 9, 3000}, {"late plan", 9, 3000}} {
		w := testWork(x.id)
		w.Kind, w.MaxTokens, w.RoutePriority = x.id, x.tokens, x.route
		w.TargetAt = testStart.Add(2 * time.Second)
		if x.id == "late plan" {
			w.TargetAt = testStart.Add(-time.Second)
		}
		o.RequestPlace(w, testStart)
	}
	o.Dispatch(testStart.Add(sweepInterval))
	var got []string
	for e := o.queue.first(); e != nil; e = o.queue.first() {
		got = append(got, e.work.ID)
		o.Cancel(e.work.ID, testStart)
	}
	if want := []string{"plan", "check", "late plan"}; !slices.Equal(got, want) {
		t.Errorf("order: got %v, want %v", got, want)
	}
}

// TestLooksAreNotCharged requests places for a workspace and cancels them many times, as happens when work
// tries several upstreams: the workspace must not lose any of its fair share.
func TestLooksAreNotCharged(t *testing.T) {
	o := newTestOwner()
	fill(t, o, testStart)
	for i := range 100 {
		w := testWork(fmt.Sprint("look-", i))
		w.Workspace = "looks"
		o.RequestPlace(w, testStart)
		o.Cancel(w.ID, testStart)
	}
	for _, n := range []string{"looks", "others"} {
		w := testWork(n)
		w.Workspace = n
		o.RequestPlace(w, testStart)
	}
	a, b := o.queue.byID["looks"].order.time, o.queue.byID["others"].order.time
	if got := time.Duration(a - b).Abs(); got > time.Millisecond {
		t.Errorf("the workspace that cancelled ranks %v apart from the other, want equal ranks", got)
	}
}

// TestLargeWorkspaceDoesNotCrowdOutSmallOne checks that a workspace with little work ranks ahead of the
// backlog of one with much work.
func TestLargeWorkspaceDoesNotCrowdOutSmallOne(t *testing.T) {
	o := newTestOwner()
	fill(t, o, testStart)
	for i := range 500 {
		w := testWork(fmt.Sprintf("large-%d", i))
		w.Workspace = "large"
		o.RequestPlace(w, testStart)
	}
	w := testWork("small")
	w.Workspace = "small"
	o.RequestPlace(w, testStart.Add(time.Second))
	e := o.queue.byID["small"]
	if got, want := o.queue.costBefore(e.order), 0.5*o.queue.totalCost(); got > want {
		t.Errorf("backlog ahead of the small workspace: got %.1f s, want at most %.1f s", got, want)
	}
}

// TestOwnerRefusesAtOnceWhatItsCallerWillNotAwait checks work with a distant deadline whose caller gives
// up unless its first token has come by some time. It is refused at once if it would wait longer, and
// refused from the queue before its caller gives up. Neither applies to a moved run, which has had its
// first token.
func TestOwnerRefusesAtOnceWhatItsCallerWillNotAwait(t *testing.T) {
	for _, x := range []struct {
		name    string
		waiting int
		moved   bool
		want    Verdict
	}{
		{"a long queue", 4000, false, VerdictRefuse},
		{"a short queue", 0, false, VerdictQueue},
		{"a long queue, moved", 4000, true, VerdictQueue},
	} {
		o := newTestOwner()
		fill(t, o, testStart)
		for i := range x.waiting {
			w := testWork(fmt.Sprintf("wait-%d", i))
			w.Deadline = testStart.Add(time.Hour)
			o.RequestPlace(w, testStart)
		}
		w := testWork("impatient")
		w.Deadline, w.FirstBy, w.Moved, w.Priority = testStart.Add(time.Hour), testStart.Add(7*time.Second), x.moved, -1
		a := o.RequestPlace(w, testStart)
		if got := a.Verdict; got != x.want {
			t.Errorf("%s: verdict: got %s, want %s", x.name, got, x.want)
		}
		if a.Verdict == VerdictRefuse && !a.RetryAt.After(testStart) {
			t.Errorf("%s: retry time: got %v, want one after %v", x.name, a.RetryAt, testStart)
		}
		if x.want != VerdictQueue || x.moved {
			continue
		}
		refusedAfter := time.Duration(0)
		for d := time.Duration(0); d < 10*time.Second && refusedAfter == 0; d += sweepInterval {
			o.SetReport(Report{AsOf: testStart.Add(d), Running: 32, StepSeconds: 0.02, UsedTokens: 9999}, testStart.Add(d))
			for _, a := range o.Dispatch(testStart.Add(d)) {
				if a.ID == "impatient" && a.Verdict == VerdictRefuse {
					refusedAfter = d
				}
			}
		}
		if refusedAfter == 0 || refusedAfter > 7*time.Second {
			t.Errorf("%s: refused after: got %v, want before its caller gives up at 7s", x.name, refusedAfter)
		}
	}
}
