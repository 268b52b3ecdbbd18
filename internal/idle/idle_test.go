package idle

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"slices"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"
)

// closeRecorder is a connection that records when it was closed.
type closeRecorder struct {
	net.Conn
	closedAt time.Time
}

func (c *closeRecorder) Close() error {
	c.closedAt = time.Now()
	return nil
}

// TestRestingConnectionsAreClosed checks when idle connections are closed, including one that becomes
// active and idle again, while the timeout changes.
func TestRestingConnectionsAreClosed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		start := time.Now()
		timeout := 10 * time.Second
		c := NewCloser(func() time.Duration { return timeout })
		var unused, active, unlimited closeRecorder
		for _, n := range []net.Conn{&unused, &active, &unlimited} {
			c.Track(n, http.StateNew)
		}
		c.Track(&unused, http.StateActive)
		c.Track(&unused, http.StateIdle)
		c.Track(&active, http.StateIdle)
		time.Sleep(9 * time.Second)
		synctest.Wait()
		c.Track(&active, http.StateActive)
		time.Sleep(20 * time.Second)
		synctest.Wait() // for goroutines started by timers
		if got, want := unused.closedAt.Sub(start), 10*time.Second; got != want {
			t.Errorf("an idle connection: closed after %v, want %v", got, want)
		}
		if !active.closedAt.IsZero() {
			t.Errorf("an active connection: closed after %v, want not at all", active.closedAt.Sub(start))
		}
		timeout = 2 * time.Second
		c.Track(&active, http.StateIdle)
		timeout = 0
		c.Track(&unlimited, http.StateIdle)
		time.Sleep(time.Hour)
		synctest.Wait()
		if got, want := active.closedAt.Sub(start), 31*time.Second; got != want {
			t.Errorf("a connection idle after a request: closed after %v, want %v", got, want)
		}
		if !unlimited.closedAt.IsZero() {
			t.Errorf("a connection without an idle timeout: closed after %v", unlimited.closedAt.Sub(start))
		}
		if got, want := c.idle.Len(), 1; got != want {
			t.Errorf("idle connections: got %d, want %d, the one without an idle timeout", got, want)
		}
		for _, n := range []net.Conn{&unused, &active, &unlimited} {
			c.Track(n, http.StateClosed)
		}
		if got := c.idle.Len() + c.Count(); got != 0 {
			t.Errorf("connections tracked once all are closed: got %d, want none", got)
		}
	})
}

// TestServerClosesIdleConnections checks Closer with the connection states of a real http.Server: a
// connection gets its answer, and is closed once it has been idle.
func TestServerClosesIdleConnections(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	s := &http.Server{
		ConnState: NewCloser(func() time.Duration { return time.Millisecond }).Track,
		Handler:   http.HandlerFunc(func(http.ResponseWriter, *http.Request) {}),
	}
	done := make(chan error, 1)
	go func() { done <- s.Serve(l) }()
	n, err := net.Dial("tcp", l.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	if _, err := io.WriteString(n, "GET / HTTP/1.1\r\nHost: h\r\n\r\n"); err != nil {
		t.Fatal(err)
	}
	b, err := io.ReadAll(n)
	if got, want := string(b[:min(15, len(b))]), "HTTP/1.1 200 OK"; got != want || err != nil {
		t.Errorf("got %q and error %v, want %q and the connection's end", got, err, want)
	}
	_ = s.Close()
	<-done
}

// TestConnectionIsNotClosedUnderARequest guards against a connection that is closed for its idle time, or in favour of
// another one, while a request that has arrived on it is served: the request would get no answer.
func TestConnectionIsNotClosedUnderARequest(t *testing.T) {
	for name, closeIt := range map[string]func(c *Closer){
		"for its idle time":          func(*Closer) { time.Sleep(time.Hour) },
		"in favour of another one":   func(c *Closer) { c.CloseOne() },
		"by both, one after another": func(c *Closer) { c.CloseOne(); time.Sleep(time.Hour) },
	} {
		synctest.Test(t, func(t *testing.T) {
			c := NewCloser(func() time.Duration { return time.Minute })
			var before, after closeRecorder
			for _, n := range []*closeRecorder{&before, &after} {
				c.Track(n, http.StateNew)
				c.Track(n, http.StateActive)
				c.Track(n, http.StateIdle)
			}
			if !c.Begin(&before) {
				t.Errorf("%s: a request before the close is not served", name)
			}
			closeIt(c)
			synctest.Wait()
			if !before.closedAt.IsZero() {
				t.Errorf("%s: the connection with a request in progress was closed", name)
			}
			if after.closedAt.IsZero() || c.Begin(&after) {
				t.Errorf("%s: the idle connection is open, or a request that crosses its close would be served", name)
			}
		})
	}
}

// TestOrderOfClosing checks which connections are closed when others need room: idle ones, the longest idle first, then
// those of callers that have sent no request for a while, and none with a request in progress.
func TestOrderOfClosing(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := NewCloser(func() time.Duration { return 0 })
		var reasons []Reason
		c.OnClose = func(r Reason) { reasons = append(reasons, r) }
		var silent, fresh, active, idle, longIdle closeRecorder
		for _, n := range []*closeRecorder{&silent, &active, &idle, &longIdle} {
			c.Track(n, http.StateNew)
		}
		for _, n := range []*closeRecorder{&active, &longIdle, &idle} {
			c.Track(n, http.StateActive)
			c.Track(n, http.StateIdle)
		}
		c.Track(&active, http.StateActive)
		time.Sleep(2 * openingGrace)
		c.Track(&fresh, http.StateNew)
		for i, n := range []*closeRecorder{&longIdle, &idle, &silent} {
			if got, want := c.Closable(), 3-i; got != want {
				t.Errorf("connections that may be closed: got %d, want %d", got, want)
			}
			if !c.CloseOne() || n.closedAt.IsZero() {
				t.Fatalf("close %d: another connection was closed, or none", i)
			}
		}
		if c.CloseOne() {
			t.Error("a connection with a request in progress, or one just opened, was closed")
		}
		if got, want := reasons, []Reason{ReasonIdle, ReasonIdle, ReasonOpening}; !slices.Equal(got, want) {
			t.Errorf("reasons: got %v, want %v", got, want)
		}
	})
}

