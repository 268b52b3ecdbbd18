//go:build !race || whole

package linetiller

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	fakeplatform "github.com/linetiller/linetiller/internal/fake/platform"
)

const (
	crowdSize   = 120
	crowdRounds = 3
	// crowdMemoryMB is the memory of the process in its settings, in MiB, which it may not exceed.
	crowdMemoryMB = 64
	// crowdDescriptors is the number of descriptors that a small machine has for sockets.
	crowdDescriptors = 3900
	crowdTimeout     = 20 * time.Second // after which the process counts as hanging
	crowdSettings    = `box = "box-a1"
hall = "a"
links = "plain"
box_address = "127.0.0.1:0"
client_address = "%s"
operator_address = "%s"
platform = "%s"
[entry]
address = "%s"
metrics = "%s"
readiness = "%s"
[limits]
%s
[timeouts]
drain = "10ms"
leave = "1s"
`
)

// boxProcess is a box that runs as a process of its own, with an upstream that answers at once.
type boxProcess struct {
	addresses map[string]string // by listener
	command   *exec.Cmd
	ended     chan struct{} // closed once the process has ended
	t         *testing.T
}

// startBoxProcess starts a box with the given settings of its limits and waits until it serves.
func startBoxProcess(t *testing.T, limits string) *boxProcess {
	t.Helper()
	store := fakeplatform.New()
	p := httptest.NewServer(store)
	u := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set("X-Linetiller-Request-Id", r.Header.Get("X-Linetiller-Request-Id"))
		w.Header().Set("X-Linetiller-Server-Stamp", "stamp")
		_, _ = io.WriteString(w, "answer")
	}))
	putDesk(store, u.URL)
	t.Cleanup(func() {
		u.Close()
		p.CloseClientConnections()
		p.Close()
	})
	for range 10 {
		b := &boxProcess{addresses: freeAddresses(t), ended: make(chan struct{}), t: t}
		a := b.addresses
		b.start(fmt.Sprintf(crowdSettings, a["clients"], a["operators"], p.URL, a["entry"], a["metrics"], a["readiness"], limits))
		if b.awaitServing() {
			return b
		}
	}
	t.Fatal("the box does not start")
	return nil
}

// start starts the process with the given settings.
func (b *boxProcess) start(settings string) {
	b.t.Helper()
	path := filepath.Join(b.t.TempDir(), "settings.toml")
	if err := os.WriteFile(path, []byte(settings), 0o600); err != nil {
		b.t.Fatal(err)
	}
	exe, err := os.Executable()
	if err != nil {
		b.t.Fatal(err)
	}
	b.command = exec.Command(exe)
	b.command.Args = []string{"linetiller", "serve", "--settings", path} // TestMain runs it by this name
	b.command.Stdout, b.command.Stderr = b.t.Output(), b.t.Output()
	b.command.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := b.command.Start(); err != nil {
		b.t.Fatal(err)
	}
	go func() {
		_ = b.command.Wait()
		close(b.ended)
	}()
	b.t.Cleanup(func() {
		_ = b.command.Process.Kill()
		<-b.ended
	})
}

// awaitServing waits until the box serves. It reports false if the process has ended, as it does if another one has taken
// an address in the meantime.
func (b *boxProcess) awaitServing() bool {
	for b.ordinaryStatus() != http.StatusOK {
		select {
		case <-b.ended:
			return false
		case <-time.After(10 * time.Millisecond):
		}
	}
	return true
}

// freeAddresses returns a free address for each listener.
func freeAddresses(t *testing.T) map[string]string {
	t.Helper()
	a := make(map[string]string)
	for _, n := range []string{"clients", "operators", "entry", "metrics", "readiness"} {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		defer func() { _ = l.Close() }() // once all are chosen, so that they differ
		a[n] = l.Addr().String()
	}
	return a
}

// ordinaryStatus sends an ordinary request over a new connection and returns the status of its answer, or 0.
func (b *boxProcess) ordinaryStatus() int {
	q, err := http.NewRequestWithContext(b.t.Context(), http.MethodGet, "http://"+b.addresses["entry"]+"/call/x", http.NoBody)
	if err != nil {
		b.t.Fatal(err)
	}
	q.Host, q.Close = "h.example", true
	q.Header.Set("X-Linetiller-Request-Id", "ordinary")
	w, err := (&http.Client{Timeout: crowdTimeout}).Do(q)
	if err != nil {
		return 0
	}
	defer func() { _ = w.Body.Close() }()
	if _, err = io.Copy(io.Discard, w.Body); err != nil {
		return 0
	}
	return w.StatusCode
}

// peakMB returns the most memory that the process has used, in MiB, and 0 if it has ended.
func (b *boxProcess) peakMB() int {
	s, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", b.command.Process.Pid))
	m := regexp.MustCompile(`VmHWM:\s+(\d+) kB`).FindSubmatch(s)
	if err != nil || m == nil {
		return 0
	}
	n, _ := strconv.Atoi(string(m[1]))
	return n >> 10
}

// descriptors returns the number of open descriptors of the process.
func (b *boxProcess) descriptors() int {
	l, _ := os.ReadDir(fmt.Sprintf("/proc/%d/fd", b.command.Process.Pid))
	return len(l)
}

// awaitQuiet waits until the process has read what was sent to it: until it uses little of a processor.
func (b *boxProcess) awaitQuiet() {
	const period, polls, quietTicks = 200 * time.Millisecond, 25, 2
	for range polls {
		before := b.ticks()
		time.Sleep(period)
		if b.ticks()-before <= quietTicks {
			return
		}
	}
}

