package idle

import (
	"io"
	"net"
	"net/http"
	"testing"
	"testing/synctest"
	"time"
)

// closeRecorder is a connection that notes when it was closed.
type closeRecorder struct {
	net.Conn
	at time.Time
}

func (c *closeRecorder) Close() error {
	c.at = time.Now()
	return nil
}

// TestRestingConnectionsAreClosed has connections rest, work, and rest again, while the
// time that they may rest changes.
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
		synctest.Wait() // until what timers started has ended
		if got, want := unused.at.Sub(start), 10*time.Second; got != want {
			t.Errorf("a resting connection: closed after %v, want %v", got, want)
		}
		if !active.at.IsZero() {
			t.Errorf("one with a request: closed after %v, want not at all", active.at.Sub(start))
		}
		timeout = 2 * time.Second
		c.Track(&active, http.StateIdle)
		timeout = 0
		c.Track(&unlimited, http.StateIdle)
		time.Sleep(time.Hour)
		synctest.Wait()
		if got, want := active.at.Sub(start), 31*time.Second; got != want {
			t.Errorf("after its request: closed after %v, want %v", got, want)
		}
		if !unlimited.at.IsZero() {
			t.Errorf("one that may rest for ever: closed after %v", unlimited.at.Sub(start))
		}
		if got := len(c.idle); got != 0 {
			t.Errorf("connections kept: got %d, want none", got)
		}
	})
}

// TestServerClosesIdleConnections checks the states that the server of the standard
// library tells: a connection is answered, then closed once it has rested.
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
