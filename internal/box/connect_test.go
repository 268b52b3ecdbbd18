package box

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/linetiller/linetiller/internal/fail"
	"github.com/linetiller/linetiller/internal/httpclient"
)

// connectUpstream is a Connector that connects to the address that is asked for.
func connectUpstream(ctx context.Context, q *Request) (net.Conn, error) {
	c, err := httpclient.Dial(new(net.Dialer))(ctx, "tcp", q.Connect.Address)
	if err != nil {
		return nil, fail.Wrap(fail.Unavailable, fail.Origin{Peer: "upstream", Step: "connect"}, ReasonUpstreamRefused, err)
	}
	return c, nil
}

// startUpstream starts an upstream that serves each connection with f, and returns its address.
func startUpstream(t *testing.T, f func(c *net.TCPConn)) string {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	done := make(chan struct{})
	go func() {
		defer close(done)
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			f(c.(*net.TCPConn))
		}
	}()
	t.Cleanup(func() {
		_ = l.Close()
		<-done
	})
	return l.Addr().String()
}

// eachConnection runs f over each transport with a function that connects to an upstream by way of
// another box, and one that closes that box.
func eachConnection(t *testing.T, f func(t *testing.T, connect func(address string) (net.Conn, error), closeBox func() error)) {
	t.Helper()
	run := func(t *testing.T, from, between *Endpoint) {
		f(t, func(address string) (net.Conn, error) {
			return from.Connect(t.Context(), between.Address(), &Request{Kind: KindConnect, Connect: &ConnectRequest{Address: address}})
		}, between.Close)
	}
	t.Run("quic", func(t *testing.T) {
		run(t, newQUICTransport(t, nil, nil).Endpoint(), newQUICTransport(t, nil, connectUpstream).Endpoint())
	})
	t.Run("plain", func(t *testing.T) {
		run(t, newHTTPTransport(t, nil, nil).Endpoint(), newHTTPTransport(t, nil, connectUpstream).Endpoint())
	})
}

// TestConnectionCarriesBothWays sends more than any buffer holds both ways at once.
func TestConnectionCarriesBothWays(t *testing.T) {
	eachConnection(t, func(t *testing.T, connect func(string) (net.Conn, error), _ func() error) {
		c, err := connect(startUpstream(t, func(c *net.TCPConn) {
			defer func() { _ = c.Close() }()
			_, _ = io.Copy(c, io.LimitReader(c, 1<<20))
		}))
		if err != nil {
			t.Fatal(err)
		}
		defer func() { _ = c.Close() }()
		want := bytes.Repeat([]byte("0123456789abcdef"), 1<<16)
		go func() { _, _ = c.Write(want) }()
		got, err := io.ReadAll(c)
		if err != nil || !bytes.Equal(got, want) {
			t.Errorf("got %d bytes, %v; want the %d that were sent", len(got), err, len(want))
		}
	})
}

// TestConnectionThatBreaksDoesNotLookComplete guards against answers that end with their connection and
// look complete although the upstream broke them off, or the box in between was lost.
func TestConnectionThatBreaksDoesNotLookComplete(t *testing.T) {
	eachConnection(t, func(t *testing.T, connect func(string) (net.Conn, error), closeBox func() error) {
		const part = "part of an answer"
		for _, x := range []struct {
			name  string
			end   func(c *net.TCPConn)
			wants bool // whether the answer is complete
		}{
			{"the upstream ends its side", func(c *net.TCPConn) { _ = c.Close() }, true},
			{"the upstream resets the connection", func(c *net.TCPConn) {
				_ = c.SetLinger(0)
				_ = c.Close()
			}, false},
			{"the box in between is closed", func(*net.TCPConn) { _ = closeBox() }, false},
		} {
			reached := make(chan struct{})
			c, err := connect(startUpstream(t, func(c *net.TCPConn) {
				_, _ = io.WriteString(c, part)
				go func() {
					<-reached
					x.end(c)
				}()
			}))
			if err != nil {
				t.Fatal(err)
			}
			b := make([]byte, len(part))
			if _, err := io.ReadFull(c, b); err != nil || string(b) != part {
				t.Errorf("%s: got %q, %v; want %q", x.name, b, err, part)
			}
			close(reached)
			if _, err := io.ReadAll(c); (err == nil) != x.wants {
				t.Errorf("%s: got %v, want a complete answer %v", x.name, err, x.wants)
			}
			_ = c.Close()
		}
	})
}

// TestConnectionResetDuringUploadDoesNotLookComplete guards against the same where the write of the request in the box in
// between consumes the reset.
func TestConnectionResetDuringUploadDoesNotLookComplete(t *testing.T) {
	eachConnection(t, func(t *testing.T, connect func(string) (net.Conn, error), _ func() error) {
		upload := make([]byte, 8<<20)
		for i := range 10 {
			c, err := connect(startUpstream(t, func(c *net.TCPConn) {
				_, _ = io.ReadFull(c, make([]byte, 10))
				_, _ = io.WriteString(c, "part of an answer")
				time.Sleep(time.Duration(2*i) * time.Millisecond)
				_ = c.SetLinger(0)
				_ = c.Close()
			}))
			if err != nil {
				t.Fatal(err)
			}
			go func() { _, _ = c.Write(upload) }()
			if got, err := io.ReadAll(c); err == nil {
				t.Errorf("got %q as a complete answer, want an error", got)
			}
			_ = c.Close()
		}
	})
}

