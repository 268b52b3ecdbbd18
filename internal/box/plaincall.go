package box

import (
	"context"
	"errors"
	"io"
	"net/http"
	"time"

	"github.com/fxamacker/cbor/v2"
)

// httpCall is one call in progress. It is used by one goroutine.
type httpCall struct {
	cancel    context.CancelFunc
	decoder   *cbor.Decoder
	err       error
	onTimeout func() // has later calls to the box go over new connections
	response  *http.Response
	ready     chan struct{} // closed once response or err is set
	timer     *time.Timer
}

// drain reads on to the end of the answer, so that its connection can be kept.
func (c *httpCall) drain() {
	if c.decoder == nil || c.response == nil {
		return
	}
	t := time.AfterFunc(httpDrainTimeout, c.cancel)
	defer t.Stop()
	_, _ = io.Copy(io.Discard, c.response.Body)
}

// abort ends the call, whether or not its answer has come.
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

// read reads the next reply.
func (c *httpCall) read(r *Reply) error {
	<-c.ready
	if c.err != nil {
		return c.err
	}
	if c.response.StatusCode != http.StatusOK {
		return errors.New("the box answered " + c.response.Status)
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

// setReadDeadline bounds the wait for replies; the zero time lifts the bound.
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
