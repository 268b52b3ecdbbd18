package box

import (
	"testing"
	"time"

	"github.com/linetiller/linetiller/internal/policy"
)

// TestTimesFollowTheReceiversClock sends messages from a box whose clock is 40 minutes ahead. The
// time left until a deadline, and the ages of other times, must not change.
func TestTimesFollowTheReceiversClock(t *testing.T) {
	here := time.Unix(10_000, 0)
	there := here.Add(40 * time.Minute)
	q := &Request{SentAt: there, Placement: &PlacementRequest{Work: policy.Work{Arrived: there.Add(-time.Second), Deadline: there.Add(5 * time.Second)}}}
	q.Shift(here)
	if got, want := q.Placement.Work.Deadline.Sub(here), 5*time.Second; got != want {
		t.Errorf("time left: got %s, want %s", got, want)
	}
	if got, want := here.Sub(q.Placement.Work.Arrived), time.Second; got != want {
		t.Errorf("age: got %s, want %s", got, want)
	}
	q = &Request{SentAt: there, Crashes: []policy.Crash{{At: there.Add(-time.Minute)}}}
	q.Shift(here)
	if got, want := here.Sub(q.Crashes[0].At), time.Minute; got != want || !q.Crashes[0].LastResentAt.IsZero() {
		t.Errorf("age of a crash: got %s, want %s", got, want)
	}
	q = &Request{SentAt: there, CompletedRuns: []policy.CompletedRun{{At: there.Add(-time.Minute)}}}
	q.Shift(here)
	if got, want := here.Sub(q.CompletedRuns[0].At), time.Minute; got != want {
		t.Errorf("age of a run: got %s, want %s", got, want)
	}
	r := &Reply{SentAt: there, Answer: &policy.Answer{}, Crashes: []policy.Crash{{At: there, LastResentAt: there}}, Load: &policy.Load{AsOf: there}}
	r.Shift(here)
	if got := r.Crashes[0]; !got.At.Equal(here) || !got.LastResentAt.Equal(here) {
		t.Errorf("crash: got at %s, last return at %s, want %s", got.At, got.LastResentAt, here)
	}
	if got := r.Load.AsOf; !got.Equal(here) {
		t.Errorf("load as of: got %s, want %s", got, here)
	}
	if !r.Answer.RetryAt.IsZero() {
		t.Errorf("retry at: got %s, want none", r.Answer.RetryAt)
	}
}

// TestTimesKeepTheirFractions guards against encoding times in whole seconds, which would turn an
// age of 0.3 s into 0 or 1 s.
func TestTimesKeepTheirFractions(t *testing.T) {
	now := time.Unix(1_800_000_000, 987_654_321)
	q := &Request{SentAt: now, Placement: &PlacementRequest{Work: policy.Work{Arrived: now.Add(-300 * time.Millisecond), Deadline: now.Add(1700 * time.Millisecond)}}}
	b, err := Encoding.Marshal(q)
	if err != nil {
		t.Fatal(err)
	}
	got := new(Request)
	if err := decodeMode.Unmarshal(b, got); err != nil {
		t.Fatal(err)
	}
	for name, x := range map[string][2]time.Time{
		"sent": {got.SentAt, q.SentAt}, "arrived": {got.Placement.Work.Arrived, q.Placement.Work.Arrived}, "deadline": {got.Placement.Work.Deadline, q.Placement.Work.Deadline},
	} {
		if d := x[0].Sub(x[1]).Abs(); d > time.Microsecond {
			t.Errorf("%s: got %v off, want at most a microsecond", name, d)
		}
	}
}
