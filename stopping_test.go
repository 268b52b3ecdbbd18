//go:build !race || whole

package linetiller

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	fakeplatform "github.com/linetiller/linetiller/internal/fake/platform"
	"github.com/linetiller/linetiller/internal/operator"
	"github.com/linetiller/linetiller/internal/resource"
	"github.com/linetiller/linetiller/internal/settings"
)

// slowListener accepts connections whose writes are delayed.
type slowListener struct{ net.Listener }

// slowConn delays each write.
type slowConn struct{ net.Conn }

// slowWriteDelay is longer than a box takes to close its servers.
const slowWriteDelay = 100 * time.Millisecond

func (l slowListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return slowConn{c}, nil
}

func (c slowConn) Write(b []byte) (int, error) {
	time.Sleep(slowWriteDelay)
	return c.Conn.Write(b)
}

// stoppedBox is a box over loopback whose only upstream keeps its requests until the test ends. The responses of all
// its servers are sent late.
type stoppedBox struct {
	*Box
	arrived chan struct{}                 // receives a value for each request at the upstream, and for each write that is held
	ended   chan struct{}                 // closed when Serve has returned
	held    atomic.Pointer[chan struct{}] // writes to the store wait until it is closed; nil for none
	store   *fakeplatform.Platform
}

// newStoppedBox starts a box, with an entry if that is set.
func newStoppedBox(t *testing.T, entry bool) *stoppedBox {
	t.Helper()
	b := &stoppedBox{arrived: make(chan struct{}, 10), ended: make(chan struct{}), store: fakeplatform.New()}
	release := make(chan struct{})
	p := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if held := b.held.Load(); held != nil && r.Method == http.MethodPost {
			b.arrived <- struct{}{}
			<-*held
		}
		b.store.ServeHTTP(w, r)
	}))
	u := httptest.NewServer(http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)
		if r.Method == http.MethodPost {
			b.arrived <- struct{}{}
		}
		<-release
	}))
	putDesk(b.store, u.URL)
	s := settings.Default()
	s.Box, s.Hall, s.Platform = "box-a1", "a", p.URL
	s.BoxAddress, s.ClientAddress, s.OperatorAddress = "127.0.0.1:0", "127.0.0.1:0", "127.0.0.1:0"
	if entry {
		s.Entry = settings.Entry{Address: "127.0.0.1:0", Metrics: "127.0.0.1:0", Readiness: "127.0.0.1:0"}
	}
	s.Timeouts.Drain.Duration, s.Timeouts.Leave.Duration = 10*time.Millisecond, 1100*time.Millisecond
	var err error
	if b.Box, err = New(&s); err != nil {
		t.Fatal(err)
	}
	b.clientListener, b.operatorListener = slowListener{b.clientListener}, slowListener{b.operatorListener}
	for i := range b.entry {
		b.entry[i].listener = slowListener{b.entry[i].listener}
	}
	go func() {
		defer close(b.ended)
		_ = b.Serve(t.Context())
	}()
	t.Cleanup(func() {
		_ = b.Close()
		<-b.ended
		close(release)
		u.Close()
		p.CloseClientConnections()
		p.Close()
	})
	return b
}

// putDesk writes an upstream and a configuration with one public route to it.
func putDesk(s *fakeplatform.Platform, upstream string) {
	s.Put("servers/s-1", json.RawMessage(fmt.Sprintf(`{"service":"desk","address":%q,"zone":"a","state":"ready"}`, strings.TrimPrefix(upstream, "http://"))))
	s.Put("op/config", json.RawMessage(`{"version":1,"routes":[{"name":"r","host":"h.example","path_prefix":"/call/","kind":"unsafe","timeout_ms":60000,"target_latency_ms":300,"service":"desk","max_attempts":1,"public":true}],"services":[{"name":"desk"}],"limits":{"max_header_bytes":16384,"max_body_bytes":4194304,"header_timeout_ms":3000,"idle_timeout_ms":15000}}`))
}

// call sends a request to an address of the box and returns the status of its answer, or an error if the connection
// ends without a complete one.
func (b *stoppedBox) call(address net.Addr, key, path string) (status int, err error) {
	c, err := net.Dial("tcp", address.String())
	if err != nil {
		return 0, err
	}
	defer func() { _ = c.Close() }()
	if _, err = fmt.Fprintf(c, "POST %s HTTP/1.1\r\nHost: h.example\r\nAuthorization: Bearer k\r\nIdempotency-Key: %s\r\nContent-Length: 1\r\n\r\nx", path, key); err != nil {
		return 0, err
	}
	w, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		return 0, err
	}
	defer func() { _ = w.Body.Close() }()
	_, err = io.Copy(io.Discard, w.Body)
	return w.StatusCode, err
}

