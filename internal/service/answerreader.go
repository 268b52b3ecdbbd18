package service

import (
	"fmt"
	"io"

	"github.com/linetiller/linetiller/internal/memory"
)

// answerReader reads an answer and reserves the memory for it.
type answerReader struct {
	io.Reader
	memory *memory.Reservation
	size   int64 // bytes reserved
}

// Read reads a part of the answer. It returns memory.ErrShort if there is no memory for it.
func (r *answerReader) Read(b []byte) (int, error) {
	n, err := r.Reader.Read(b)
	size := 2 * int64(n) // the buffer is copied as it grows
	if err := r.memory.GrowAnswer(r.size, size); err != nil {
		return 0, err
	}
	r.size += size
	return n, err
}

// readAnswer reads an answer of up to maxAnswerBytes, whose memory it reserves in m.
func readAnswer(body io.Reader, m *memory.Reservation) ([]byte, error) {
	r := &answerReader{Reader: io.LimitReader(body, maxAnswerBytes+1), memory: m}
	b, err := io.ReadAll(r)
	if err == nil && len(b) > maxAnswerBytes {
		err = fmt.Errorf("answer larger than %d bytes", maxAnswerBytes)
	}
	if err != nil {
		m.Shrink(r.size)
		return nil, err
	}
	return b, nil
}