// ticks returns the processor time that the process has used, in hundredths of a second.
func (b *boxProcess) ticks() int {
	s, _ := os.ReadFile(fmt.Sprintf("/proc/%d/stat", b.command.Process.Pid))
	_, rest, _ := strings.Cut(string(s), ") ")
	f := strings.Fields(rest)
	if len(f) < 13 {
		return 0
	}
	user, _ := strconv.Atoi(f[11])
	system, _ := strconv.Atoi(f[12])
	return user + system
}

// crowd is a number of clients that send the same at once, each over a connection of its own.
type crowd struct {
	address string
	begin   string // sent first
	more    string // sent again and again after it
	bytes   int    // of more that are sent
}

// send sends what one client sends over one connection and returns the connection, nil if it could not be opened.
func (c *crowd) send() net.Conn {
	n, err := net.DialTimeout("tcp", c.address, crowdTimeout)
	if err != nil {
		return nil
	}
	_ = n.SetDeadline(time.Now().Add(crowdTimeout))
	if _, err = io.WriteString(n, c.begin); err != nil {
		return n
	}
	piece := strings.Repeat(c.more, 4096/max(1, len(c.more)))
	for sent := 0; sent < c.bytes; sent += len(piece) {
		if _, err = io.WriteString(n, piece); err != nil {
			return n
		}
	}
	return n
}

// round has all clients send, waits until the box has read what they sent, and closes the connections once all have.
func (c *crowd) round(b *boxProcess) {
	var g sync.WaitGroup
	connections := make([]net.Conn, crowdSize)
	for i := range connections {
		g.Go(func() { connections[i] = c.send() })
	}
	g.Wait()
	if got, maxWant := b.descriptors(), crowdDescriptors; got > maxWant {
		b.t.Errorf("descriptors: got %d, want at most %d", got, maxWant)
	}
	b.awaitQuiet()
	for _, n := range connections {
		if n != nil {
			_ = n.Close()
		}
	}
}

// TestCrowdOutsideTheLimits guards against clients whose heads make a process exceed its memory, which ended it: heads
// that are too large, never end, or follow others in the same segment, and empty lines before a request.
func TestCrowdOutsideTheLimits(t *testing.T) {
	const line = "GET /call/x HTTP/1.1\r\nHost: h.example\r\n"
	const size = 60 << 10
	fields := new(strings.Builder)
	for i := 0; fields.Len() < size; i++ {
		fmt.Fprintf(fields, "a%x: b\r\n", i)
	}
	segment := fields.String()[:3<<10]
	segment = segment[:strings.LastIndex(segment, "\n")+1]
	crowds := map[string]crowd{
		"one field without end":           {begin: line + "a: ", more: "b", bytes: 1 << 20},
		"empty lines":                     {more: "\r\n", bytes: 1 << 20},
		"line feeds":                      {more: "\n", bytes: 1 << 20},
		"fields after a request":          {begin: line + "\r\n" + line + segment},
		"fields after a request in parts": {begin: "POST /call/x HTTP/1.1\r\nHost: h.example\r\nTransfer-Encoding: chunked\r\n\r\n1\r\nx\r\n0\r\n\r\n" + line + segment},
		"field names without end":         {begin: line, more: "a", bytes: 1 << 20},
		"the same field without end":      {begin: line, more: "a: b\r\n", bytes: 1 << 20},
	}
	for _, listener := range []string{"entry", "clients", "operators", "metrics", "readiness"} {
		crowds["many fields at "+listener] = crowd{address: listener, begin: line + fields.String()[:size]}
	}
	for name, c := range crowds {
		t.Run(name, func(t *testing.T) {
			b := startBoxProcess(t, fmt.Sprint("memory_mb = ", crowdMemoryMB))
			if c.address == "" {
				c.address = "entry"
			}
			c.address = b.addresses[c.address]
			for range crowdRounds {
				c.round(b)
			}
			if got, maxWant := b.peakMB(), crowdMemoryMB; got == 0 || got > maxWant {
				t.Errorf("memory: got %d MiB, want at most %d", got, maxWant)
			}
			t.Logf("%s: %d MiB at most", name, b.peakMB())
			if got, want := b.ordinaryStatus(), http.StatusOK; got != want {
				t.Errorf("ordinary request afterwards: got status %d, want %d", got, want)
			}
		})
	}
}

// TestCrowdOfConnections guards against clients that open connections and send nothing, which left a process without
// descriptors.
func TestCrowdOfConnections(t *testing.T) {
	const descriptors, connections = 400, 600
	for _, listener := range []string{"entry", "clients", "operators", "metrics", "readiness"} {
		t.Run(listener, func(t *testing.T) {
			b := startBoxProcess(t, fmt.Sprint("descriptors = ", descriptors))
			var l []net.Conn
			for range connections {
				c, err := net.DialTimeout("tcp", b.addresses[listener], crowdTimeout)
				if err != nil {
					t.Fatal(err)
				}
				l = append(l, c)
			}
			b.awaitQuiet()
			if got, maxWant := b.descriptors(), descriptors; got > maxWant {
				t.Errorf("descriptors: got %d, want at most %d", got, maxWant)
			}
			for _, c := range l {
				_ = c.Close()
			}
			if got, want := b.ordinaryStatus(), http.StatusOK; got != want {
				t.Errorf("ordinary request afterwards: got status %d, want %d", got, want)
			}
		})
	}
}