// TestConnectionsReserveRoom checks that each open connection holds a reservation, that it is released once whichever way
// the connection ends, and that a connection without room is closed unread.
func TestConnectionsReserveRoom(t *testing.T) {
	room := 2
	c := NewCloser(func() time.Duration { return 0 })
	c.Reserve = func() (func(), bool) {
		if room == 0 {
			return nil, false
		}
		room--
		return func() { room++ }, true
	}
	var l [3]closeRecorder
	for i := range l {
		c.Track(&l[i], http.StateNew)
	}
	if !l[0].closedAt.IsZero() || !l[1].closedAt.IsZero() || l[2].closedAt.IsZero() || c.Begin(&l[2]) {
		t.Error("want the third connection to be closed, and only that one")
	}
	c.Track(&l[0], http.StateActive)
	c.Track(&l[0], http.StateIdle)
	c.CloseOne()
	for i := range l {
		c.Track(&l[i], http.StateClosed)
	}
	if got, want := room, 2; got != want {
		t.Errorf("room once all are closed: got %d, want %d", got, want)
	}
	if got, want := c.Count(), 0; got != want {
		t.Errorf("connections: got %d, want %d", got, want)
	}
}

// TestOpenConnectionsAreBounded checks that a new connection replaces the one of least use once as many are open as may be,
// and is closed if all of them serve requests.
func TestOpenConnectionsAreBounded(t *testing.T) {
	c := NewCloser(func() time.Duration { return 0 }, WithMaxOpen(2))
	var l [5]closeRecorder
	serve := func(i int) { c.Track(&l[i], http.StateActive) }
	for i, x := range []struct {
		before func()
		closed int // index of the connection that is closed, -1 for none
	}{
		{func() {}, -1},
		{func() { serve(0) }, -1},
		{func() { serve(1) }, 2},                       // no connection is idle
		{func() { c.Track(&l[0], http.StateIdle) }, 0}, // the idle one makes room
		{func() { c.Track(&l[1], http.StateIdle); serve(3) }, 1},
	} {
		x.before()
		c.Track(&l[i], http.StateNew)
		for j := range l[:i+1] {
			if got, want := !l[j].closedAt.IsZero(), j == x.closed; got != want {
				t.Errorf("connection %d is new, connection %d: got closed %v, want %v", i, j, got, want)
			}
		}
		if x.closed >= 0 {
			c.Track(&l[x.closed], http.StateClosed)
			l[x.closed].closedAt = time.Time{}
		}
	}
	if got, want := c.Count(), 2; got != want {
		t.Errorf("connections: got %d, want %d", got, want)
	}
}

// closeNotifier is a connection that reports when it is closed.
type closeNotifier struct {
	net.Conn
	closed chan struct{}
	once   sync.Once
}

func (c *closeNotifier) Close() error {
	c.once.Do(func() { close(c.closed) })
	return c.Conn.Close()
}

// notifyingListener accepts connections as closeNotifiers.
type notifyingListener struct{ net.Listener }

func (l notifyingListener) Accept() (net.Conn, error) {
	n, err := l.Listener.Accept()
	return &closeNotifier{Conn: n, closed: make(chan struct{})}, err
}

// TestRequestThatCrossesTheIdleCloseIsNotServed guards against a request that is served although its connection was closed
// for its idle time after the server had read it, so that its answer is lost.
func TestRequestThatCrossesTheIdleCloseIsNotServed(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	var served atomic.Int64
	s := &http.Server{Handler: http.HandlerFunc(func(http.ResponseWriter, *http.Request) { served.Add(1) })}
	NewCloser(func() time.Duration { return 50 * time.Millisecond }).Attach(s)
	track, active := s.ConnState, 0
	s.ConnState = func(n net.Conn, x http.ConnState) {
		if x == http.StateActive {
			if active++; active == 2 { // the header of the second request has been read
				<-n.(*closeNotifier).closed
			}
		}
		track(n, x)
	}
	done := make(chan error, 1)
	go func() { done <- s.Serve(notifyingListener{l}) }()
	n, err := net.Dial("tcp", l.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	r := bufio.NewReader(n)
	for range 2 {
		_, _ = io.WriteString(n, "GET / HTTP/1.1\r\nHost: h\r\n\r\n") // an error shows in the answer
		if w, err := http.ReadResponse(r, nil); err == nil {
			_ = w.Body.Close()
		}
	}
	_ = s.Close()
	<-done
	if got, want := served.Load(), int64(1); got != want {
		t.Errorf("requests served: got %d, want %d", got, want)
	}
}
