package box

import (
	"context"
	"crypto/tls"
	"errors"
	"io"
	"net"
	"sync"
	"time"

	"github.com/quic-go/quic-go"

	"github.com/linetiller/linetiller/internal/fail"
)

// Handler serves one request. It may call answer several times. Its context is cancelled when the
// caller ends the call.
type Handler func(ctx context.Context, q *Request, answer func(*Reply) error)

// QUICTransport calls other boxes and serves their calls over QUIC on one UDP socket. It is safe
// for concurrent use.
type QUICTransport struct {
	mutex       sync.Mutex // guards connections; no other lock may be taken while it is held
	connections map[string]*quic.Conn

	cancel    context.CancelFunc
	client    *tls.Config
	connector Connector
	ctx       context.Context
	handler   Handler
	listener  *quic.Listener
	quic      *quic.Transport
	socket    net.PacketConn
	workers   sync.WaitGroup
}

// Protocol is the ALPN name of the protocol between boxes in the TLS handshake.
const Protocol = "linetiller-box/1"

// MaxMessageBytes limits the total size of the messages of one call in one direction.
const MaxMessageBytes = 64 << 20

const (
	quicCodeClosed      = 1                // error code of connections and streams that a box closes
	quicIdleTimeout     = 10 * time.Second // for a connection without packets, and for receiving a complete request
	quicKeepAlivePeriod = 3 * time.Second  // between packets that keep an unused connection open
	quicMaxStreams      = 1 << 16          // concurrent incoming calls of one connection
)

