package box

import (
	"context"
	"errors"
	"io"
	"net/http"
	"time"

	"github.com/fxamacker/cbor/v2"
)

// plainCall is one call in progress. It is used by one goroutine.
type plainCall struct {
	cancel   context.CancelFunc
	decoder  *cbor.Decoder
	err      error
	lost     func() // has later calls to the box go over new connections
	response *http.Response
	sent     chan struct{} // closed once response or err is set
	timer    *time.Timer
}

// end reads on to the end of the answer, so that its connection can be kept.
func (c *plainCall) end() {
	if c.decoder == nil || c.response == nil {
		return
	}
	t := time.AfterFunc(plainEndPeriod, c.cancel)
	defer t.Stop()
	_, _ = io.Copy(io.Discard, c.response.Body)
}

// hangUp ends the call, whether or not its answer has come.
func (c *plainCall) hangUp() {
	if c.timer != nil {
		c.timer.Stop()
	}
	c.cancel()
	go func() {
		<-c.sent
		if c.response != nil {
			_ = c.response.Body.Close()
		}
	}()
}

// read reads the next reply.
func (c *plainCall) read(r *Reply) error {
	<-c.sent
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

// readTill bounds the wait for replies; the zero time lifts the bound.
func (c *plainCall) readTill(t time.Time) {
	if c.timer != nil {
		c.timer.Stop()
		c.timer = nil
	}
	if !t.IsZero() {
		c.timer = time.AfterFunc(time.Until(t), func() {
			c.lost()
			c.cancel()
		})
	}
}
