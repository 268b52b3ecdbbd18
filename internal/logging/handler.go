// Package logging writes structured logs in bounded volume and without blocking. Each event has a
// budget of lines per second, and lines are dropped while the output is blocked and the buffer is
// full. Omitted lines are counted, and reported by event.LinesOmitted.
package logging

import (
	"context"
	"io"
	"log/slog"
	"sync"
	"time"

	"github.com/linetiller/linetiller/internal/event"
)

// Handler is a slog.Handler that writes JSON and limits the lines per second of each event. It is
// safe for concurrent use.
type Handler struct {
	inner  slog.Handler
	shared *shared
}

// shared is the state that a handler shares with those derived from it by WithAttrs and WithGroup.
type shared struct {
	budget        int // lines per second of each event
	mutex         sync.Mutex
	now           func() time.Time
	omitted       map[int64]int // by event number: lines omitted in the current second
	currentSecond int64         // Unix time in seconds
	written       map[int64]int // by event number: lines written in the current second
	writer        *Writer
}

// Option configures a Handler.
type Option func(*shared)

const (
	// defaultBudget is the budget of each event in lines per second: about 20 times what a box
	// writes in steady state.
	defaultBudget = 200
	// warningFactor multiplies the budget at level Warn and above, so that failures are omitted
	// last.
	warningFactor = 5
	eventKey      = "event" // attribute that holds the event number
)

// New returns a handler that writes to output, and its writer, which is to be closed at exit.
func New(output io.Writer, level slog.Level, options ...Option) (*Handler, *Writer) {
	w := NewWriter(output)
	s := &shared{budget: defaultBudget, now: time.Now, omitted: make(map[int64]int), written: make(map[int64]int), writer: w}
	for _, o := range options {
		o(s)
	}
	return &Handler{inner: slog.NewJSONHandler(w, &slog.HandlerOptions{Level: level}), shared: s}, w
}

// WithBudget sets the budget of each event, in lines per second.
func WithBudget(n int) Option {
	return func(s *shared) { s.budget = n }
}

// WithNow sets the clock for tests.
func WithNow(now func() time.Time) Option {
	return func(s *shared) { s.now = now }
}

// Enabled implements slog.Handler.
func (h *Handler) Enabled(ctx context.Context, l slog.Level) bool {
	return h.inner.Enabled(ctx, l)
}

// Handle writes a record unless the budget of its event is used up. Before it, it reports the lines
// omitted in an earlier second.
func (h *Handler) Handle(ctx context.Context, r slog.Record) error {
	e := eventOf(&r)
	allowed, omitted := h.shared.allow(e, r.Level)
	for number, n := range omitted {
		o := slog.NewRecord(r.Time, event.LinesOmitted.Level, event.LinesOmitted.Name, 0)
		o.AddAttrs(slog.Int(eventKey, event.LinesOmitted.Number), slog.Int64("of", number), slog.Int("lines", n))
		if err := h.inner.Handle(ctx, o); err != nil {
			return err
		}
	}
	if !allowed {
		return nil
	}
	return h.inner.Handle(ctx, r)
}

// WithAttrs implements slog.Handler.
func (h *Handler) WithAttrs(a []slog.Attr) slog.Handler {
	return &Handler{inner: h.inner.WithAttrs(a), shared: h.shared}
}

// WithGroup implements slog.Handler.
func (h *Handler) WithGroup(name string) slog.Handler {
	return &Handler{inner: h.inner.WithGroup(name), shared: h.shared}
}

// allow reports whether the budget of event e has room for a line at level l, and counts the line. On
// the first call in a second it also returns the lines omitted before, by event number; those that
// the writer dropped are counted under 0.
func (s *shared) allow(e int64, l slog.Level) (ok bool, omitted map[int64]int) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if second := s.now().Unix(); second != s.currentSecond {
		s.currentSecond = second
		omitted, s.omitted = s.omitted, make(map[int64]int)
		clear(s.written)
		if n := s.writer.resetDropped(); n > 0 {
			omitted[0] = n
		}
	}
	budget := s.budget
	if l >= slog.LevelWarn {
		budget *= warningFactor
	}
	if s.written[e] >= budget {
		s.omitted[e]++
		return false, omitted
	}
	s.written[e]++
	return true, omitted
}

// eventOf returns the event number of a record, or 0.
func eventOf(r *slog.Record) int64 {
	n := int64(0)
	r.Attrs(func(a slog.Attr) bool {
		if a.Key == eventKey {
			n = a.Value.Int64()
			return false
		}
		return true
	})
	return n
}
