package standins

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"slices"
	"strings"
	"sync"
	"time"
)

const (
	drainTime   = 5 * time.Second // bounds.drain_ms
	contactTime = 6 * time.Second // bounds.contact_ms
	serveOn     = 25 * time.Second
)

// outcome is what a client saw of one request.
type outcome struct {
	id      string
	box     *box
	sentAt  time.Time
	endedAt time.Time
	status  int
	err     error
}

// client sends requests to boxes, over connections that it keeps.
type client struct {
	http     *http.Client
	mutex    sync.Mutex
	outcomes []outcome
}

func newClient() *client {
	return &client{http: &http.Client{Timeout: 4 * time.Second, Transport: &http.Transport{
		DialContext: (&net.Dialer{Timeout: time.Second}).DialContext, IdleConnTimeout: 5 * time.Second, MaxIdleConnsPerHost: 100,
	}}}
}

func (c *client) send(ctx context.Context, b *box, method, path string) {
	id := fmt.Sprintf("%016x", rand.Uint64())
	r, err := http.NewRequestWithContext(ctx, method, "http://"+b.entry+path, strings.NewReader(strings.Repeat("x", 300)))
	if err != nil {
		return
	}
	r.Host = "desk.example"
	r.Header.Set("X-Linetiller-Request-Id", id)
	r.Header.Set("X-Linetiller-Deadline-Ms", "3000")
	r.Header.Set("Authorization", "Bearer key-1")
	o := outcome{id: id, box: b, sentAt: time.Now()}
	w, err := c.http.Do(r)
	if err == nil {
		o.status = w.StatusCode
		_, o.err = io.ReadAll(w.Body)
		_ = w.Body.Close()
	} else {
		o.err = err
	}
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.outcomes = append(c.outcomes, o)
}

// configuration is what the operator has written: one route to the service "desk".
func configuration(version int, services ...string) map[string]any {
	var l []map[string]any
	for _, s := range services {
		l = append(l, map[string]any{"name": s, "health_path": "/health", "max_conns": 400, "protocol": "h1", "tls": false})
	}
	return map[string]any{
		"version": version,
		"routes": []map[string]any{{
			"name": "r-status", "host": "desk.example", "path_prefix": "/status/", "kind": "unsafe", "timeout_ms": 1500, "target_latency_ms": 300,
			"priority": 2, "service": "desk", "max_attempts": 1, "public": false, "sticky": false, "resumable": false,
		}},
		"services": l,
		"limits":   map[string]any{"max_header_bytes": 16384, "max_body_bytes": 4194304, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
		"tenants":  []map[string]any{{"name": "tenant-1", "api_keys": []string{"key-1"}}},
	}
}

// listCase kills all boxes and starts them again while a share of 0.13 of the engines is taken away. The list of engines has
// several pages.
func listCase(r *recorder, program, dir string, trouble bool) int {
	const engines, perSecond, boxes = 5000, 300, 3
	s := newStore()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return exitNotRun
	}
	go func() { _ = http.Serve(l, s) }() //nolint:gosec // a stand-in
	f := &fleet{work: 5 * time.Millisecond}
	var all []*engine
	for i := range engines {
		e, err := f.start("desk", fmt.Sprintf("i-%08x", rand.Uint32()))
		if err != nil {
			r.printf("cannot start engine %d: %v", i, err)
			return exitNotRun
		}
		all = append(all, e)
		s.put("servers", e.id, e.entry("ready"))
	}
	s.put("op", "config", configuration(1, "desk"))
	var bs []*box
	for i := range boxes {
		b, err := newBox(dir, fmt.Sprintf("front-a-%d", i+1), "zone-a", l.Addr().String())
		if err != nil || b.start(program, true) != nil {
			return exitNotRun
		}
		defer b.kill()
		bs = append(bs, b)
	}
	r.printf("%d engines and %d boxes started", engines, boxes)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	c := newClient()
	for _, b := range bs {
		if !b.awaitReady(15 * time.Second) {
			r.printf("%s does not become ready", b.name)
			return exitNotRun
		}
	}
	time.Sleep(contactTime)
	var g sync.WaitGroup
	g.Go(func() {
		t := time.NewTicker(2500 * time.Microsecond)
		defer t.Stop()
		for {
			select {
			case <-ctx.Done():
				return
			case <-t.C:
				g.Go(func() { c.send(ctx, bs[rand.IntN(len(bs))], http.MethodPost, "/status/1") })
			}
		}
	})
	time.Sleep(4 * time.Second)
	// The engines are taken away: each says that it drains, serves on, and ends.
	leaving := slices.Clone(all)
	rand.Shuffle(len(leaving), func(i, j int) { leaving[i], leaving[j] = leaving[j], leaving[i] })
	leaving = leaving[:engines*13/100]
	began := time.Now()
	r.printf("%d engines begin to drain, %d a second", len(leaving), perSecond)
	g.Go(func() {
		for i, e := range leaving {
			time.Sleep(time.Until(began.Add(time.Duration(i) * time.Second / perSecond)))
			e.setDrained(s.put("servers", e.id, e.entry("draining")))
		}
		r.printf("all of them drain")
	})
	if trouble {
		time.Sleep(100 * time.Millisecond)
		for _, b := range bs {
			b.kill()
		}
		r.printf("all boxes were killed")
		time.Sleep(500 * time.Millisecond)
		for _, b := range bs {
			if b.start(program, false) != nil {
				return exitNotRun
			}
		}
		r.printf("all boxes were started again")
	}
	time.Sleep(time.Until(began.Add(serveOn)))
	cancel()
	g.Wait()
	return judgeDrain(r, f, c, bs)
}