// TestClosedConnectionReachesTheUpstream guards against upstreams that go on working for a caller that is
// gone.
func TestClosedConnectionReachesTheUpstream(t *testing.T) {
	eachConnection(t, func(t *testing.T, connect func(string) (net.Conn, error), _ func() error) {
		ended := make(chan error, 1)
		c, err := connect(startUpstream(t, func(c *net.TCPConn) {
			go func() {
				_, err := io.Copy(io.Discard, c)
				ended <- err
				_ = c.Close()
			}()
		}))
		if err != nil {
			t.Fatal(err)
		}
		_, _ = io.WriteString(c, "request")
		_ = c.Close()
		<-ended
	})
}

// TestRefusedConnection checks that the reason of the box in between reaches the caller.
func TestRefusedConnection(t *testing.T) {
	eachConnection(t, func(t *testing.T, connect func(string) (net.Conn, error), closeBox func() error) {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		_ = l.Close()
		if _, err := connect(l.Addr().String()); fail.Reason(err) != ReasonUpstreamRefused {
			t.Errorf("upstream that is down: got %v, want %s", err, ReasonUpstreamRefused)
		}
		_ = closeBox()
		if _, err := connect(l.Addr().String()); fail.Reason(err) != ReasonUnreachable {
			t.Errorf("box that is down: got %v, want %s", err, ReasonUnreachable)
		}
	})
}

// TestConnectionThroughAnEarlierVersion checks that a box which does not know connections to upstreams
// refuses them.
func TestConnectionThroughAnEarlierVersion(t *testing.T) {
	handler := func(_ context.Context, _ *Request, answer func(*Reply) error) {
		_ = answer(&Reply{Error: "bad_message"})
	}
	earlier := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if _, err := DecodeRequest(r.Body); err == nil {
			_ = Encoding.NewEncoder(w).Encode(&Reply{Error: "bad_message"})
		}
	}))
	defer earlier.Close()
	quic := newQUICTransport(t, handler, nil)
	for name, x := range map[string]struct {
		from    *Endpoint
		address string
	}{
		"quic":  {newQUICTransport(t, nil, nil).Endpoint(), quic.Address()},
		"plain": {newHTTPTransport(t, nil, nil).Endpoint(), strings.TrimPrefix(earlier.URL, "http://")},
	} {
		ctx, cancel := context.WithTimeout(t.Context(), time.Minute)
		defer cancel()
		_, err := x.from.Connect(ctx, x.address, &Request{Kind: KindConnect, Connect: &ConnectRequest{Address: "127.0.0.1:1"}})
		if fail.Reason(err) != "bad_message" {
			t.Errorf("%s: got %v, want bad_message", name, err)
		}
	}
}

// TestAbandonedConnect checks that an attempt to connect ends with its context.
func TestAbandonedConnect(t *testing.T) {
	hang := func(ctx context.Context, _ *Request) (net.Conn, error) {
		ctx, cancel := context.WithTimeout(ctx, 500*time.Millisecond)
		defer cancel()
		<-ctx.Done()
		return nil, ctx.Err()
	}
	for name, x := range map[string][2]*Endpoint{
		"quic":  {newQUICTransport(t, nil, nil).Endpoint(), newQUICTransport(t, nil, hang).Endpoint()},
		"plain": {newHTTPTransport(t, nil, nil).Endpoint(), newHTTPTransport(t, nil, hang).Endpoint()},
	} {
		ctx, cancel := context.WithCancel(t.Context())
		cancel()
		_, err := x[0].Connect(ctx, x[1].Address(), &Request{Kind: KindConnect, Connect: &ConnectRequest{Address: "127.0.0.1:1"}})
		if !errors.Is(err, context.Canceled) && fail.Reason(err) != ReasonUnreachable {
			t.Errorf("%s: got %v, want an abandoned attempt", name, err)
		}
	}
}

// TestConnectThroughABoxThatIsLost guards against an attempt that never ends because the box in between is
// lost before it answers.
func TestConnectThroughABoxThatIsLost(t *testing.T) {
	for name, serve := range map[string]func(c *net.TCPConn){
		"closes": func(c *net.TCPConn) {
			_, _ = c.Read(make([]byte, 1))
			_ = c.Close()
		},
		"hangs": func(*net.TCPConn) {},
	} {
		t.Run(name, func(t *testing.T) {
			address := startUpstream(t, serve)
			ctx, cancel := context.WithTimeout(t.Context(), 200*time.Millisecond)
			defer cancel()
			_, err := newHTTPTransport(t, nil, nil).Connect(ctx, address, &Request{Kind: KindConnect, Connect: &ConnectRequest{Address: "127.0.0.1:1"}})
			if fail.Reason(err) != ReasonUnreachable {
				t.Errorf("got %v, want %s", err, ReasonUnreachable)
			}
		})
	}
}
