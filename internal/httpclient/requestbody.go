package httpclient

import (
	"errors"
	"io"
	"net/http"
)

// requestBody records whether a request's body has been read to its end.
type requestBody struct {
	io.ReadCloser
	progress *bodyProgress
}

// trackBody returns a copy of a request that records how much of its body has been read.
func trackBody(r *http.Request) (*http.Request, *bodyProgress) {
	p := &bodyProgress{length: r.ContentLength}
	if r.Body == nil || r.Body == http.NoBody {
		p.ended.Store(true)
		return r, p
	}
	if p.length == 0 {
		p.length = -1 // as net/http defines it for a request with a body
	}
	c := new(http.Request)
	*c = *r
	c.Body = &requestBody{r.Body, p}
	if r.GetBody != nil {
		c.GetBody = func() (io.ReadCloser, error) {
			b, err := r.GetBody()
			if err != nil {
				return nil, err
			}
			p.ended.Store(false)
			p.read.Store(0)
			return &requestBody{b, p}, nil
		}
	}
	return c, p
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
