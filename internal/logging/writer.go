package logging

import (
	"io"
	"sync"
	"sync/atomic"
	"time"
)

// Writer passes lines on to an output that may stand still. Writes never wait;
// lines for which there is no room are dropped and counted.
type Writer struct {
	closed    chan struct{}
	closeOnce sync.Once
	done      chan struct{} // closed when all that waited is written
	dropped   atomic.Int64
	lines     chan []byte
	output    io.Writer
}

const (
	// closeTimeout bounds the wait for an output that stands still at the end.
	closeTimeout = time.Second
	// maxBufferedLines is how many lines wait for the output: two seconds of a busy box.
	maxBufferedLines = 2048
)

// NewWriter returns a writer to output.
func NewWriter(output io.Writer) *Writer {
	w := &Writer{closed: make(chan struct{}), done: make(chan struct{}), lines: make(chan []byte, maxBufferedLines), output: output}
	go w.run()
	return w
}

// Close writes what waits, and gives up on an output that takes nothing.
func (w *Writer) Close() error {
	w.closeOnce.Do(func() { close(w.closed) })
	select {
	case <-w.done:
	case <-time.After(closeTimeout):
	}
	return nil
}

// Write takes in one line. After Close it may be dropped.
func (w *Writer) Write(b []byte) (int, error) {
	select {
	case w.lines <- append([]byte(nil), b...):
	default:
		w.dropped.Add(1)
	}
	return len(b), nil
}

func (w *Writer) run() {
	defer close(w.done)
	for {
		select {
		case b := <-w.lines:
			w.writeLine(b)
		case <-w.closed:
			w.drain()
			return
		}
	}
}

// drain writes what waits.
func (w *Writer) drain() {
	for {
		select {
		case b := <-w.lines:
			w.writeLine(b)
		default:
			return
		}
	}
}

func (w *Writer) writeLine(b []byte) {
	if _, err := w.output.Write(b); err != nil {
		w.dropped.Add(1)
	}
}

// takeDropped returns how many lines were dropped since it was last asked.
func (w *Writer) takeDropped() int {
	return int(w.dropped.Swap(0))
}
