package policy

import (
	"fmt"
	"testing"
	"time"
)

// crowd is a load under which an engine can serve some two thirds of what comes: long
// streams of 3,000 tokens of prompt and 740 of output, two a second, as where the engines of
// a hall are gone and the others get their callers. Their targets and their callers'
// patience are those that operators of such streams declare.
const (
	crowdInterval        = 500 * time.Millisecond
	crowdOutput          = 740
	crowdFirstTokenLimit = 7200 * time.Millisecond
	crowdPrompt          = 3000
	crowdStep            = 9 * time.Millisecond
	crowdTarget          = 1800 * time.Millisecond
)

// crowdResult tells what became of a crowd.
type crowdResult struct {
	onTime, late, refused int
	longestRefusedWait    time.Duration // that work waited which was refused
}

// runCrowd plays a crowd of so many streams against an owner.
func runCrowd(n int, targets bool) crowdResult {
	l := NewLengths()
	for range 40 {
		l.Observe(KeyOf(&Work{Kind: "plan", Model: "m"}), 0, crowdOutput, true)
	}
	o := NewOwner("u", Capacity{KVTokens: 21_878, MaxBatch: 24}, l, testStart)
	var r crowdResult
	type run struct {
		id    string
		began time.Time
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
		running = dropEnded(o, running, func(x run) bool { return now.Sub(x.began) > crowdOutput*crowdStep }, func(x run) string { return x.id }, now)
		for _, x := range running {
			o.Progress(x.id, 1+int(now.Sub(x.began)/crowdStep), now)
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
			switch a := o.Ask(w, now); a.Verdict {
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
	var left []T
	for _, x := range l {
		if ended(x) {
			o.Finish(id(x), crowdOutput, true, now)
			continue
		}
		left = append(left, x)
	}
	return left
}

// TestLateWorkYieldsUnderACrowd plays a crowd of 200 streams. With targets known more of
// them are in time than without, and those that are refused hear it sooner.
func TestLateWorkYieldsUnderACrowd(t *testing.T) {
	with, without := runCrowd(200, true), runCrowd(200, false)
	t.Logf("with targets %+v, without %+v", with, without)
	if 100*with.onTime < 115*without.onTime {
		t.Errorf("in time: got %d, want at least 15 in 100 more than %d", with.onTime, without.onTime)
	}
	if got, most := with.longestRefusedWait, crowdTarget+sweepInterval; got > most {
		t.Errorf("the longest wait of a refused stream: got %v, want at most %v", got, most)
	}
	if got, want := with.onTime+with.late+with.refused, 200; got != want {
		t.Errorf("streams that had an answer: got %d, want %d", got, want)
	}
}

// TestLateWorkWaitsWhereNothingElseDoes has one stream wait beyond its target at an engine
// that is full: nothing else waits, so it goes on waiting, and starts once there is room.
func TestLateWorkWaitsWhereNothingElseDoes(t *testing.T) {
	o := newTestOwner()
	fill(t, o, testStart)
	w := testWork("late")
	w.TargetAt, w.FirstBy, w.Deadline = testStart.Add(time.Second), testStart.Add(10*time.Second), testStart.Add(time.Minute)
	if got := o.Ask(w, testStart).Verdict; got != VerdictQueue {
		t.Fatalf("got %s, want it to wait", got)
	}
	now := testStart.Add(3 * time.Second)
	if a := o.Dispatch(now); len(a) != 0 {
		t.Errorf("beyond its target: got %+v, want it to wait on", a)
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
		t.Errorf("once there is room: got %+v, want it to start", a)
	}
}

// TestLateWorkThatAsksAgainStaysLate has late work come again to an engine, as it does while
// it looks around: it goes behind all that can be in time, whichever came first.
func TestLateWorkThatAsksAgainStaysLate(t *testing.T) {
	late := func() *Work {
		w := testWork("late")
		w.TargetAt, w.FirstBy, w.Deadline = testStart.Add(-time.Second), testStart.Add(10*time.Second), testStart.Add(time.Minute)
		return w
	}
	o := newTestOwner()
	fill(t, o, testStart)
	o.Ask(late(), testStart)
	w := testWork("in time")
	w.TargetAt, w.Deadline = testStart.Add(5*time.Second), testStart.Add(time.Minute)
	o.Ask(w, testStart)
	if got := o.queue.first().work.ID; got != "in time" {
		t.Errorf("goes first: got %s, want what can be in time", got)
	}
	o.Cancel("late", testStart)
	o.Ask(late(), testStart)
	if got := o.queue.first().work.ID; got != "in time" {
		t.Errorf("goes first as the late one asks again: got %s, want what can be in time", got)
	}
}
