package logging

import (
	"bytes"
	"encoding/json"
	"io"
	"log/slog"
	"strings"
	"testing"
	"time"

	"github.com/linetiller/linetiller/internal/event"
)

// lines decodes the lines of a log.
func lines(t *testing.T, b *bytes.Buffer) []map[string]any {
	t.Helper()
	var l []map[string]any
	for s := range strings.Lines(b.String()) {
		m := make(map[string]any)
		if err := json.Unmarshal([]byte(s), &m); err != nil {
			t.Fatalf("line %q: %v", s, err)
		}
		l = append(l, m)
	}
	return l
}

// TestBudgetOfAKindOfEvent checks that lines beyond the budget of an event are omitted and reported in
// the next second, that other events are not affected, and that warnings have a larger budget.
func TestBudgetOfAKindOfEvent(t *testing.T) {
	var b bytes.Buffer
	now := time.Unix(100, 0)
	h, w := New(&b, slog.LevelDebug, WithBudget(3), WithNow(func() time.Time { return now }))
	l := slog.New(h).With("box", "b")
	for range 10 {
		event.RequestFinished.Log(l)
	}
	for range 10 {
		event.RequestInterrupted.Log(l)
	}
	event.RequestRefused.Log(l)
	now = now.Add(time.Second)
	event.RequestRefused.Log(l)
	_ = w.Close()
	count, omitted := make(map[float64]int), 0.0
	for _, m := range lines(t, &b) {
		count[m["event"].(float64)]++
		if m["event"] == float64(event.LinesOmitted.Number) && m["of"] == float64(event.RequestFinished.Number) {
			omitted = m["lines"].(float64)
		}
	}
	for e, want := range map[event.Event]int{event.RequestFinished: 3, event.RequestInterrupted: 10, event.RequestRefused: 2} {
		if got := count[float64(e.Number)]; got != want {
			t.Errorf("%s: got %d lines, want %d", e.Name, got, want)
		}
	}
	if got, want := omitted, 7.0; got != want {
		t.Errorf("omitted: got %v, want %v", got, want)
	}
}

// blockedOutput is an output whose writes block until release is closed.
type blockedOutput struct{ release chan struct{} }

func (s *blockedOutput) Write(b []byte) (int, error) {
	<-s.release
	return len(b), nil
}

// TestStuckOutputHoldsNobodyUp guards against log calls that block while the output is blocked. It
// writes more lines than the buffer holds, and checks that the excess is dropped and counted.
func TestStuckOutputHoldsNobodyUp(t *testing.T) {
	s := &blockedOutput{release: make(chan struct{})}
	w := NewWriter(s)
	const more = 500
	for range maxBufferedLines + more {
		if _, err := io.WriteString(w, "x\n"); err != nil {
			t.Fatal(err)
		}
	}
	if got := w.resetDropped(); got < more-1 || got > more {
		t.Errorf("dropped: got %d, want %d, or one less if the output has taken a line", got, more)
	}
	close(s.release)
	_ = w.Close()
}
