package upstream

import (
	"errors"
	"net"
	"net/http"

	"github.com/linetiller/linetiller/internal/fail"
)

// Call sends a request to a plain service and returns its answer.
//
// An error of type fail.NotRun means that nothing was sent; fail.Unknown means
// that the call may have run. The caller closes the answer's body.
func (c *Client) Call(r *http.Request) (*http.Response, error) {
	p := fail.Origin{Peer: "upstream " + r.URL.Host, Step: "call service"}
	w, err := c.http.Do(r)
	if err != nil {
		return nil, sendError(p, err)
	}
	return w, nil
}

// IsDialError reports whether err arose while connecting, before anything was sent.
func IsDialError(err error) bool {
	var o *net.OpError
	return errors.As(err, &o) && o.Op == "dial"
}
