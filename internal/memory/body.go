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

// readUnknown reads a body of up to limit bytes. Beyond smallBytes it reserves the whole limit at once: if several bodies
// grew in small steps, each could get a part of the memory and none enough to end.
func readUnknown(body io.Reader, limit int, r *Reservation) ([]byte, error) {
	if err := r.Grow(int64(min(firstBuffer, limit))); err != nil {
		return nil, err
	}
	b := make([]byte, 0, min(firstBuffer, limit))
	for {
		n, err := readMore(body, b)
		b = b[:len(b)+n]
		if errors.Is(err, io.EOF) {
			return clip(b, r), nil
		}
		if err != nil {
			r.Shrink(int64(cap(b)))
			return nil, err
		}
		if len(b) < cap(b) || len(b) == limit {
			continue
		}
		size := min(2*cap(b), limit)
		if cap(b) >= smallBytes {
			size = limit
		}
		if b, err = resize(b, size, r); err != nil {
			return b, err
		}
	}
}

// clip returns a copy of b without its unused capacity if that is most of it.
func clip(b []byte, r *Reservation) []byte {
	if cap(b) <= smallBytes || len(b) > cap(b)/2 {
		return b
	}
	l := make([]byte, len(b))
	copy(l, b)
	r.Shrink(int64(cap(b) - len(b)))
	return l
}

// readMore reads into the unused capacity of b. If there is none, it only finds out whether the body has ended.
func readMore(body io.Reader, b []byte) (n int, err error) {
	if len(b) < cap(b) {
		return body.Read(b[len(b):cap(b)])
	}
	var beyond [1]byte
	n, err = body.Read(beyond[:])
	if n > 0 {
		return 0, io.ErrShortBuffer
	}
	return 0, err
}

// resize returns a copy of b with the given capacity, or b itself and an error. Both are reserved while b is copied.
func resize(b []byte, size int, r *Reservation) ([]byte, error) {
	if err := r.Grow(int64(size)); err != nil {
		return b, err
	}
	l := append(make([]byte, 0, size), b...)
	r.Shrink(int64(cap(b)))
	return l, nil
}
