package logging

import (
	"io"
	"sync"
	"sync/atomic"
	"time"
)

// Writer buffers lines for an output that may block. Write never blocks: lines for which the buffer
// has no room are dropped and counted.
type Writer struct {
	closed    chan struct{}
	closeOnce sync.Once
	done      chan struct{} // closed once the buffered lines are written
	dropped   atomic.Int64
	lines     chan []byte
	output    io.Writer
}

const (
	// closeTimeout bounds how long Close waits for an output that is blocked.
	closeTimeout = time.Second
	// maxBufferedLines is the size of the buffer. A busy box fills it in two seconds.
	maxBufferedLines = 2048
)

// NewWriter returns a writer to output. It must be closed.
func NewWriter(output io.Writer) *Writer {
	w := &Writer{closed: make(chan struct{}), done: make(chan struct{}), lines: make(chan []byte, maxBufferedLines), output: output}
	go w.run()
	return w
}

// Close writes the buffered lines, but waits at most closeTimeout for the output.
func (w *Writer) Close() error {
	w.closeOnce.Do(func() { close(w.closed) })
	select {
	case <-w.done:
	case <-time.After(closeTimeout):
	}
	return nil
}

// Write buffers one line, or drops it if the buffer is full. Its error is always nil. Lines written
// after Close may be lost.
func (w *Writer) Write(b []byte) (int, error) {
	select {
	case w.lines <- append([]byte(nil), b...):
	default:
		w.dropped.Add(1)
	}
	return len(b), nil
}

// drain writes the buffered lines.
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

// resetDropped returns the number of lines dropped since its last call, and resets it to 0.
func (w *Writer) resetDropped() int {
	return int(w.dropped.Swap(0))
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

func (w *Writer) writeLine(b []byte) {
	if _, err := w.output.Write(b); err != nil {
		w.dropped.Add(1)
	}
}
