package sse

import (
	"bufio"
	"bytes"
	"errors"
	"io"
)

// Splitter splits a stream into its events and returns them unchanged.
type Splitter struct {
	// OnGrow is called with the number of bytes by which the buffer for an event has grown. By default it does
	// nothing.
	OnGrow func(n int)

	begun  bool // event has a line that is not blank
	event  []byte
	id     []byte
	reader *bufio.Reader
}

// NewSplitter returns a splitter of the events in r.
func NewSplitter(r io.Reader) *Splitter {
	return &Splitter{OnGrow: func(int) {}, reader: bufio.NewReaderSize(r, initialBufferBytes)}
}

// Next returns the next event as received, including the empty line that ends it, and its ID. Both
// are valid until the next call. An event that is cut off by the end of the stream is dropped, and
// the error is then io.ErrUnexpectedEOF instead of io.EOF. An event of more than MaxLineBytes gives
// ErrTooLarge.
func (s *Splitter) Next() (event, id []byte, err error) {
	s.begun, s.event, s.id = false, s.event[:0], s.id[:0]
	for partial := false; ; {
		l, err := s.reader.ReadSlice('\n')
		s.add(l)
		if len(s.event) > MaxLineBytes {
			return nil, nil, ErrTooLarge
		}
		if errors.Is(err, bufio.ErrBufferFull) {
			s.begun = s.begun || len(bytes.TrimSpace(l)) > 0
			partial = true
			continue
		}
		if err != nil {
			if errors.Is(err, io.EOF) && len(s.event) > 0 {
				err = io.ErrUnexpectedEOF
			}
			return nil, nil, err
		}
		if s.endsEvent(l) && !partial {
			return s.event, s.id, nil
		}
		partial = false
	}
}

// add appends bytes to the event.
func (s *Splitter) add(b []byte) {
	n := cap(s.event)
	s.event = append(s.event, b...)
	if g := cap(s.event) - n; g > 0 {
		s.OnGrow(g)
	}
}

// endsEvent stores the ID if the line contains one, and reports whether the line ends an event. Empty
// lines before an event do not end one.
func (s *Splitter) endsEvent(line []byte) bool {
	line = bytes.TrimRight(line, "\r\n")
	if v, ok := bytes.CutPrefix(line, []byte("id:")); ok {
		s.id = append(s.id[:0], bytes.TrimSpace(v)...)
	}
	s.begun = s.begun || len(bytes.TrimSpace(line)) > 0
	return len(line) == 0 && s.begun
}
