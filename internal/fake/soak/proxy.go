package soak

import (
	"net"
	"sync"
	"time"
)

// proxyMode determines what a proxy does with the data of its connections.
type proxyMode string

// The modes of a proxy.
const (
	modeDelay     proxyMode = "delay"   // data arrives late
	modeOneWay    proxyMode = "one-way" // data passes to the target only
	modePass      proxyMode = "pass"
	modeBlackhole proxyMode = "silent" // no data passes in either direction, and connections stay open
)

// proxy forwards the connections to its loopback address to a target, subject to injected faults.
type proxy struct {
	faulty      []interval // when it delayed, withheld or lost data; the last interval may not have ended
	closed      chan struct{}
	connections map[net.Conn]bool
	listener    net.Listener
	mode        proxyMode
	lastReplyAt time.Time         // when data was last received from the target
	mutex       sync.Mutex        // guards connections, faulty, lastReplyAt, mode, stalled and target
	stalled     map[net.Conn]bool // data that arrives over them is dropped, and they stay open
	target      string
	workers     sync.WaitGroup
}

const (
	proxyDelay = 150 * time.Millisecond // much longer than any answer takes on loopback
	proxyPoll  = 20 * time.Millisecond  // between two checks whether a proxy that withholds data forwards again
)

// replyRecorder is a connection to a client of the proxy that records when replies are written to it.
type replyRecorder struct {
	net.Conn
	proxy *proxy
}

// Write writes data and records the time.
func (n *replyRecorder) Write(b []byte) (int, error) {
	n.proxy.mutex.Lock()
	n.proxy.lastReplyAt = time.Now()
	n.proxy.mutex.Unlock()
	return n.Conn.Write(b)
}

// newProxy returns a proxy to a target address.
func newProxy(target string) (*proxy, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	p := &proxy{closed: make(chan struct{}), connections: make(map[net.Conn]bool), listener: l, mode: modePass, stalled: make(map[net.Conn]bool), target: target}
	p.workers.Go(p.accept)
	return p, nil
}

func (p *proxy) accept() {
	for {
		c, err := p.listener.Accept()
		if err != nil {
			return
		}
		p.workers.Go(func() { p.serve(c) })
	}
}

// address returns the address that the proxy listens at.
func (p *proxy) address() string { return p.listener.Addr().String() }

// awaitForwarding waits until data may be forwarded. It reports false if the proxy is closed
// first.
func (p *proxy) awaitForwarding(blocking []proxyMode) bool {
	for {
		p.mutex.Lock()
		m := p.mode
		p.mutex.Unlock()
		wait := time.Duration(0)
		if m == modeDelay {
			wait = proxyDelay
		}
		for _, h := range blocking {
			if m == h {
				wait = proxyPoll
			}
		}
		select {
		case <-p.closed:
			return false
		case <-time.After(wait):
		}
		if wait != proxyPoll {
			return true
		}
	}
}

// close ends the proxy and all its connections, and waits for them.
func (p *proxy) close() {
	close(p.closed)
	_ = p.listener.Close()
	p.resetConnections()
	p.workers.Wait()
}

// faultyWithin reports whether the proxy had a fault, or reset or stalled its connections, between
// two times.
func (p *proxy) faultyWithin(from, to time.Time) bool {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	for _, x := range p.faulty {
		if x.from.Before(to) && (x.to.IsZero() || x.to.After(from)) {
			return true
		}
	}
	return false
}

// forward copies data from one connection to the other. It withholds the data while the proxy is
// in one of the blocking modes.
func (p *proxy) forward(to, from net.Conn, blocking ...proxyMode) {
	defer func() {
		_ = to.Close()
		_ = from.Close()
	}()
	b := make([]byte, 16<<10)
	for {
		n, err := from.Read(b)
		if n > 0 && !p.isStalled(from) && p.awaitForwarding(blocking) {
			if _, err := to.Write(b[:n]); err != nil {
				return
			}
		}
		if err != nil {
			return
		}
	}
}

// isStalled reports whether data that arrives over a connection is dropped.
func (p *proxy) isStalled(c net.Conn) bool {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	return p.stalled[c]
}

// lastReply returns when data was last received from the target.
func (p *proxy) lastReply() time.Time {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	return p.lastReplyAt
}

// refuseConnections makes the proxy refuse connections permanently, like a machine on which nothing
// listens any more.
func (p *proxy) refuseConnections() {
	_ = p.listener.Close()
	p.resetConnections()
}

// resetConnections resets every connection.
func (p *proxy) resetConnections() {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	for c := range p.connections {
		if t, ok := c.(*net.TCPConn); ok {
			_ = t.SetLinger(0)
		}
		_ = c.Close()
	}
	clear(p.connections)
	now := time.Now()
	p.faulty = append(p.faulty, interval{now, now})
}

func (p *proxy) serve(c net.Conn) {
	p.mutex.Lock()
	target := p.target
	p.mutex.Unlock()
	d, err := net.DialTimeout("tcp", target, time.Second)
	if err != nil {
		_ = c.Close()
		return
	}
	p.mutex.Lock()
	p.connections[c], p.connections[d] = true, true
	p.mutex.Unlock()
	var g sync.WaitGroup
	g.Go(func() { p.forward(d, c, modeBlackhole) })
	g.Go(func() { p.forward(&replyRecorder{c, p}, d, modeBlackhole, modeOneWay) })
	g.Wait()
	p.mutex.Lock()
	defer p.mutex.Unlock()
	for _, x := range []net.Conn{c, d} {
		delete(p.connections, x)
		delete(p.stalled, x)
	}
}

// setMode switches the mode.
func (p *proxy) setMode(m proxyMode) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	p.mode = m
	now := time.Now()
	if n := len(p.faulty); n > 0 && p.faulty[n-1].to.IsZero() {
		p.faulty[n-1].to = now
	}
	if m != modePass {
		p.faulty = append(p.faulty, interval{from: now})
	}
}

// stallConnections makes the open connections carry no more data, while new ones work.
func (p *proxy) stallConnections() {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	for c := range p.connections {
		p.stalled[c] = true
	}
	now := time.Now()
	p.faulty = append(p.faulty, interval{now, now})
}
