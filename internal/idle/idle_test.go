package idle

import (
	"io"
	"net"
	"net/http"
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
		c.Track(&unused, http.StateNew)
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
		if got := len(c.idle); got != 0 {
			t.Errorf("connections tracked: got %d, want none", got)
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
