package box

import (
	"bytes"
	"compress/gzip"
	"context"
	"io"
	"log/slog"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/linetiller/linetiller/internal/fail"
	"github.com/linetiller/linetiller/internal/httpclient"
)

// HTTPTransport calls other boxes and serves their calls over HTTP on TCP, without encryption or
// authentication. It is meant for networks that only boxes can reach and in which no certificates
// are issued. It is safe for concurrent use.
type HTTPTransport struct {
	cancel        context.CancelFunc
	clients       map[string]*http.Client // by address, each with its own connections
	connectClient *http.Client            // for connections to upstreams
	connector     Connector
	ctx           context.Context
	handler       Handler
	listener      net.Listener
	mutex         sync.Mutex // guards clients
	server        *http.Server
	workers       sync.WaitGroup
}

const (
	callPath         = "/call"
	maxIdlePerBox    = 8                      // idle connections kept to one box
	httpDialTimeout  = time.Second            // a box that does not accept a connection within it counts as unreachable
	httpDrainTimeout = 100 * time.Millisecond // for reading the end of a response after its last reply
	httpIdleTimeout  = 30 * time.Second       // for keeping an idle connection; heartbeats use it every second
	httpReadTimeout  = 2 * time.Second        // for receiving a complete request
	httpWriteTimeout = 2 * time.Second        // for writing one reply
)

// ListenHTTP returns a transport that listens at address (IP:port) and serves calls with h, and
// connections to upstreams with n.
func ListenHTTP(address string, h Handler, n Connector) (*HTTPTransport, error) {
	l, err := net.Listen("tcp", address)
	if err != nil {
		return nil, fail.Wrap(fail.Unavailable, fail.Origin{Peer: "boxes", Step: "listen"}, "listen", err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	p := &HTTPTransport{cancel: cancel, clients: make(map[string]*http.Client), connector: n, ctx: ctx, handler: h, listener: l}
	p.connectClient = &http.Client{Transport: &httpclient.Transport{Transport: &http.Transport{
		DialContext:       httpclient.Dial(&net.Dialer{Timeout: httpDialTimeout}),
		DisableKeepAlives: true, // a kept connection may have stopped carrying data
	}}}
	m := http.NewServeMux()
	m.HandleFunc(connectPath, p.serveConnectRequest)
	m.HandleFunc("/", p.serve)
	p.server = &http.Server{
		ErrorLog: slog.NewLogLogger(slog.DiscardHandler, slog.LevelDebug), Handler: m,
		IdleTimeout: 2 * httpIdleTimeout, ReadTimeout: httpReadTimeout,
	}
	p.workers.Go(func() { _ = p.server.Serve(l) })
	return p, nil
}

// Address returns the address at which other boxes reach this one.
func (p *HTTPTransport) Address() string {
	return p.listener.Addr().String()
}

// Call sends q to the box at address. The caller must close the call.
func (p *HTTPTransport) Call(ctx context.Context, address string, q *Request) (*Call, error) {
	origin := fail.Origin{Peer: "box " + address, Step: "call " + string(q.Kind)}
	ctx, cancel := context.WithCancel(ctx)
	c := &httpCall{cancel: cancel, onTimeout: func() { p.dropIdleConnections(address) }, ready: make(chan struct{})}
	go func() {
		defer close(c.ready)
		c.response, c.err = p.send(ctx, address, q) //nolint:bodyclose // abort closes it.
	}()
	return &Call{Drain: c.drain, Abort: c.abort, Peer: origin.Peer, Read: c.read, SetReadDeadline: c.setReadDeadline}, nil
}

// Close closes all connections and waits for the calls in progress.
func (p *HTTPTransport) Close() error {
	p.cancel()
	err := p.server.Close()
	p.mutex.Lock()
	for _, c := range p.clients {
		c.CloseIdleConnections()
	}
	p.mutex.Unlock()
	p.workers.Wait()
	return err
}

// Endpoint returns the transport as an Endpoint.
func (p *HTTPTransport) Endpoint() *Endpoint {
	return &Endpoint{Address: p.Address, Call: p.Call, Close: p.Close, Connect: p.Connect}
}

// serve handles one call.
func (p *HTTPTransport) serve(w http.ResponseWriter, r *http.Request) {
	p.workers.Add(1)
	defer p.workers.Done()
	e := Encoding.NewEncoder(w)
	b, err := io.ReadAll(io.LimitReader(r.Body, MaxMessageBytes))
	if err != nil {
		return
	}
	q, err := DecodeRequest(bytes.NewReader(b))
	if err != nil {
		_ = e.Encode(&Reply{Error: "bad_message"})
		return
	}
	ctx, cancel := context.WithCancel(r.Context())
	defer cancel()
	defer context.AfterFunc(p.ctx, cancel)()
	c := http.NewResponseController(w)
	p.handler(ctx, q, func(v *Reply) error {
		_ = c.SetWriteDeadline(time.Now().Add(httpWriteTimeout))
		if len(v.Changes) > 0 {
			return writeCompressed(w, v)
		}
		if err := e.Encode(v); err != nil {
			return err
		}
		return c.Flush()
	})
}

// writeCompressed writes the single reply of a call, compressed because it may be large: a
// configuration with 1,600 routes is half a megabyte, and some boxes have 10 Mbit/s.
func writeCompressed(w http.ResponseWriter, v *Reply) error {
	w.Header().Set("Content-Encoding", "gzip")
	z, err := gzip.NewWriterLevel(w, gzip.BestSpeed)
	if err != nil {
		return err
	}
	if err := Encoding.NewEncoder(z).Encode(v); err != nil {
		return err
	}
	return z.Close()
}
