package policy

import (
	"testing"
	"time"
)

// TestServedRemembersWhatRanLately checks for how long and for how many requests it is known that
// they ran to their ends.
func TestServedRemembersWhatRanLately(t *testing.T) {
	now, s := time.Now(), NewServed()
	if got := s.At(1, now); !got.IsZero() {
		t.Errorf("before it ran: got %v, want the zero time", got)
	}
	s.Note(1, now)
	if got := s.At(1, now.Add(servedLife-1)); !got.Equal(now) {
		t.Errorf("after it ran: got %v, want %v", got, now)
	}
	if got := s.At(1, now.Add(servedLife)); !got.IsZero() {
		t.Errorf("long after it ran: got %v, want the zero time", got)
	}
	for i := range servedGeneration - 1 {
		s.Note(Fingerprint(100+i), now)
	}
	if got := s.At(1, now); !got.Equal(now) {
		t.Errorf("after as many others as are remembered: got %v, want %v", got, now)
	}
	for i := range 10 * servedGeneration {
		s.Note(Fingerprint(100+i), now)
	}
	if got := len(s.now) + len(s.before); got > 2*servedGeneration {
		t.Errorf("remembered: got %d, want at most %d", got, 2*servedGeneration)
	}
	if got := s.At(1, now); !got.IsZero() {
		t.Errorf("after many others: got %v, want the zero time", got)
	}
}

// TestServedTellsWhatRunsOften checks which requests are told, and how many.
func TestServedTellsWhatRunsOften(t *testing.T) {
	now, s := time.Now(), NewServed()
	for i := range 2 * oftenMost {
		for n := range oftenLeast {
			s.Note(Fingerprint(i), now.Add(time.Duration(i+n)*time.Second))
		}
	}
	s.Note(Fingerprint(1000), now) // once
	later := now.Add(time.Duration(2*oftenMost+oftenLeast) * time.Second)
	l := s.Often(later)
	if got, want := len(l), oftenMost; got != want {
		t.Fatalf("told: got %d, want %d", got, want)
	}
	if got, want := l[0].Fingerprint, Fingerprint(2*oftenMost-1); got != want {
		t.Errorf("first: got %v, want %v, which ran last", got, want)
	}
	if got := s.Often(later.Add(servedLife)); len(got) != 0 {
		t.Errorf("long after: got %d, want none", len(got))
	}
}

// BenchmarkServed measures what a request pays that ran to its end.
func BenchmarkServed(b *testing.B) {
	s, now, p := NewServed(), time.Now(), Fingerprint(0)
	for b.Loop() {
		p++
		s.Note(p, now)
	}
}