// judgeDrain applies the rule DRAIN to what the engines have seen.
func judgeDrain(r *recorder, f *fleet, c *client, bs []*box) int {
	sentTo := make(map[string]outcome)
	statuses := make(map[int]int)
	for _, o := range c.outcomes {
		sentTo[o.id] = o
		statuses[o.status]++
	}
	for _, a := range f.arrivals {
		o := sentTo[a.request]
		r.printf("request %s: sent at %.3f to %s, answered with %d; run at %.3f by %s", a.request, r.at(o.sentAt), name(o.box), o.status, r.at(a.at), a.engine.id)
	}
	late, engines := 0, make(map[string]int)
	for _, a := range f.arrivals {
		d := a.engine.drainedAt()
		o, ok := sentTo[a.request]
		if d.IsZero() || !ok || a.at.Sub(d) <= drainTime {
			continue
		}
		if a.at.Sub(o.box.started()) < contactTime {
			continue // the machine is not in touch
		}
		late++
		engines[a.engine.id]++
		r.printf("request %s, taken by %s at %.3f, reached engine %s at %.3f, %.3f s after the store had acknowledged that it drains", a.request, o.box.name, r.at(o.sentAt), a.engine.id, r.at(a.at), a.at.Sub(d).Seconds())
	}
	errs := make(map[string]int)
	for _, o := range c.outcomes {
		if o.err != nil {
			e := o.err.Error()
			errs[o.box.name+" "+e[max(0, len(e)-60):]+fmt.Sprintf(" %.0f", r.at(o.sentAt))]++
		}
	}
	for e, n := range errs {
		r.printf("%d without an answer: %s", n, e)
	}
	r.printf("%d requests were sent, answers by status: %v; %d runs; %d requests reached %d engines late", len(c.outcomes), statuses, len(f.arrivals), late, len(engines))
	switch {
	case statuses[http.StatusOK] < 100 || len(bs) == 0:
		return exitNotRun
	case late > 0:
		return exitBroken
	}
	return exitHeld
}

func name(b *box) string {
	if b == nil {
		return "nobody"
	}
	return b.name
}
