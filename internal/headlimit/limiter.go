// Package headlimit bounds the memory that the heads of requests take from when they begin to arrive. net/http bounds the
// length of one head, but not how much memory its fields take once they are parsed, nor that of all heads together.
package headlimit

import (
	"context"
	"net"
	"net/http"

	"github.com/linetiller/linetiller/internal/memory"
)

// Limiter reserves the memory of the heads of a server's requests and closes connections for whose heads there is none. It
// is safe for concurrent use once OnShort is set.
type Limiter struct {
	// OnShort is called when there was no memory for a head. By default it does nothing.
	OnShort func()

	account *memory.Account
}

// connKey is the key of a request's connection in its context.
type connKey struct{}

// listener accepts connections whose heads are counted.
type listener struct {
	net.Listener
	limiter *Limiter
}

// NewLimiter returns a Limiter that reserves memory in a.
func NewLimiter(a *memory.Account) *Limiter {
	return &Limiter{OnShort: func() {}, account: a}
}

// Attach makes the Limiter follow the requests of a server. It must be called before the server is started, after its
// handler and its functions for connections were set.
func (l *Limiter) Attach(s *http.Server) {
	h, connContext, connState := s.Handler, s.ConnContext, s.ConnState
	s.ConnContext = func(ctx context.Context, n net.Conn) context.Context {
		if connContext != nil {
			ctx = connContext(ctx, n)
		}
		return context.WithValue(ctx, connKey{}, n)
	}
	s.ConnState = func(n net.Conn, state http.ConnState) {
		track(n, state)
		if connState != nil {
			connState(n, state)
		}
	}
	s.Handler = http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if c, ok := r.Context().Value(connKey{}).(*conn); ok {
			c.beginBody(r.ContentLength)
		}
		h.ServeHTTP(w, r)
	})
}

// Listen returns a listener for a server to which the Limiter is attached.
func (l *Limiter) Listen(n net.Listener) net.Listener {
	return &listener{n, l}
}

// Accept accepts a connection.
func (l *listener) Accept() (net.Conn, error) {
	n, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &conn{Conn: n, inHead: true, limiter: l.limiter, reservation: l.limiter.account.NewReservation()}, nil
}

// track follows the state of a connection.
func track(n net.Conn, s http.ConnState) {
	c, ok := n.(*conn)
	if !ok {
		return
	}
	switch s { //nolint:exhaustive // Read follows the beginning of a request.
	case http.StateIdle:
		c.expectHead()
	case http.StateClosed, http.StateHijacked:
		c.reservation.Release()
	}
}
