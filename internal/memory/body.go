package memory

import (
	"errors"
	"io"
)

// firstBuffer is the size of the first buffer for a body of unknown length.
const firstBuffer = 4 << 10

// ReadBody reads a body of the given length, or of unknown length up to limit if that is negative, after it has reserved
// the memory in r. It returns ErrShort and the part read so far if there is none, io.ErrUnexpectedEOF if the body is
// shorter than its length, io.ErrShortBuffer if it is longer than limit, and otherwise the error of the reader.
func ReadBody(body io.Reader, length, limit int64, r *Reservation) ([]byte, error) {
	if length < 0 {
		return readUnknown(body, int(limit), r)
	}
	if err := r.Grow(length); err != nil {
		return nil, err
	}
	b := make([]byte, length)
	if _, err := io.ReadFull(body, b); err != nil {
		r.Shrink(length)
		if errors.Is(err, io.EOF) {
			err = io.ErrUnexpectedEOF
		}
		return nil, err
	}
	return b, nil
}

// unknownBody is a body of unknown length that is being read.
type unknownBody struct {
	buffer      []byte
	limit       int
	reader      io.Reader
	reservation *Reservation
	reserved    int // bytes of the reservation that are for the buffer
}

// readUnknown reads a body of up to limit bytes. Beyond smallBytes it reserves the whole limit at once: if several bodies
// grew in small steps, each could get a part of the memory and none enough to end.
func readUnknown(body io.Reader, limit int, r *Reservation) ([]byte, error) {
	u := &unknownBody{limit: limit, reader: body, reservation: r}
	var err error
	for err == nil {
		if len(u.buffer) < cap(u.buffer) {
			err = u.fill()
		} else {
			err = u.readBeyond()
		}
	}
	switch {
	case errors.Is(err, ErrShort):
		return u.buffer, err
	case errors.Is(err, io.EOF):
		u.release(cap(u.buffer))
		return u.buffer, nil
	default:
		u.release(0)
		return nil, err
	}
}

// fill reads into the unused part of the buffer.
func (u *unknownBody) fill() error {
	n, err := u.reader.Read(u.buffer[len(u.buffer):cap(u.buffer)])
	u.buffer = u.buffer[:len(u.buffer)+n]
	return err
}

// grow doubles the buffer, up to the limit.
func (u *unknownBody) grow() error {
	old := cap(u.buffer)
	size := min(max(firstBuffer, 2*old), u.limit)
	needed := size
	if size > smallBytes {
		needed = u.limit
	}
	if err := u.reservation.Grow(int64(needed - u.reserved)); err != nil {
		return err
	}
	u.reserved = needed
	u.reservation.Add(int64(old)) // while both buffers are held
	u.buffer = append(make([]byte, 0, size), u.buffer...)
	u.reservation.Shrink(int64(old))
	return nil
}

// readBeyond reads one byte beyond a full buffer, which finds out whether the body has ended, and grows the buffer.
func (u *unknownBody) readBeyond() error {
	var b [1]byte
	n, err := u.reader.Read(b[:])
	if n == 0 {
		return err
	}
	if len(u.buffer) == u.limit {
		return io.ErrShortBuffer
	}
	if short := u.grow(); short != nil {
		err = short
	}
	u.buffer = append(u.buffer, b[0])
	return err
}

// release releases what is reserved for the buffer beyond n bytes.
func (u *unknownBody) release(n int) {
	u.reservation.Shrink(int64(u.reserved - n))
	u.reserved = n
}
