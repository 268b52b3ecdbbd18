package box

import (
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"os"
	"time"

	"github.com/linetiller/linetiller/internal/fail"
)

// httpConnection is a connection to an upstream by way of another box: the bytes to the upstream are the
// body of a request to that box, and those from the upstream the body of its response. The encoding of
// the response shows whether the upstream has ended its side or the box in between was lost.
type httpConnection struct {
	body   io.Closer // of the response
	cancel context.CancelFunc
	reader io.Reader
	writer *io.PipeWriter
}

// readerOnly hides the other methods of a reader: net/http copies a body with its own buffer, beside which
// that of a WriterTo would be kept for as long as the connection is open.
type readerOnly struct{ io.Reader }

// flushingWriter sends each write at once.
type flushingWriter struct {
	controller *http.ResponseController
	writer     io.Writer
}

const connectPath = "/connect"

// Connect opens a connection to the upstream that q names by way of the box at address.
func (p *HTTPTransport) Connect(ctx context.Context, address string, q *Request) (net.Conn, error) {
	origin := fail.Origin{Peer: "box " + address, Step: "connect"}
	b, err := Encoding.Marshal(q)
	if err != nil {
		return nil, fail.Wrap(fail.BadInput, origin, "bad_message", err)
	}
	callCtx, cancelCall := context.WithCancel(context.WithoutCancel(ctx))
	pr, pw := io.Pipe()
	abort := func() {
		_ = pw.CloseWithError(net.ErrClosed) // the client waits for the end of the body even if it has failed
		cancelCall()
	}
	stopClosing := context.AfterFunc(p.ctx, abort)
	cancel := func() {
		stopClosing()
		abort()
	}
	stop := context.AfterFunc(ctx, cancel)
	c := &httpConnection{cancel: cancel, writer: pw}
	body := readerOnly{io.MultiReader(bytes.NewReader(b), pr)}
	r, err := http.NewRequestWithContext(callCtx, http.MethodPost, "http://"+address+connectPath, body)
	if err != nil {
		cancel()
		return nil, fail.Wrap(fail.BadInput, origin, "bad_message", err)
	}
	w, err := p.connectClient.Do(r) //nolint:bodyclose // httpConnection.Close closes it.
	if err != nil {
		cancel()
		return nil, fail.Wrap(fail.Unavailable, origin, ReasonUnreachable, err)
	}
	c.body = w.Body
	d := decodeMode.NewDecoder(w.Body)
	v := new(Reply)
	if err := d.Decode(v); err != nil {
		_ = c.Close()
		return nil, fail.Wrap(fail.Unavailable, origin, ReasonUnreachable, err)
	}
	if v.Error != "" {
		_ = c.Close()
		return nil, fail.New(fail.Unavailable, origin, v.Error, "refused: %s", v.Error)
	}
	if !stop() {
		_ = c.Close()
		return nil, fail.Wrap(fail.Unavailable, origin, ReasonUnreachable, ctx.Err())
	}
	c.reader = io.MultiReader(d.Buffered(), w.Body)
	return c, nil
}

// serveConnectRequest handles a request for a connection to an upstream.
func (p *HTTPTransport) serveConnectRequest(w http.ResponseWriter, r *http.Request) {
	p.workers.Add(1)
	defer p.workers.Done()
	c := http.NewResponseController(w)
	_ = c.EnableFullDuplex()
	u, reason := p.connect(r)
	_ = c.SetWriteDeadline(time.Now().Add(httpWriteTimeout))
	if err := Encoding.NewEncoder(w).Encode(&Reply{Error: reason, SentAt: time.Now()}); err != nil || u == nil {
		return
	}
	_ = c.Flush()
	_ = c.SetReadDeadline(time.Time{})
	interrupt := func() { _ = c.SetReadDeadline(time.Now()) }
	if err := forwardConnection(p.ctx, r.Body, &flushingWriter{c, w}, u, interrupt); err != nil {
		panic(http.ErrAbortHandler) // so that the response does not look complete
	}
}

// connect opens the connection that a request asks for, or returns the reason why it does not.
func (p *HTTPTransport) connect(r *http.Request) (u net.Conn, reason string) {
	q, err := DecodeRequest(r.Body)
	if err != nil || q.Kind != KindConnect || p.connector == nil {
		return nil, "bad_message"
	}
	u, err = p.connector(r.Context(), q)
	if err != nil {
		return nil, fail.Reason(err)
	}
	return u, ""
}

// Close ends the connection.
func (c *httpConnection) Close() error {
	c.cancel()
	return c.body.Close()
}

// LocalAddr returns an empty address: the connection has none of its own.
func (*httpConnection) LocalAddr() net.Addr { return new(net.TCPAddr) }

// Read reads what the upstream sent.
func (c *httpConnection) Read(b []byte) (int, error) { return c.reader.Read(b) }

// RemoteAddr returns an empty address: only the box in between knows the upstream's.
func (*httpConnection) RemoteAddr() net.Addr { return new(net.TCPAddr) }

// SetDeadline is not supported.
func (*httpConnection) SetDeadline(time.Time) error { return os.ErrNoDeadline }

// SetReadDeadline is not supported.
func (*httpConnection) SetReadDeadline(time.Time) error { return os.ErrNoDeadline }

// SetWriteDeadline is not supported.
func (*httpConnection) SetWriteDeadline(time.Time) error { return os.ErrNoDeadline }

// Write sends to the upstream.
func (c *httpConnection) Write(b []byte) (int, error) { return c.writer.Write(b) }

// Write writes and flushes b.
func (f *flushingWriter) Write(b []byte) (int, error) {
	_ = f.controller.SetWriteDeadline(time.Now().Add(connectionWriteLimit))
	n, err := f.writer.Write(b)
	if err != nil {
		return n, err
	}
	return n, f.controller.Flush()
}
