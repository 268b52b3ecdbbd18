// Package logging writes structured logs in bounded volume, and never makes its
// callers wait: each kind of event has a budget of lines a second, and lines that the
// reader of the output does not take in time are left out. What was left out is
// counted and told.
package logging

import (
	"context"
	"io"
	"log/slog"
	"sync"
	"time"

	"github.com/linetiller/linetiller/internal/event"
)

// Handler is a slog.Handler in JSON with budgets. It is safe for concurrent use.
type Handler struct {
	inner  slog.Handler
	shared *shared
}

// shared is what a handler and those made from it by With have in common.
type shared struct {
	budget  int // lines a second of each kind of event
	mutex   sync.Mutex
	now     func() time.Time
	omitted map[int64]int // by event, in this second
	second  int64
	used    map[int64]int // by event, in this second
	writer  *Writer
}

// Option sets one thing of a Handler.
type Option func(*shared)

const (
	// defaultBudget is how many lines a second one kind of event has: some 20 times
	// what a box of the users' sites writes in steady state.
	defaultBudget = 200
	// warningFactor is how much more those of failures have: they are left out last.
	warningFactor = 5
	eventKey      = "event"
)

// New returns a handler that writes to output, and the writer to close in the end.
func New(output io.Writer, level slog.Level, options ...Option) (*Handler, *Writer) {
	w := NewWriter(output)
	s := &shared{budget: defaultBudget, now: time.Now, omitted: make(map[int64]int), used: make(map[int64]int), writer: w}
	for _, o := range options {
		o(s)
	}
	return &Handler{inner: slog.NewJSONHandler(w, &slog.HandlerOptions{Level: level}), shared: s}, w
}

// WithBudget sets how many lines a second one kind of event has.
func WithBudget(n int) Option {
	return func(s *shared) { s.budget = n }
}

// WithNow sets the clock, for tests.
func WithNow(now func() time.Time) Option {
	return func(s *shared) { s.now = now }
}

// Enabled reports whether lines of a level are written.
func (h *Handler) Enabled(ctx context.Context, l slog.Level) bool {
	return h.inner.Enabled(ctx, l)
}

// Handle writes a line, unless its kind of event has had its budget.
func (h *Handler) Handle(ctx context.Context, r slog.Record) error {
	e := eventOf(&r)
	take, omitted := h.shared.allow(e, r.Level)
	for number, n := range omitted {
		o := slog.NewRecord(r.Time, event.LinesOmitted.Level, event.LinesOmitted.Name, 0)
		o.AddAttrs(slog.Int(eventKey, event.LinesOmitted.Number), slog.Int64("of", number), slog.Int("lines", n))
		if err := h.inner.Handle(ctx, o); err != nil {
			return err
		}
	}
	if !take {
		return nil
	}
	return h.inner.Handle(ctx, r)
}

// WithAttrs returns a handler whose lines carry the attributes.
func (h *Handler) WithAttrs(a []slog.Attr) slog.Handler {
	return &Handler{inner: h.inner.WithAttrs(a), shared: h.shared}
}

// WithGroup returns a handler whose lines carry their attributes in a group.
func (h *Handler) WithGroup(name string) slog.Handler {
	return &Handler{inner: h.inner.WithGroup(name), shared: h.shared}
}

// allow takes one line of an event's budget and reports whether there was one. With
// the first line of a second it returns what was left out in the one before.
func (s *shared) allow(e int64, l slog.Level) (ok bool, omitted map[int64]int) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if second := s.now().Unix(); second != s.second {
		s.second = second
		omitted, s.omitted = s.omitted, make(map[int64]int)
		clear(s.used)
		if n := s.writer.takeDropped(); n > 0 {
			omitted[0] = n
		}
	}
	budget := s.budget
	if l >= slog.LevelWarn {
		budget *= warningFactor
	}
	if s.used[e] >= budget {
		s.omitted[e]++
		return false, omitted
	}
	s.used[e]++
	return true, omitted
}

// eventOf returns the number of a line's event, or 0.
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
