package box

import (
	"context"
	"net"
	"sync"
	"testing"
	"time"

	"github.com/linetiller/linetiller/internal/ratelimit"
)

// blackholeProxy forwards connections to a box until it blackholes those that are open.
type blackholeProxy struct {
	listener    net.Listener
	mutex       sync.Mutex // guards the fields below
	connections []net.Conn
	blackholed  map[net.Conn]bool
	target      string
	workers     sync.WaitGroup
}

func newBlackholeProxy(t *testing.T, target string) *blackholeProxy {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	s := &blackholeProxy{listener: l, blackholed: make(map[net.Conn]bool), target: target}
	s.workers.Go(s.accept)
	t.Cleanup(func() {
		_ = l.Close()
		s.mutex.Lock()
		for _, c := range s.connections {
			_ = c.Close()
		}
		s.mutex.Unlock()
		s.workers.Wait()
	})
	return s
}

func (s *blackholeProxy) accept() {
	for {
		c, err := s.listener.Accept()
		if err != nil {
			return
		}
		d, err := net.Dial("tcp", s.target)
		if err != nil {
			_ = c.Close()
			continue
		}
		s.mutex.Lock()
		s.connections = append(s.connections, c, d)
		s.mutex.Unlock()
		s.workers.Go(func() { s.forward(c, d) })
		s.workers.Go(func() { s.forward(d, c) })
	}
}

// blackhole drops all further data of the open connections without closing them, and returns their
// number.
func (s *blackholeProxy) blackhole() int {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	for _, c := range s.connections {
		s.blackholed[c] = true
	}
	return len(s.connections)
}

// forward copies from one connection to another. Data from a blackholed connection is dropped.
func (s *blackholeProxy) forward(to, from net.Conn) {
	defer func() { _ = to.Close() }()
	b := make([]byte, 4096)
	for {
		n, err := from.Read(b)
		if err != nil {
			return
		}
		s.mutex.Lock()
		silent := s.blackholed[from]
		s.mutex.Unlock()
		if !silent {
			_, _ = to.Write(b[:n])
		}
	}
}

// TestCallsOverLostConnections blackholes the idle connections to a box while new ones work.
// Without resending and dropping idle connections, one call after another would be lost until all
// of them were used up.
func TestCallsOverLostConnections(t *testing.T) {
	const (
		idleConnections = 4
		longTimeout     = time.Minute // never reached if a reply arrives
	)
	concurrentPermit := &Request{Kind: KindPermit, Permit: &ratelimit.PermitRequest{Want: 1}} // not repeatable, so never sent twice
	for _, x := range []struct {
		q            *Request
		firstTimeout time.Duration // timeout of the first call
		want         bool          // whether the first call gets a reply
	}{
		{&Request{Kind: KindHeartbeat}, longTimeout, true},
		{&Request{Kind: KindWatchChanges, Wait: time.Millisecond}, longTimeout, true},
		{&Request{Kind: KindPermit, Permit: &ratelimit.PermitRequest{}}, 3 * resendAfter, false},
	} {
		t.Run(string(x.q.Kind), func(t *testing.T) {
			var all sync.WaitGroup
			all.Add(idleConnections)
			a := newHTTPTransport(t, func(_ context.Context, q *Request, answer func(*Reply) error) {
				if q.Permit != nil && q.Permit.Want > 0 { // let the calls overlap, so that each opens its own connection
					all.Done()
					all.Wait()
				}
				_ = answer(&Reply{})
			}, nil)
			s := newBlackholeProxy(t, a.Address())
			b := newHTTPTransport(t, nil, nil).Endpoint()
			call := func(q *Request, d time.Duration) error {
				ctx, cancel := context.WithTimeout(t.Context(), d)
				defer cancel()
				_, err := b.CallOnce(ctx, s.listener.Addr().String(), q)
				return err
			}
			var g sync.WaitGroup
			for range idleConnections {
				g.Go(func() {
					if err := call(concurrentPermit, longTimeout); err != nil {
						t.Error(err)
					}
				})
			}
			g.Wait()
			if got, want := s.blackhole(), 2*idleConnections; got != want {
				t.Fatalf("ends of open connections: got %d, want %d", got, want)
			}
			if err := call(x.q, x.firstTimeout); (err == nil) != x.want {
				t.Errorf("first call: got %v, want a reply %v", err, x.want)
			}
			if err := call(x.q, longTimeout); err != nil {
				t.Errorf("second call: got %v, want a reply", err)
			}
		})
	}
}
