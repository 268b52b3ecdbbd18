package memory

import (
	"bytes"
	"errors"
	"fmt"
	"io"
	"testing"
	"testing/iotest"
)

// TestReadBody compares bodies of many sizes, with and without a known length, with what io.ReadAll returns, and checks
// what is reserved.
func TestReadBody(t *testing.T) {
	for _, size := range []int{0, 1, firstBuffer - 1, firstBuffer, firstBuffer + 1, 100_000, 1 << 20} {
		want := bytes.Repeat([]byte("0123456789abcdef!"), size/17+1)[:size]
		for _, length := range []int64{int64(size), -1} {
			for name, wrap := range map[string]func(io.Reader) io.Reader{"whole": iotest.DataErrReader, "halves": iotest.HalfReader, "plain": func(r io.Reader) io.Reader { return r }} {
				a := NewAccount(16 << 20)
				r, err := a.Reserve(0)
				if err != nil {
					t.Fatal(err)
				}
				got, err := ReadBody(wrap(bytes.NewReader(want)), length, 2<<20, r)
				if err != nil || !bytes.Equal(got, want) {
					t.Errorf("%d bytes, length %d, %s: got %d bytes and error %v", size, length, name, len(got), err)
				}
				if got, want := a.Reserved(), int64(cap(got)); got != want {
					t.Errorf("%d bytes, length %d, %s: reserved %d, want the capacity %d", size, length, name, got, want)
				}
			}
		}
	}
}

// TestReadBodyErrors checks bodies that end early or fail, and those for which there is no memory: nothing is read of one
// whose length is known, and one of unknown length is read up to where the memory ends.
func TestReadBodyErrors(t *testing.T) {
	failed := errors.New("failed")
	for _, c := range []struct {
		name   string
		body   io.Reader
		length int64
		want   error
		read   int   // bytes that are returned
		memory int64 // limit of the account
	}{
		{"shorter than its length", bytes.NewReader(make([]byte, 10)), 20, io.ErrUnexpectedEOF, 0, 40 << 10},
		{"empty instead of its length", bytes.NewReader(nil), 20, io.ErrUnexpectedEOF, 0, 40 << 10},
		{"fails", iotest.ErrReader(failed), 20, failed, 0, 40 << 10},
		{"fails, unknown length", io.MultiReader(bytes.NewReader(make([]byte, 10_000)), iotest.ErrReader(failed)), -1, failed, 0, 1 << 20},
		{"too large", iotest.ErrReader(fmt.Errorf("was read")), 1 << 20, ErrShort, 0, 40 << 10},
		{"too large, unknown length", bytes.NewReader(make([]byte, 1<<20)), -1, ErrShort, 32<<10 + 1, 40 << 10},
		{"beyond its limit", bytes.NewReader(make([]byte, 101_000)), -1, io.ErrShortBuffer, 0, 1 << 20},
	} {
		a := NewAccount(c.memory)
		r, err := a.Reserve(0)
		if err != nil {
			t.Fatal(err)
		}
		b, err := ReadBody(c.body, c.length, 100_000, r)
		if !errors.Is(err, c.want) || len(b) != c.read {
			t.Errorf("%s: got %d bytes and error %v, want %d and %v", c.name, len(b), err, c.read, c.want)
		}
		if got, want := a.Reserved(), int64(c.read/firstBuffer*firstBuffer); got != want {
			t.Errorf("%s: reserved %d, want %d", c.name, got, want)
		}
	}
}
