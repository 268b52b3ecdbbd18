// Package sse reads and writes server-sent events, the framing of streams to clients and from
// upstreams.
package sse

import (
	"bufio"
	"bytes"
	"errors"
	"io"
)

// Event is one server-sent event. The fields of an event returned by Reader.Next are valid until the
// next call of Next.
type Event struct {
	Data []byte
	ID   []byte
	Name []byte
}

// Reader reads events from a stream.
type Reader struct {
	data    []byte
	id      []byte
	name    []byte
	scanner *bufio.Scanner
}

// MaxLineBytes is the maximum size of a line of a stream. It also bounds the data of an event in
// Reader, and a whole event in Splitter.
const MaxLineBytes = 1 << 20

const initialBufferBytes = 4 << 10

// ErrTooLarge means that an event is larger than MaxLineBytes.
var ErrTooLarge = errors.New("sse: event too large")

// NewReader returns a reader of the events in r.
func NewReader(r io.Reader) *Reader {
	s := bufio.NewScanner(r)
	s.Buffer(make([]byte, initialBufferBytes), MaxLineBytes)
	return &Reader{scanner: s}
}

// Next returns the next event, or io.EOF at the end of the stream. An event that is cut off by the end
// of the stream is dropped. A line that is too long gives bufio.ErrTooLong, and data that is too long
// gives ErrTooLarge.
func (r *Reader) Next() (Event, error) {
	var e Event
	r.data = r.data[:0]
	inEvent := false
	for r.scanner.Scan() {
		l := r.scanner.Bytes()
		if len(l) == 0 {
			if inEvent {
				e.Data = r.data
				return e, nil
			}
			continue
		}
		inEvent = true
		if err := r.parseField(&e, l); err != nil {
			return Event{}, err
		}
	}
	if err := r.scanner.Err(); err != nil {
		return Event{}, err
	}
	return Event{}, io.EOF
}

// parseField adds one line to e. Unknown fields and comments are ignored.
func (r *Reader) parseField(e *Event, line []byte) error {
	n, v, _ := bytes.Cut(line, []byte(":"))
	v = bytes.TrimPrefix(v, []byte(" "))
	switch string(n) {
	case "data":
		if len(r.data) > 0 {
			r.data = append(r.data, '\n')
		}
		r.data = append(r.data, v...)
		if len(r.data) > MaxLineBytes {
			return ErrTooLarge
		}
	case "event":
		r.name = append(r.name[:0], v...)
		e.Name = r.name
	case "id":
		r.id = append(r.id[:0], v...)
		e.ID = r.id
	}
	return nil
}

// Append appends the encoding of e to b and returns the result. Its fields must not contain line breaks.
func Append(b []byte, e Event) []byte {
	if len(e.ID) > 0 {
		b = append(append(append(b, "id: "...), e.ID...), '\n')
	}
	if len(e.Name) > 0 {
		b = append(append(append(b, "event: "...), e.Name...), '\n')
	}
	b = append(append(append(b, "data: "...), e.Data...), '\n')
	return append(b, '\n')
}
