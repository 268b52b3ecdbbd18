package box

import (
	"io"
	"net"
	"runtime"
	"testing"
)

// BenchmarkRelayedRequest measures a request and an answer of 800 bytes over a connection by way of another
// box, with all three in this process.
func BenchmarkRelayedRequest(b *testing.B) {
	from, between, address := newRelay(b, 800)
	q := &Request{Kind: KindConnect, Connect: &ConnectRequest{Address: address}}
	answer := make([]byte, 800)
	for b.Loop() {
		c, err := from.Connect(b.Context(), between.Address(), q)
		if err != nil {
			b.Fatal(err)
		}
		_, _ = c.Write([]byte("request"))
		if _, err := io.ReadFull(c, answer); err != nil {
			b.Fatal(err)
		}
		_ = c.Close()
	}
}

// BenchmarkRelayedEvent measures one event of a stream over an open connection by way of another box.
func BenchmarkRelayedEvent(b *testing.B) {
	from, between, address := newRelay(b, 200)
	c, err := from.Connect(b.Context(), between.Address(), &Request{Kind: KindConnect, Connect: &ConnectRequest{Address: address}})
	if err != nil {
		b.Fatal(err)
	}
	answer := make([]byte, 200)
	for b.Loop() {
		_, _ = c.Write([]byte("next"))
		if _, err := io.ReadFull(c, answer); err != nil {
			b.Fatal(err)
		}
	}
	_ = c.Close()
}

// BenchmarkOpenConnection measures the memory of an open connection: at the box that asked for it, the box in
// between and the upstream together.
func BenchmarkOpenConnection(b *testing.B) {
	from, between, address := newRelay(b, 1)
	q := &Request{Kind: KindConnect, Connect: &ConnectRequest{Address: address}}
	const connections = 500
	var before, after runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&before)
	var open []net.Conn
	for range connections {
		c, err := from.Connect(b.Context(), between.Address(), q)
		if err != nil {
			b.Fatal(err)
		}
		_, _ = c.Write([]byte("x"))
		_, _ = io.ReadFull(c, make([]byte, 1))
		open = append(open, c)
	}
	runtime.GC()
	runtime.ReadMemStats(&after)
	for b.Loop() { // the memory is measured once
		_ = open
	}
	b.ReportMetric(float64(after.HeapInuse+after.StackInuse-before.HeapInuse-before.StackInuse)/connections, "bytes/connection")
	for _, c := range open {
		_ = c.Close()
	}
}

// newRelay returns two boxes and the address of an upstream that answers each read with that many bytes.
func newRelay(b *testing.B, answerBytes int) (from, between *HTTPTransport, address string) {
	b.Helper()
	from, err := ListenHTTP("127.0.0.1:0", nil, nil)
	if err != nil {
		b.Fatal(err)
	}
	between, err = ListenHTTP("127.0.0.1:0", nil, connectUpstream)
	if err != nil {
		b.Fatal(err)
	}
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		b.Fatal(err)
	}
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go func() {
				defer func() { _ = c.Close() }()
				answer := make([]byte, answerBytes)
				for request := make([]byte, 64); ; {
					if _, err := c.Read(request); err != nil {
						return
					}
					if _, err := c.Write(answer); err != nil {
						return
					}
				}
			}()
		}
	}()
	b.Cleanup(func() {
		_ = l.Close()
		_ = from.Close()
		_ = between.Close()
	})
	return from, between, l.Addr().String()
}