// ListenQUIC returns a transport that listens at address (IP:port) and serves calls with h, and
// connections to upstreams with n.
//
// Both TLS configurations must name Protocol. If both carry certificates, the boxes authenticate
// each other.
func ListenQUIC(address string, server, client *tls.Config, h Handler, n Connector) (*QUICTransport, error) {
	p := fail.Origin{Peer: "boxes", Step: "listen"}
	s, err := net.ListenPacket("udp", address)
	if err != nil {
		return nil, fail.Wrap(fail.Unavailable, p, "listen", err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	t := &QUICTransport{
		cancel: cancel, client: client, connections: make(map[string]*quic.Conn), ctx: ctx,
		connector: n, handler: h, quic: &quic.Transport{Conn: s}, socket: s,
	}
	t.listener, err = t.quic.Listen(server, quicConfig())
	if err != nil {
		cancel()
		_ = s.Close()
		return nil, fail.Wrap(fail.Unavailable, p, "listen", err)
	}
	t.workers.Go(t.accept)
	return t, nil
}

// Address returns the address at which the transport listens.
func (t *QUICTransport) Address() string {
	return t.socket.LocalAddr().String()
}

// Call sends q to the box at address. The caller must close the call.
func (t *QUICTransport) Call(ctx context.Context, address string, q *Request) (*Call, error) {
	p := fail.Origin{Peer: "box " + address, Step: "call " + string(q.Kind)}
	_, s, err := t.openStream(ctx, address, p)
	if err != nil {
		return nil, err
	}
	if d, ok := ctx.Deadline(); ok {
		_ = s.SetDeadline(d)
	}
	if err := Encoding.NewEncoder(s).Encode(q); err != nil {
		s.CancelRead(quicCodeClosed)
		s.CancelWrite(quicCodeClosed)
		return nil, fail.Wrap(fail.Unavailable, p, ReasonUnreachable, err)
	}
	_ = s.Close()
	d := decodeMode.NewDecoder(io.LimitReader(s, MaxMessageBytes))
	return &Call{
		Abort: func() { s.CancelRead(quicCodeClosed) },
		Peer:  p.Peer,
		Read: func(r *Reply) error {
			if err := d.Decode(r); err != nil {
				return err
			}
			r.Shift(time.Now())
			return nil
		},
		SetReadDeadline: func(t time.Time) { _ = s.SetReadDeadline(t) },
	}, nil
}

// Close closes all connections and waits for the calls in progress.
func (t *QUICTransport) Close() error {
	t.cancel()
	err := t.listener.Close()
	t.mutex.Lock()
	for _, c := range t.connections {
		_ = c.CloseWithError(quicCodeClosed, "closing")
	}
	t.mutex.Unlock()
	t.workers.Wait()
	return errors.Join(err, t.quic.Close(), ignoreClosed(t.socket.Close()))
}

// Endpoint returns the transport as an Endpoint.
func (t *QUICTransport) Endpoint() *Endpoint {
	return &Endpoint{Address: t.Address, Call: t.Call, Close: t.Close, Connect: t.Connect}
}

// DecodeRequest decodes a request, checks that it has the part that its kind needs, and converts
// its times to the local clock.
func DecodeRequest(r io.Reader) (*Request, error) {
	q := new(Request)
	if err := decodeMode.NewDecoder(io.LimitReader(r, MaxMessageBytes)).Decode(q); err != nil {
		return nil, err
	}
	q.Shift(time.Now())
	if q.Kind == KindPlacement && q.Placement == nil {
		return nil, errors.New("placement request without its work")
	}
	if q.Kind == KindConnect && q.Connect == nil {
		return nil, errors.New("connect request without an upstream")
	}
	if q.Kind == KindPermit && q.Permit == nil {
		return nil, errors.New("permit request without its limit")
	}
	if q.Kind == KindMoveSlot && q.MoveSlot == nil {
		return nil, errors.New("move slot request without its run")
	}
	if q.Kind == KindProgress && q.Progress == nil {
		return nil, errors.New("progress report without its items")
	}
	return q, nil
}

func (t *QUICTransport) accept() {
	for {
		c, err := t.listener.Accept(t.ctx)
		if err != nil {
			return
		}
		t.workers.Go(func() { t.serveConnection(c) })
	}
}

// connection returns the open connection to address, dialing if there is none.
func (t *QUICTransport) connection(ctx context.Context, address string) (*quic.Conn, error) {
	t.mutex.Lock()
	c := t.connections[address]
	t.mutex.Unlock()
	if c != nil && c.Context().Err() == nil {
		return c, nil
	}
	a, err := net.ResolveUDPAddr("udp", address)
	if err != nil {
		return nil, err
	}
	c, err = t.quic.Dial(ctx, a, t.client, quicConfig())
	if err != nil {
		return nil, err
	}
	t.mutex.Lock()
	defer t.mutex.Unlock()
	if o := t.connections[address]; o != nil && o.Context().Err() == nil {
		_ = c.CloseWithError(quicCodeClosed, "double")
		return o, nil
	}
	if t.ctx.Err() != nil {
		_ = c.CloseWithError(quicCodeClosed, "closing")
		return nil, t.ctx.Err()
	}
	t.connections[address] = c
	return c, nil
}

func (t *QUICTransport) dropConnection(address string, c *quic.Conn) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	if t.connections[address] == c {
		delete(t.connections, address)
	}
}

// openStream opens a stream to the box at address.
func (t *QUICTransport) openStream(ctx context.Context, address string, p fail.Origin) (*quic.Conn, *quic.Stream, error) {
	c, err := t.connection(ctx, address)
	if err != nil {
		return nil, nil, fail.Wrap(fail.Unavailable, p, ReasonUnreachable, err)
	}
	s, err := c.OpenStreamSync(ctx)
	if err != nil {
		t.dropConnection(address, c)
		return nil, nil, fail.Wrap(fail.Unavailable, p, ReasonUnreachable, err)
	}
	return c, s, nil
}

func (t *QUICTransport) serveConnection(c *quic.Conn) {
	defer func() { _ = c.CloseWithError(quicCodeClosed, "closing") }()
	for {
		s, err := c.AcceptStream(t.ctx)
		if err != nil {
			return
		}
		t.workers.Go(func() { t.serveStream(s) })
	}
}

func (t *QUICTransport) serveStream(s *quic.Stream) {
	defer func() { _ = s.Close() }()
	_ = s.SetReadDeadline(time.Now().Add(quicIdleTimeout))
	e := Encoding.NewEncoder(s)
	q, err := DecodeRequest(s)
	if err != nil {
		_ = e.Encode(&Reply{Error: "bad_message"})
		return
	}
	ctx, cancel := context.WithCancel(s.Context())
	defer cancel()
	defer context.AfterFunc(t.ctx, cancel)()
	if q.Kind == KindConnect && t.connector != nil {
		t.serveConnectRequest(ctx, s, q)
		return
	}
	t.handler(ctx, q, func(r *Reply) error { return e.Encode(r) })
}

func quicConfig() *quic.Config {
	return &quic.Config{
		HandshakeIdleTimeout: 2 * time.Second,
		KeepAlivePeriod:      quicKeepAlivePeriod,
		MaxIdleTimeout:       quicIdleTimeout,
		MaxIncomingStreams:   quicMaxStreams,
	}
}

func ignoreClosed(err error) error {
	if errors.Is(err, net.ErrClosed) {
		return nil
	}
	return err
}