// await waits until ready returns true.
func await(t *testing.T, ready func() bool) {
	t.Helper()
	for !ready() {
		select {
		case <-t.Context().Done():
			t.Fatal("the test has ended")
		case <-time.After(10 * time.Millisecond):
		}
	}
}

// TestStopAnswersWhatItAborts guards against connections that are closed without an answer as a box stops: the failures
// of requests that it aborts at the end of its grace period were still being written.
func TestStopAnswersWhatItAborts(t *testing.T) {
	for _, x := range []struct {
		name  string
		entry bool
		path  string
	}{
		{"request of a route", true, "/call/x"},
		{"call of a service", false, "/services/desk/x"},
	} {
		t.Run(x.name, func(t *testing.T) {
			b := newStoppedBox(t, x.entry)
			address := b.clientListener.Addr()
			if x.entry {
				await(t, func() bool { return b.isReady() && b.relay.HasConfiguration() && b.view.Upstream("s-1") != nil })
				address = b.entry[0].listener.Addr()
			} else {
				await(t, b.isReady)
				b.declareDesk(t)
			}
			const requests = 5
			type outcome struct {
				status int
				err    error
			}
			outcomes := make(chan outcome, requests)
			for i := range requests {
				go func() {
					status, err := b.call(address, fmt.Sprint("k-", i), x.path)
					outcomes <- outcome{status, err}
				}()
				<-b.arrived
			}
			b.Leave()
			for range requests {
				if got := <-outcomes; got.err != nil || got.status < http.StatusInternalServerError {
					t.Errorf("got status %d and error %v, want a failure", got.status, got.err)
				}
			}
			<-b.ended
		})
	}
}

// TestStopAnswersOperators guards against writes of operators that are cut off without an answer as a box stops, and
// checks that a watch ends in order, without which it would delay the stop.
func TestStopAnswersOperators(t *testing.T) {
	b := newStoppedBox(t, false)
	await(t, b.isReady)
	o := operator.NewClient("http://"+b.OperatorAddress(), "", &http.Client{})
	watching, watched := make(chan struct{}), make(chan error, 1)
	go func() {
		watched <- o.Watch(t.Context(), "", "", func(*operator.WatchEvent) error {
			close(watching)
			return nil
		})
	}()
	written := make(chan error, 1)
	write := func(name string) error {
		_, err := o.Apply(context.WithoutCancel(t.Context()), &resource.Resource{Kind: resource.KindPriority, Metadata: resource.Metadata{Name: name}, Spec: []byte(`{"value":5}`)})
		return err
	}
	if err := write("first"); err != nil {
		t.Fatal(err)
	}
	<-watching
	held := make(chan struct{})
	b.held.Store(&held)
	go func() { written <- write("second") }()
	<-b.arrived
	b.Leave()
	if got, want := fmt.Sprint(<-watched), "cause: EOF"; !strings.HasSuffix(got, want) {
		t.Errorf("watch: got error %q, want %q at its end", got, want)
	}
	b.held.Store(nil)
	close(held)
	if err := <-written; err != nil {
		t.Errorf("write: got error %v, want none", err)
	}
	<-b.ended
}

// declareDesk declares a workspace and the upstream of the service through the operator interface.
func (b *stoppedBox) declareDesk(t *testing.T) {
	t.Helper()
	var v struct{ Address string }
	if err := json.Unmarshal(b.store.Row("servers/s-1").Value, &v); err != nil {
		t.Fatal(err)
	}
	o := operator.NewClient("http://"+b.OperatorAddress(), "", &http.Client{})
	for _, x := range []struct {
		kind resource.Kind
		name string
		spec any
	}{
		{resource.KindPriority, "p", resource.PrioritySpec{Value: 5}},
		{resource.KindWorkspace, "w", resource.WorkspaceSpec{KeyHashes: []string{resource.HashKey("k")}, Priority: "p"}},
		{resource.KindUpstream, "s-1", resource.UpstreamSpec{Address: "http://" + v.Address, Hall: "a", Service: "desk", Type: resource.UpstreamService}},
	} {
		s, err := json.Marshal(x.spec)
		if err != nil {
			t.Fatal(err)
		}
		if _, err := o.Apply(t.Context(), &resource.Resource{Kind: x.kind, Metadata: resource.Metadata{Name: x.name}, Spec: s}); err != nil {
			t.Fatal(err)
		}
	}
	await(t, func() bool { return b.view.Upstream("s-1") != nil && b.view.WorkspaceByKey("k") != nil })
}
