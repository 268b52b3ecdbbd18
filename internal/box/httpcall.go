package box

import (
	"context"
	"errors"
	"io"
	"net/http"
	"time"

	"github.com/fxamacker/cbor/v2"
)

// httpCall is a call in progress. It is not safe for concurrent use.
type httpCall struct {
	cancel    context.CancelFunc
	decoder   *cbor.Decoder
	err       error
	onTimeout func() // makes later calls to the box use new connections
	response  *http.Response
	ready     chan struct{} // closed once response or err is set
	timer     *time.Timer
}

// abort ends the call, whether or not its response has arrived.
func (c *httpCall) abort() {
	if c.timer != nil {
		c.timer.Stop()
	}
	c.cancel()
	go func() {
		<-c.ready
		if c.response != nil {
			_ = c.response.Body.Close()
		}
	}()
}

// drain reads the rest of the response, so that its connection can be reused.
func (c *httpCall) drain() {
	if c.decoder == nil || c.response == nil {
		return
	}
	t := time.AfterFunc(httpDrainTimeout, c.cancel)
	defer t.Stop()
	_, _ = io.Copy(io.Discard, c.response.Body)
}

// read reads the next reply.
func (c *httpCall) read(r *Reply) error {
	<-c.ready
	if c.err != nil {
		return c.err
	}
	if c.response.StatusCode != http.StatusOK {
		return errors.New("unexpected HTTP status " + c.response.Status)
	}
	if c.decoder == nil {
		c.decoder = decodeMode.NewDecoder(io.LimitReader(c.response.Body, MaxMessageBytes))
	}
	if err := c.decoder.Decode(r); err != nil {
		return err
	}
	r.Shift(time.Now())
	return nil
}

// setReadDeadline limits the wait for replies; the zero time removes the limit.
func (c *httpCall) setReadDeadline(t time.Time) {
	if c.timer != nil {
		c.timer.Stop()
		c.timer = nil
	}
	if !t.IsZero() {
		c.timer = time.AfterFunc(time.Until(t), func() {
			c.onTimeout()
			c.cancel()
		})
	}
}
