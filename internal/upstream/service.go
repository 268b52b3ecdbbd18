package upstream

import (
	"errors"
	"net"
	"net/http"

	"github.com/linetiller/linetiller/internal/fail"
)

// Call sends a request to a plain service and returns the response, whatever its status. The caller
// closes the response body.
//
// An error of type fail.NotRun means that nothing was sent, and fail.Unknown that the call may have
// run.
func (c *Client) Call(r *http.Request) (*http.Response, error) {
	p := fail.Origin{Peer: "upstream " + r.URL.Host, Step: "call service"}
	w, err := c.do(r)
	if err != nil {
		return nil, sendError(p, err)
	}
	return w, nil
}

// IsDialError reports whether err occurred while connecting, before anything was sent.
func IsDialError(err error) bool {
	var o *net.OpError
	return errors.As(err, &o) && o.Op == "dial"
}
