package httpclient

import (
	"errors"
	"io"
	"net/http"
	"sync/atomic"
)

// requestBody records whether a request's body has been read to its end.
type requestBody struct {
	io.ReadCloser
	progress *bodyProgress
}

// trackBody returns a copy of a request that records how much of its body has been read, and a function that reports whether
// that is all of it. net/http may send a request once more over another connection, with a new body.
func trackBody(r *http.Request) (c *http.Request, complete func() bool) {
	if r.Body == nil || r.Body == http.NoBody {
		return r, func() bool { return true }
	}
	length := r.ContentLength
	if length == 0 {
		length = -1 // as net/http defines it for a request with a body
	}
	var last atomic.Pointer[bodyProgress]
	track := func(b io.ReadCloser) io.ReadCloser {
		p := &bodyProgress{length: length}
		last.Store(p)
		return &requestBody{b, p}
	}
	c = new(http.Request)
	*c = *r
	c.Body = track(r.Body)
	if r.GetBody != nil {
		c.GetBody = func() (io.ReadCloser, error) {
			b, err := r.GetBody()
			if err != nil {
				return nil, err
			}
			return track(b), nil
		}
	}
	return c, func() bool { return last.Load().complete() }
}

// Read reads from the body.
func (b *requestBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	b.progress.read.Add(int64(n))
	if errors.Is(err, io.EOF) {
		b.progress.ended.Store(true)
	}
	return n, err
}
