package box

import (
	"context"
	"io"
	"net"
	"time"

	"github.com/quic-go/quic-go"

	"github.com/linetiller/linetiller/internal/fail"
)

// quicConnection is a connection to an upstream by way of another box, over a stream to that box.
type quicConnection struct {
	*quic.Stream
	local, remote net.Addr
	reader        io.Reader
}

// quicWriter bounds the time of each write to a stream.
type quicWriter struct{ stream *quic.Stream }

// Connect opens a connection to the upstream that q names by way of the box at address.
func (t *QUICTransport) Connect(ctx context.Context, address string, q *Request) (net.Conn, error) {
	p := fail.Origin{Peer: "box " + address, Step: "connect"}
	c, s, err := t.openStream(ctx, address, p)
	if err != nil {
		return nil, err
	}
	x := &quicConnection{Stream: s, local: c.LocalAddr(), remote: c.RemoteAddr()}
	stop := context.AfterFunc(ctx, func() { _ = x.Close() })
	r, d := new(Reply), decodeMode.NewDecoder(s)
	if err = Encoding.NewEncoder(s).Encode(q); err == nil {
		err = d.Decode(r)
	}
	switch {
	case err != nil:
		_ = x.Close()
		return nil, fail.Wrap(fail.Unavailable, p, ReasonUnreachable, err)
	case r.Error != "":
		_ = x.Close()
		return nil, fail.New(fail.Unavailable, p, r.Error, "refused: %s", r.Error)
	case !stop():
		return nil, fail.Wrap(fail.Unavailable, p, ReasonUnreachable, ctx.Err())
	}
	x.reader = io.MultiReader(d.Buffered(), s)
	return x, nil
}

// serveConnectRequest handles a request for a connection to an upstream.
func (t *QUICTransport) serveConnectRequest(ctx context.Context, s *quic.Stream, q *Request) {
	e := Encoding.NewEncoder(s)
	u, err := t.connector(ctx, q)
	if err != nil {
		_ = e.Encode(&Reply{Error: fail.Reason(err), SentAt: time.Now()})
		return
	}
	if err := e.Encode(&Reply{SentAt: time.Now()}); err != nil {
		_ = u.Close()
		return
	}
	_ = s.SetReadDeadline(time.Time{})
	interrupt := func() { s.CancelRead(quicCodeClosed) }
	if err := forwardConnection(ctx, s, quicWriter{s}, u, interrupt); err != nil {
		s.CancelWrite(quicCodeClosed) // so that the answer does not look complete
	}
}

// Close ends the connection.
func (c *quicConnection) Close() error {
	c.CancelRead(quicCodeClosed)
	c.CancelWrite(quicCodeClosed)
	return nil
}

// LocalAddr returns the address of this box.
func (c *quicConnection) LocalAddr() net.Addr { return c.local }

// Read reads what the upstream sent.
func (c *quicConnection) Read(b []byte) (int, error) { return c.reader.Read(b) }

// RemoteAddr returns the address of the box in between.
func (c *quicConnection) RemoteAddr() net.Addr { return c.remote }

// Write writes b.
func (w quicWriter) Write(b []byte) (int, error) {
	_ = w.stream.SetWriteDeadline(time.Now().Add(connectionWriteLimit))
	return w.stream.Write(b)
}
