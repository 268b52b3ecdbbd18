package headlimit

import (
	"bufio"
	"bytes"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"testing/iotest"
	"time"

	"github.com/linetiller/linetiller/internal/memory"
)

// startServer starts a server of h whose heads are counted in a, and returns its address.
func startServer(t *testing.T, a *memory.Account, h http.HandlerFunc) string {
	t.Helper()
	s := httptest.NewUnstartedServer(h)
	l := NewLimiter(a)
	l.Attach(s.Config)
	s.Listener = l.Listen(s.Listener)
	s.Start()
	t.Cleanup(func() {
		s.CloseClientConnections()
		s.Close()
	})
	return s.Listener.Addr().String()
}

// echo answers with the body of a request.
func echo(w http.ResponseWriter, r *http.Request) {
	b, _ := io.ReadAll(r.Body)
	_, _ = fmt.Fprintf(w, "%s %s %d", r.Method, b, len(r.Header))
}

// readAnswer reads an answer and returns its status and body.
func readAnswer(r *bufio.Reader) (status int, body string, err error) {
	w, err := http.ReadResponse(r, nil)
	if err != nil {
		return 0, "", err
	}
	defer func() { _ = w.Body.Close() }()
	b, err := io.ReadAll(w.Body)
	return w.StatusCode, string(b), err
}

// TestRequestsInAnyPieces checks that requests that follow each other on a connection are served whichever way they are
// cut into segments, and that nothing stays reserved.
func TestRequestsInAnyPieces(t *testing.T) {
	a := memory.NewAccount(1 << 20)
	address := startServer(t, a, echo)
	requests := []struct{ text, want string }{
		{"GET /1 HTTP/1.1\r\nHost: h\r\n\r\n", "GET  0"},
		{"POST /2 HTTP/1.1\r\nHost: h\r\nContent-Length: 6\r\n\r\na\n\nb\r\n", "POST a\n\nb\r\n 1"},
		{"POST /3 HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n3\r\n\n\nx\r\n0\r\n\r\n", "POST \n\nx 0"},
		{"GET /4 HTTP/1.1\nHost: h\nX-A: b\n\n", "GET  1"},
		{"POST /5 HTTP/1.1\r\nHost: h\r\nContent-Length: 0\r\n\r\n", "POST  1"},
		{"\r\nGET /6 HTTP/1.1\r\nHost: h\r\n" + strings.Repeat("X-B: c\r\n", 1000) + "\r\n", "GET  1"},
	}
	for seed := range uint64(30) {
		x := rand.New(rand.NewPCG(seed, 1))
		c, err := net.Dial("tcp", address)
		if err != nil {
			t.Fatal(err)
		}
		all := new(bytes.Buffer)
		for _, q := range requests {
			all.WriteString(q.text)
		}
		go func() {
			for all.Len() > 0 {
				_, _ = c.Write(all.Next(1 + x.IntN(200)))
			}
		}()
		r := bufio.NewReader(c)
		for i, q := range requests {
			_, got, err := readAnswer(r)
			if got != q.want || err != nil {
				t.Errorf("seed %d, request %d: got %q, %v; want %q", seed, i+1, got, err, q.want)
			}
		}
		_ = c.Close()
	}
	for range 5000 {
		if a.Reserved() == 0 {
			return
		}
		time.Sleep(time.Millisecond)
	}
	t.Errorf("reserved in the end: got %d, want 0", a.Reserved())
}

// TestHeadWithoutMemoryIsClosed guards against heads that take more memory than there is: their connections are closed
// while they arrive, and a request inside the limits is served.
func TestHeadWithoutMemoryIsClosed(t *testing.T) {
	const limit = 2 << 20
	a := memory.NewAccount(limit)
	address := startServer(t, a, echo)
	begin := "GET /x HTTP/1.1\r\nHost: h\r\n"
	short := strings.Repeat("a:\r\n", (16<<10)/4) // the largest number of fields that fits into the limit of a platform
	for _, x := range []struct {
		name, text string
		served     bool
	}{
		{"ordinary", begin + "\r\n", true},
		{"as many fields as fit", begin + short + "\r\n", true},
		{"more fields", begin + strings.Repeat(short, 4), false},
		{"a request before it in the segment", begin + "\r\n" + begin + strings.Repeat(short, 4), false},
		{"ordinary again", begin + "\r\n", true},
	} {
		c, err := net.Dial("tcp", address)
		if err != nil {
			t.Fatal(err)
		}
		go func() { _, _ = io.WriteString(c, x.text) }()
		r := bufio.NewReader(c)
		status, _, err := readAnswer(r)
		if strings.HasPrefix(x.name, "a request before") {
			if err != nil {
				t.Errorf("%s: the request: got %v, want an answer", x.name, err)
			}
			status, _, err = readAnswer(r)
		}
		if served := err == nil && status == http.StatusOK; served != x.served {
			t.Errorf("%s: got served %v (%v), want %v", x.name, served, err, x.served)
		}
		if got, maxWant := a.Reserved(), int64(limit); got > maxWant {
			t.Errorf("%s: reserved: got %d, want at most %d", x.name, got, maxWant)
		}
		_ = c.Close()
	}
}

// TestMeterFindsTheEnd compares where heads end with what net/http reads, in pieces of one byte and whole.
func TestMeterFindsTheEnd(t *testing.T) {
	for _, head := range []string{
		"GET / HTTP/1.1\r\nHost: h\r\n\r\n", "GET / HTTP/1.1\nHost: h\n\n", "GET / HTTP/1.1\nHost: h\r\n\n", "GET / HTTP/1.0\r\n\r\n",
		"POST / HTTP/1.1\r\nHost: h\r\nA: b\r\n c\r\nA:\r\n\r\n",
	} {
		const rest = "GET /"
		r := bufio.NewReader(iotest.OneByteReader(strings.NewReader(head + rest)))
		if _, err := http.ReadRequest(r); err != nil {
			t.Fatal(err)
		}
		if left, err := io.ReadAll(r); string(left) != rest || err != nil {
			t.Fatalf("%q: net/http leaves %q, %v", head, left, err)
		}
		for _, step := range []int{1, 3, len(head) + len(rest)} {
			var m meter
			n, ended := 0, false
			for i := 0; !ended && i < len(head)+len(rest); i += step {
				var k int
				k, ended = m.scan([]byte((head + rest)[i:min(i+step, len(head)+len(rest))]))
				n += k
			}
			if got, want := n, len(head); got != want || !ended {
				t.Errorf("%q in steps of %d: got an end after %d, %v; want %d", head, step, got, ended, want)
			}
			if got, want := m.lines, strings.Count(head, "\n"); got != want {
				t.Errorf("%q in steps of %d: lines: got %d, want %d", head, step, got, want)
			}
		}
	}
}

// TestErrorOfAHeadIsSilent checks that the error for a head without memory is one after which net/http writes no response.
func TestErrorOfAHeadIsSilent(t *testing.T) {
	ours, theirs := net.Pipe()
	defer func() { _, _ = ours.Close(), theirs.Close() }()
	a := memory.NewAccount(8 << 10)
	c := &conn{Conn: ours, inHead: true, limiter: NewLimiter(a), reservation: a.NewReservation()}
	go func() { _, _ = io.WriteString(theirs, strings.Repeat("a:\r\n", 200)) }()
	_, err := c.Read(make([]byte, 4096))
	var e *net.OpError
	if !errors.As(err, &e) || e.Op != "read" || !errors.Is(err, memory.ErrShort) {
		t.Errorf("got error %v, want one of reading, %v", err, memory.ErrShort)
	}
}
