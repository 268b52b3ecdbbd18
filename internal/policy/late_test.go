package policy

import (
	"fmt"
	"testing"
	"time"
)

// crowd is a load of which an engine can serve about two thirds: two long streams a second, with prompts
// of 3,000 tokens and outputs of 740, as when other engines of a hall have failed and their callers
// arrive here. The targets and the time until callers give up are those that operators declare for such
// streams.
const (
	crowdInterval        = 500 * time.Millisecond
	crowdOutput          = 740
	crowdFirstTokenLimit = 7200 * time.Millisecond
	crowdPrompt          = 3000
	crowdStep            = 9 * time.Millisecond
	crowdTarget          = 1800 * time.Millisecond
)

// crowdResult is the outcome of a crowd.
type crowdResult struct {
	onTime, late, refused int
	longestRefusedWait    time.Duration // longest time in the queue of refused work
}

// runCrowd simulates an owner under a crowd of n streams, with or without targets.
func runCrowd(n int, targets bool) crowdResult {
	l := NewLengths()
	for range 40 {
		l.Observe(KeyOf(&Work{Kind: "plan", Model: "m"}), 0, crowdOutput, true)
	}
	o := NewOwner("u", Capacity{KVTokens: 21_878, MaxBatch: 24}, l, testStart)
	var r crowdResult
	type run struct {
		id        string
		startedAt time.Time
	}
	arrived := make(map[string]time.Time)
	var running []run
	start := func(id string, now time.Time) {
		running = append(running, run{id, now})
		if now.Sub(arrived[id]) <= crowdTarget-seconds(prefillSecondsPerToken*crowdPrompt) {
			r.onTime++
		} else {
			r.late++
		}
	}
	refuse := func(id string, now time.Time) {
		r.refused++
		r.longestRefusedWait = max(r.longestRefusedWait, now.Sub(arrived[id]))
	}
	next := testStart
	for now := testStart; now.Before(testStart.Add(time.Duration(n)*crowdInterval + 20*time.Second)); now = now.Add(20 * time.Millisecond) {
		running = dropEnded(o, running, func(x run) bool { return now.Sub(x.startedAt) > crowdOutput*crowdStep }, func(x run) string { return x.id }, now)
		for _, x := range running {
			o.Progress(x.id, 1+int(now.Sub(x.startedAt)/crowdStep), now)
		}
		o.SetReport(Report{AsOf: now, Running: len(running), StepSeconds: crowdStep.Seconds(), UsedTokens: o.usedTokens}, now)
		if !now.Before(next) && len(arrived) < n {
			next = next.Add(crowdInterval)
			w := &Work{
				Arrived: now, Deadline: now.Add(39 * time.Second), FirstBy: now.Add(crowdFirstTokenLimit), ID: fmt.Sprint("crowd-", len(arrived)),
				Kind: "plan", MaxTokens: 1760, Model: "m", Prompt: crowdPrompt,
			}
			if targets {
				w.TargetAt = now.Add(crowdTarget)
			}
			arrived[w.ID] = now
			switch a := o.RequestPlace(w, now); a.Verdict {
			case VerdictStart:
				start(w.ID, now)
			case VerdictRefuse:
				refuse(w.ID, now)
			case VerdictQueue:
			}
		}
		for _, a := range o.Dispatch(now) {
			if a.Verdict == VerdictStart {
				start(a.ID, now)
			} else {
				refuse(a.ID, now)
			}
		}
	}
	return r
}

// dropEnded finishes the runs that have ended and returns the others.
func dropEnded[T any](o *Owner, l []T, ended func(T) bool, id func(T) string, now time.Time) []T {
	var remaining []T
	for _, x := range l {
		if ended(x) {
			o.Finish(id(x), crowdOutput, true, now)
			continue
		}
		remaining = append(remaining, x)
	}
	return remaining
}

// TestLateWorkYieldsUnderACrowd simulates a crowd of 200 streams. With targets, more of them are on time
// than without, and refusals come sooner.
func TestLateWorkYieldsUnderACrowd(t *testing.T) {
	with, without := runCrowd(200, true), runCrowd(200, false)
	t.Logf("with targets %+v, without %+v", with, without)
	if 100*with.onTime < 115*without.onTime {
		t.Errorf("on time: got %d, want at least 15 percent more than %d", with.onTime, without.onTime)
	}
	if got, limit := with.longestRefusedWait, crowdTarget+sweepInterval; got > limit {
		t.Errorf("longest wait of a refused stream: got %v, want at most %v", got, limit)
	}
	if got, want := with.onTime+with.late+with.refused, 200; got != want {
		t.Errorf("answered streams: got %d, want %d", got, want)
	}
}

// TestLateWorkWaitsWhereNothingElseDoes has the only queued stream miss its target at a full engine: it
// stays queued, and starts once there is room.
func TestLateWorkWaitsWhereNothingElseDoes(t *testing.T) {
	o := newTestOwner()
	fill(t, o, testStart)
	w := testWork("late")
	w.TargetAt, w.FirstBy, w.Deadline = testStart.Add(time.Second), testStart.Add(10*time.Second), testStart.Add(time.Minute)
	if got := o.RequestPlace(w, testStart).Verdict; got != VerdictQueue {
		t.Fatalf("got %s, want it queued", got)
	}
	now := testStart.Add(3 * time.Second)
	if a := o.Dispatch(now); len(a) != 0 {
		t.Errorf("after its target: got %+v, want it to stay queued", a)
	}
	ids := make([]string, 0, len(o.running))
	for id := range o.running {
		ids = append(ids, id)
	}
	for _, id := range ids {
		o.Finish(id, 10, true, now)
	}
	o.SetReport(Report{AsOf: now, StepSeconds: 0.02}, now)
	if a := o.Dispatch(now.Add(sweepInterval)); len(a) != 1 || a[0].Verdict != VerdictStart {
		t.Errorf("with room: got %+v, want it to start", a)
	}
}

// TestLateWorkThatAsksAgainStaysLate requests a place for late work a second time, as happens while it
// tries several upstreams: it ranks behind all work that can meet its target, whichever came first.
func TestLateWorkThatAsksAgainStaysLate(t *testing.T) {
	late := func() *Work {
		w := testWork("late")
		w.TargetAt, w.FirstBy, w.Deadline = testStart.Add(-time.Second), testStart.Add(10*time.Second), testStart.Add(time.Minute)
		return w
	}
	o := newTestOwner()
	fill(t, o, testStart)
	o.RequestPlace(late(), testStart)
	w := testWork("in time")
	w.TargetAt, w.Deadline = testStart.Add(5*time.Second), testStart.Add(time.Minute)
	o.RequestPlace(w, testStart)
	if got := o.queue.first().work.ID; got != "in time" {
		t.Errorf("first: got %q, want the work that can meet its target", got)
	}
	o.Cancel("late", testStart)
	o.RequestPlace(late(), testStart)
	if got := o.queue.first().work.ID; got != "in time" {
		t.Errorf("first after the second request for the late work: got %q, want the work that can meet its target", got)
	}
}
