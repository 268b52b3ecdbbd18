package httpclient

import (
	"errors"
	"fmt"
	"io"
	"net/http"
)

// responseBody is a response's body that ends with io.EOF only if it is complete.
type responseBody struct {
	io.ReadCloser
	err         error // of the last read, once it is the last one
	requestSent func() bool
	response    *http.Response
}

// errRequestUnfinished means that a connection whose end delimits the body of a response ended before its request was
// sent, as it does if the peer has failed.
var errRequestUnfinished = fmt.Errorf("the connection ended before the request was sent: %w", io.ErrUnexpectedEOF)

// Read reads from the body.
func (b *responseBody) Read(p []byte) (int, error) {
	if b.err != nil {
		return 0, b.err
	}
	n, err := b.ReadCloser.Read(p)
	if errors.Is(err, io.EOF) {
		err = b.endError()
	}
	b.err = err
	return n, err
}

// endError returns io.EOF if a body that has ended is complete, and another error if not.
func (b *responseBody) endError() error {
	if err := checkFields(b.response.Trailer); err != nil {
		return err
	}
	if !IsSelfDelimiting(b.response) && !b.requestSent() {
		return errRequestUnfinished
	}
	return io.EOF
}
