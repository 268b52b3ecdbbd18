package policy

import (
	"testing"
	"time"
)

// TestServedRemembersWhatRanLately checks for how long and for how many requests it is known that
// they ran to their ends.
func TestServedRemembersWhatRanLately(t *testing.T) {
	now, s := time.Now(), NewCompletedRuns()
	if got := s.LastRunAt(1, now); !got.IsZero() {
		t.Errorf("before it ran: got %v, want the zero time", got)
	}
	s.Record(1, now)
	if got := s.LastRunAt(1, now.Add(completedRunTTL-1)); !got.Equal(now) {
		t.Errorf("after it ran: got %v, want %v", got, now)
	}
	if got := s.LastRunAt(1, now.Add(completedRunTTL)); !got.IsZero() {
		t.Errorf("long after it ran: got %v, want the zero time", got)
	}
	for i := range maxRunsPerSet - 1 {
		s.Record(Fingerprint(100+i), now)
	}
	if got := s.LastRunAt(1, now); !got.Equal(now) {
		t.Errorf("after as many others as are remembered: got %v, want %v", got, now)
	}
	for i := range 10 * maxRunsPerSet {
		s.Record(Fingerprint(100+i), now)
	}
	if got := len(s.current) + len(s.previous); got > 2*maxRunsPerSet {
		t.Errorf("remembered: got %d, want at most %d", got, 2*maxRunsPerSet)
	}
	if got := s.LastRunAt(1, now); !got.IsZero() {
		t.Errorf("after many others: got %v, want the zero time", got)
	}
}

// TestServedReportsWhatRanSince checks which runs are reported, how many, and that none is twice.
func TestServedReportsWhatRanSince(t *testing.T) {
	now, s := time.Now(), NewCompletedRuns()
	for i := range 10 {
		for n := range i + 1 {
			s.Record(Fingerprint(i), now.Add(time.Duration(n)*time.Second))
		}
	}
	l := s.TakeReport(4)
	if got, want := len(l), 4; got != want {
		t.Fatalf("reported: got %d, want %d", got, want)
	}
	if got, want := l[0], (CompletedRun{now.Add(9 * time.Second), 9, 10}); got != want {
		t.Errorf("first: got %v, want %v, which ran most", got, want)
	}
	if got := s.TakeReport(4); len(got) != 0 {
		t.Errorf("once more: got %v, want none", got)
	}
	s.Record(9, now.Add(time.Minute))
	s.RestoreReport(l[:1])
	if got, want := s.TakeReport(4), (CompletedRun{now.Add(time.Minute), 9, 11}); len(got) != 1 || got[0] != want {
		t.Errorf("after a report that was lost: got %v, want %v", got, want)
	}
	for i := range 2 * maxUnreported {
		s.Record(Fingerprint(i), now)
	}
	if got, want := len(s.TakeReport(10*maxUnreported)), maxUnreported; got != want {
		t.Errorf("of many: got %d, want %d", got, want)
	}
}

// BenchmarkServed measures what a request pays that ran to its end.
func BenchmarkServed(b *testing.B) {
	s, now, p := NewCompletedRuns(), time.Now(), Fingerprint(0)
	for b.Loop() {
		p++
		s.Record(p, now)
	}
}
