package httpclient

import (
	"errors"
	"io"
	"net"
	"testing"

	"github.com/linetiller/linetiller/internal/fake/raw"
)

// openConn sends the head of a request with a long body to a server and returns the connection.
func openConn(t *testing.T, a raw.Answer) net.Conn {
	t.Helper()
	s, err := raw.Listen(a)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = s.Close() })
	c, err := Dial(new(net.Dialer))(t.Context(), "tcp", s.Address())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = c.Close() })
	if _, err := io.WriteString(c, "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 1000000000\r\n\r\n"); err != nil {
		t.Fatal(err)
	}
	return c
}

// TestConnReportsResetTakenByWrite guards against answers that are cut off and look complete: once a write has returned
// the error of a reset, reads return io.EOF.
func TestConnReportsResetTakenByWrite(t *testing.T) {
	c := openConn(t, raw.Answer{End: raw.EndReset, Pieces: []string{"part"}})
	b := make([]byte, 64<<10)
	for {
		if _, err := c.Write(b); err != nil {
			break
		}
	}
	if got, err := io.ReadAll(c); err == nil {
		t.Errorf("got %q and no error, want an error", got)
	}
}

// TestConnEndsInOrder checks that the end of a connection whose writes have succeeded is reported as io.EOF.
func TestConnEndsInOrder(t *testing.T) {
	c := openConn(t, raw.Answer{Pieces: []string{"whole"}})
	got, err := io.ReadAll(c)
	if want := "whole"; string(got) != want || err != nil {
		t.Errorf("got %q, %v; want %q", got, err, want)
	}
}

// halfClosed is a connection whose peer has ended its side and reads nothing.
type halfClosed struct {
	net.Conn
	writing chan struct{} // closed once a write is in progress
}

func (c *halfClosed) Read([]byte) (int, error) {
	<-c.writing
	return 0, io.EOF
}

func (c *halfClosed) Write(b []byte) (int, error) {
	close(c.writing)
	return c.Conn.Write(b)
}

// TestConnEndsDuringWrite checks that the end of a connection is not reported as io.EOF while a write is in progress that
// the peer does not accept, and that it is reported at once.
func TestConnEndsDuringWrite(t *testing.T) {
	ours, theirs := net.Pipe()
	defer func() { _ = theirs.Close() }()
	c := &Conn{Conn: &halfClosed{Conn: ours, writing: make(chan struct{})}}
	defer func() { _ = c.Close() }()
	written := make(chan error, 1)
	go func() {
		_, err := c.Write([]byte("request"))
		written <- err
	}()
	if _, err := c.Read(make([]byte, 1)); err == nil || errors.Is(err, io.EOF) {
		t.Errorf("read: got %v, want an error that is not io.EOF", err)
	}
	_ = c.Close()
	if err := <-written; err == nil {
		t.Error("write: got no error, want one")
	}
}
