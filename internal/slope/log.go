package slope

import (
	"io"
	"log/slog"

	"github.com/linetiller/linetiller/internal/event"
	"github.com/linetiller/linetiller/internal/logging"
)

// counter counts the bytes that are written to it.
type counter struct{ bytes int }

// Write counts b.
func (c *counter) Write(b []byte) (int, error) {
	c.bytes += len(b)
	return len(b), nil
}

// logBytes returns the bytes of the log lines of n requests.
func logBytes(n int) float64 {
	c := new(counter)
	logRequests(c, n)
	return float64(c.bytes)
}

// logTime returns the processor time of the log lines of n requests, in microseconds.
func logTime(n int) float64 {
	began := cpu()
	logRequests(io.Discard, n)
	return cpu() - began
}

// logRequests writes what a box logs of n requests that go well: where each was
// placed, and how it ended.
func logRequests(output io.Writer, n int) {
	h, w := logging.New(output, slog.LevelInfo, logging.WithBudget(1<<30))
	l := slog.New(h).With("box", "front-upperhill-a-1")
	for range n {
		event.RequestPlaced.Log(l, "request", "9c41d07be2a35f68", "route", "r-4idispa", "workspace", "huka270", "upstream", "i-bf35bba412",
			"hall", "upperhill-a", "try", 1, "resumed", false, "waited_ms", int64(3), "left_ms", int64(38_990), "priority", 9,
			"prompt_tokens", 3079, "hint", 944, "configuration", int64(55), "upstreams", int64(1234))
		event.RequestFinished.Log(l, "request", "9c41d07be2a35f68", "route", "r-4idispa", "upstream", "i-bf35bba412", "took_ms", int64(9120), "tries", 1, "status", 200)
	}
	_ = w.Close() // nothing is read back
}
