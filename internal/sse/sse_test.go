package sse

import (
	"bytes"
	"errors"
	"io"
	"strings"
	"testing"
)

func TestRoundTrip(t *testing.T) {
	want := Event{Data: []byte(`{"a":1}`), ID: []byte("u/g/1"), Name: []byte("n")}
	r := NewReader(bytes.NewReader(Append(Append(nil, want), Event{Data: []byte("second")})))
	got, err := r.Next()
	if err != nil || string(got.Data) != string(want.Data) || string(got.ID) != string(want.ID) || string(got.Name) != string(want.Name) {
		t.Errorf("got %q %v, want %q", got, err, want)
	}
	if got, err = r.Next(); err != nil || string(got.Data) != "second" || len(got.ID) != 0 {
		t.Errorf("got %q %v, want the second event without an ID", got, err)
	}
	if _, err = r.Next(); !errors.Is(err, io.EOF) {
		t.Errorf("got %v, want io.EOF", err)
	}
}

// TestReaderPassesOverAndBounds checks that the reader ignores comments and events that are cut off,
// joins data lines, and refuses lines and events over the limit.
func TestReaderPassesOverAndBounds(t *testing.T) {
	r := NewReader(strings.NewReader(": comment\n\ndata: a\ndata: b\r\n\ndata: cut off"))
	if _, err := r.Next(); err != nil {
		t.Fatal(err)
	}
	e, err := r.Next()
	if err != nil || string(e.Data) != "a\nb" {
		t.Errorf("got %q %v, want two lines", e.Data, err)
	}
	if _, err = r.Next(); !errors.Is(err, io.EOF) {
		t.Errorf("an event that is cut off: got %v, want io.EOF", err)
	}
	if _, err = NewReader(strings.NewReader("data: " + strings.Repeat("x", MaxLineBytes+1))).Next(); err == nil {
		t.Error("a line over the limit: got no error")
	}
	if _, err = NewReader(strings.NewReader(strings.Repeat("data: "+strings.Repeat("x", MaxLineBytes/2)+"\n", 3))).Next(); !errors.Is(err, ErrTooLarge) {
		t.Errorf("an event over the limit: got %v, want %v", err, ErrTooLarge)
	}
}

// FuzzReader checks that arbitrary streams cause no panic, and yield no more events or data than the
// stream has bytes.
func FuzzReader(f *testing.F) {
	f.Add([]byte("id: 1\nevent: x\ndata: {}\n\n"))
	f.Add([]byte(":\n\n\r\ndata\n\ndata:"))
	f.Fuzz(func(t *testing.T, b []byte) {
		r := NewReader(bytes.NewReader(b))
		for n := 0; n <= len(b); n++ {
			e, err := r.Next()
			if err != nil {
				return
			}
			if len(e.Data) > len(b) {
				t.Fatalf("data: got %d bytes from %d", len(e.Data), len(b))
			}
		}
		t.Fatal("more events than bytes")
	})
}

// TestSplitterReadsLongLines guards against events that are split where a line fills the reader's buffer exactly.
func TestSplitterReadsLongLines(t *testing.T) {
	for _, n := range []int{initialBufferBytes - 1, initialBufferBytes, initialBufferBytes + 1, 2 * initialBufferBytes} {
		event := "data: " + strings.Repeat("x", n-len("data: ")) + "\nid: 1\n\n"
		x := NewSplitter(strings.NewReader(event + event))
		for range 2 {
			b, id, err := x.Next()
			if err != nil || string(b) != event || string(id) != "1" {
				t.Errorf("a line of %d bytes: got %d bytes, id %q, %v; want %d bytes, id 1", n, len(b), id, err, len(event))
			}
		}
	}
}

// TestSplitterReadsBlankLines guards against blank lines without end that take a box's processor: each of them cost as much
// time as all before it together.
func TestSplitterReadsBlankLines(t *testing.T) {
	lines := strings.Repeat("\n", MaxLineBytes/2)
	x := NewSplitter(strings.NewReader(lines + "id: 1\n\n"))
	b, id, err := x.Next()
	if err != nil || string(id) != "1" || len(b) != len(lines)+len("id: 1\n\n") {
		t.Errorf("got %d bytes, id %q, %v; want all of them, 1", len(b), id, err)
	}
	x = NewSplitter(strings.NewReader(strings.Repeat(" \r\n", MaxLineBytes)))
	if _, _, err := x.Next(); !errors.Is(err, ErrTooLarge) {
		t.Errorf("blank lines beyond the limit: got %v, want %v", err, ErrTooLarge)
	}
}

// TestSplitterReportsItsBuffer checks that all that the buffer for an event grows by is reported.
func TestSplitterReportsItsBuffer(t *testing.T) {
	s := NewSplitter(strings.NewReader("data: x\n\ndata: " + strings.Repeat("y", 500_000) + "\n\ndata: z\n\n"))
	reported := 0
	s.OnGrow = func(n int) { reported += n }
	for range 3 {
		if _, _, err := s.Next(); err != nil {
			t.Fatal(err)
		}
	}
	if got, want := reported, cap(s.event); got != want || got < 500_000 {
		t.Errorf("got %d bytes reported, want %d", got, want)
	}
}
