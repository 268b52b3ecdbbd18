package relay_test

import (
	"context"
	"log/slog"
	"sync"
)

// logCounter is a slog.Handler that counts log lines by event number. It is safe for concurrent use.
type logCounter struct {
	lines map[int64]int
	mutex sync.Mutex
}

func newLogCounter() *logCounter {
	return &logCounter{lines: make(map[int64]int)}
}

// Enabled reports true for every level.
func (c *logCounter) Enabled(context.Context, slog.Level) bool { return true }

// Handle counts a line, if it has an event number.
func (c *logCounter) Handle(_ context.Context, r slog.Record) error {
	r.Attrs(func(a slog.Attr) bool {
		if a.Key != "event" {
			return true
		}
		c.mutex.Lock()
		defer c.mutex.Unlock()
		c.lines[a.Value.Int64()]++
		return false
	})
	return nil
}

// WithAttrs returns the counter itself.
func (c *logCounter) WithAttrs([]slog.Attr) slog.Handler { return c }

// WithGroup returns the counter itself.
func (c *logCounter) WithGroup(string) slog.Handler { return c }

// count returns the number of lines with the event number.
func (c *logCounter) count(event int64) int {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return c.lines[event]
}
