package standins

import (
	"bufio"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"slices"
	"strings"
	"sync"
	"syscall"
	"time"
)

const (
	stopGap      = 1300 * time.Millisecond
	graceTime    = 8 * time.Second        // bounds.grace_s
	lossSlack    = 200 * time.Millisecond // bounds.loss_slack_ms
	excusedUntil = 3 * time.Second        // requests sent up to then after the SIGTERM may be cut
)

// keptConnection is a connection of a client to a box, which it keeps between requests.
type keptConnection struct {
	box    *box
	conn   net.Conn
	reader *bufio.Reader
	closed bool // the box has said that it closes the connection, or has closed it
}

func dialBox(b *box) (*keptConnection, error) {
	c, err := net.DialTimeout("tcp", b.entry, time.Second)
	if err != nil {
		return nil, err
	}
	return &keptConnection{box: b, conn: c, reader: bufio.NewReader(c)}, nil
}

// send sends one request and reads its answer. The outcome has an error if the connection ended without a complete one.
func (k *keptConnection) send(id, path string, deadline time.Duration) outcome {
	o := outcome{id: id, box: k.box, sentAt: time.Now()}
	body := strings.Repeat("x", 300)
	_, err := fmt.Fprintf(k.conn, "POST %s HTTP/1.1\r\nHost: desk.example\r\nX-Linetiller-Request-Id: %s\r\nX-Linetiller-Deadline-Ms: %d\r\nAuthorization: Bearer key-1\r\nContent-Length: %d\r\n\r\n%s",
		path, id, deadline.Milliseconds(), len(body), body)
	if err == nil {
		_ = k.conn.SetReadDeadline(time.Now().Add(deadline + time.Second))
		var w *http.Response
		if w, err = http.ReadResponse(k.reader, nil); err == nil {
			o.status = w.StatusCode
			_, err = io.ReadAll(w.Body)
			k.closed = w.Close
		}
	}
	o.err, o.endedAt = err, time.Now()
	if err != nil {
		k.closed = true
	}
	if k.closed {
		_ = k.conn.Close()
	}
	return o
}

// stopCase stops the two boxes of each hall one after the other, as a rolling restart of several boxes at a time does,
// while clients send requests now and then over connections that they keep.
func stopCase(r *recorder, program, dir string, trouble bool) int {
	const engines, boxes, halls, connections, rounds = 120, 8, 4, 2400, 3
	s := newStore()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return exitNotRun
	}
	go func() { _ = http.Serve(l, s) }() //nolint:gosec // a stand-in
	f := &fleet{work: 1400 * time.Millisecond}
	for range engines {
		e, err := f.start("desk", fmt.Sprintf("i-%08x", rand.Uint32()))
		if err != nil {
			return exitNotRun
		}
		s.put("servers", e.id, e.entry("ready"))
	}
	c := configuration(1, "desk")
	c["routes"].([]map[string]any)[0]["timeout_ms"] = 3000
	s.put("op", "config", c)
	var bs []*box
	for i := range boxes {
		hall := string(rune('a' + i%halls))
		b, err := newBox(dir, fmt.Sprintf("front-%s-%d", hall, 1+i/halls), "zone-"+hall, l.Addr().String())
		if err != nil || b.start(program, true) != nil {
			return exitNotRun
		}
		defer b.kill()
		bs = append(bs, b)
	}
	for range rounds {
		if code := stopRound(r, f, bs, program, halls, connections, trouble); code != exitHeld {
			return code
		}
	}
	return exitHeld
}

// stopRound stops and starts all boxes once.
func stopRound(r *recorder, f *fleet, bs []*box, program string, halls, connections int, trouble bool) int {
	for _, b := range bs {
		if !b.awaitReady(15 * time.Second) {
			return exitNotRun
		}
	}
	time.Sleep(3 * time.Second)
	all := make([]*keptConnection, connections)
	var warm sync.WaitGroup
	for i := range all {
		warm.Go(func() {
			k, err := dialBox(bs[i%len(bs)])
			if err != nil {
				return
			}
			if o := k.send(fmt.Sprintf("%016x", rand.Uint64()), "/status/0", 3*time.Second); o.status == http.StatusOK && !k.closed {
				all[i] = k
			}
		})
		time.Sleep(time.Millisecond)
	}
	warm.Wait()
	if slices.Contains(all, nil) {
		r.printf("not all connections could be opened")
		return exitNotRun
	}
	var mutex sync.Mutex
	var outcomes []outcome
	var g sync.WaitGroup
	stoppedAt := make(map[*box]time.Time)
	began := time.Now()
	for i, b := range bs {
		stoppedAt[b] = began.Add(time.Duration(i/halls) * stopGap)
	}
	for i, k := range all {
		at := stoppedAt[k.box].Add(sendAfter(i / len(bs)))
		g.Go(func() {
			time.Sleep(time.Until(at))
			o := k.send(fmt.Sprintf("%016x", rand.Uint64()), "/status/1", 3*time.Second)
			mutex.Lock()
			defer mutex.Unlock()
			outcomes = append(outcomes, o)
		})
	}
	if trouble {
		for _, b := range bs {
			g.Go(func() {
				time.Sleep(time.Until(stoppedAt[b]))
				r.printf("SIGTERM to %s", b.name)
				b.signal(syscall.SIGTERM)
				select {
				case <-b.exited:
					r.printf("%s has ended", b.name)
				case <-time.After(graceTime):
					r.printf("SIGKILL to %s", b.name)
					b.kill()
				}
				_ = b.start(program, false)
			})
		}
	}
	g.Wait()
	ran := make(map[string]arrival)
	for _, a := range f.arrivals {
		ran[a.request] = a
	}
	lost, statuses := 0, make(map[int]int)
	for _, o := range outcomes {
		a, run := ran[o.id]
		after, took := o.sentAt.Sub(stoppedAt[o.box]), o.endedAt.Sub(o.sentAt)
		r.printf("request %s, sent to %s %.3f s after its SIGTERM: status %d, error %v, ended after %.3f s; run %v", o.id, o.box.name, after.Seconds(), o.status, o.err, took.Seconds(), run)
		statuses[o.status]++
		if o.err == nil || !run || took >= 3*time.Second || after <= excusedUntil || o.endedAt.Sub(stoppedAt[o.box]) > graceTime+time.Second {
			continue
		}
		lost++
		r.printf("request %s was passed on to engine %s and its connection ended without a complete answer", o.id, a.engine.id)
	}
	r.printf("%d requests, answers by status: %v; %d lost", len(outcomes), statuses, lost)
	switch {
	case lost > 0:
		return exitBroken
	case len(outcomes) < connections:
		return exitNotRun
	}
	return exitHeld
}

// sendAfter returns how long after the SIGTERM a request is sent.
func sendAfter(i int) time.Duration {
	if i%5 == 0 {
		return rand.N(5 * time.Second)
	}
	return 5*time.Second + rand.N(1400*time.Millisecond)
}
