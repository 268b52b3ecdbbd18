package soak

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/linetiller/linetiller/internal/fake/routed"
)

const (
	memoryMB       = 134 // of each box, in MiB
	memoryShare    = 0.9 // that a box may use of it
	memoryWork     = 300 * time.Millisecond
	memoryPhase    = 3 * time.Second
	memoryPatience = 10 * time.Second       // of a caller with one request
	releasedWithin = 20 * time.Second       // after the last request
	releasedBytes  = 1 << 20                // that a box may still count for callers then
	refusedPause   = 100 * time.Millisecond // of a caller whose request was refused
	trickleEach    = 100 * time.Millisecond // between two pieces of a slow body
	trickleFor     = time.Second            // that a slow body takes
)

// memoryLoad is a number of callers that keep a connection to one box, with one request each at a time.
type memoryLoad struct {
	bodyBytes int
	callers   int
	chunked   bool // the length of the bodies is not known
	slow      bool // the bodies come slowly
}

// memorySoak sends loads to the boxes, one after another.
type memorySoak struct {
	callers *callers
	cluster *cluster
	output  io.Writer
}

// memoryCounts counts what became of the requests of a load.
type memoryCounts struct {
	mutex    sync.Mutex
	late     int // not answered within the time-out of their route
	lost     int // run by an upstream, and answered with nothing before that time-out
	statuses map[int]int
	unread   int // connections that ended before the request was sent on
}

// checkMemory sends more and larger requests than the boxes have memory for, and returns the violations: boxes that use
// too much memory, or end, and requests that were run and got no answer.
func checkMemory(programs string, seed uint64, duration time.Duration, output io.Writer) (violations []string, err error) {
	w, err := newCluster(programs, false, false, retryExtra, memoryMB)
	if err != nil {
		return nil, err
	}
	defer func() { w.close(len(violations) > 0 || err != nil) }()
	c := newCallers(w)
	if !c.awaitServing() {
		return nil, fmt.Errorf("the boxes did not serve: %v", c.statusCounts)
	}
	for _, u := range w.liveUpstreams() {
		u.engine.SetFaults(routed.Faults{Delay: memoryWork})
	}
	m := &memorySoak{callers: c, cluster: w, output: output}
	r := rand.New(rand.NewPCG(seed, 0))
	for began := time.Now(); time.Since(began) < duration; {
		m.run(w.boxes[r.IntN(len(w.boxes))], drawLoad(r))
	}
	if !c.awaitServing() {
		c.addViolation("not every box serves %s after the last request", recoveryPeriod)
	}
	for _, b := range w.boxes {
		m.checkReleased(b)
	}
	if len(c.violations) > 0 {
		_, _ = fmt.Fprintln(output, "soak: logs of the boxes:", w.logs.path)
	}
	return c.violations, nil
}

// drawLoad returns a load of two to twelve times what a box has memory for.
func drawLoad(r *rand.Rand) memoryLoad {
	factor := 2 + r.IntN(11)
	l := []memoryLoad{
		{bodyBytes: 4 << 20, callers: 10 * factor},
		{bodyBytes: 1 << 20, callers: 40 * factor},
		{bodyBytes: 64 << 10, callers: 200 * factor},
		{bodyBytes: 1 << 10, callers: 300 * factor},
	}[r.IntN(4)]
	l.chunked, l.slow = r.IntN(3) == 0, r.IntN(4) == 0
	return l
}

// run sends a load to a box for memoryPhase, and checks how much memory the box has used.
func (m *memorySoak) run(b *soakBox, l memoryLoad) {
	n := &memoryCounts{statuses: make(map[int]int)}
	ctx, cancel := context.WithTimeout(context.Background(), memoryPhase)
	defer cancel()
	body := bytes.Repeat([]byte("x"), l.bodyBytes)
	var g sync.WaitGroup
	for i := range l.callers {
		g.Go(func() { m.runCaller(ctx, b, &l, body, fmt.Sprintf("m%d-%d", time.Now().UnixNano(), i), n) })
	}
	g.Wait()
	most, err := peakMemory(b.process.PID())
	if err != nil {
		m.callers.addViolation("%s has ended: %v", b.name, err)
		return
	}
	_, _ = fmt.Fprintf(m.output, "%s: %+v: %.1f MiB at most, answers by status %v, %d late, %d unread, %d lost\n", b.name, l, most, n.statuses, n.late, n.unread, n.lost)
	if limit := memoryMB * memoryShare; most > limit {
		m.callers.addViolation("%s used %.1f MiB, more than %.1f", b.name, most, limit)
	}
	if n.lost > 0 {
		m.callers.addViolation("%s: %d requests were run and got no answer", b.name, n.lost)
	}
}

// runCaller sends requests one after another until the context ends. A request that has begun is not cut off.
func (m *memorySoak) runCaller(ctx context.Context, b *soakBox, l *memoryLoad, body []byte, name string, n *memoryCounts) {
	t := &http.Transport{}
	defer t.CloseIdleConnections()
	client := &http.Client{Timeout: memoryPatience, Transport: t}
	for k := 0; ctx.Err() == nil; k++ {
		id := fmt.Sprintf("%s-%d", name, k)
		sentAt := time.Now()
		status, err := m.send(client, b, l, body, id)
		n.mutex.Lock()
		switch {
		case err == nil:
			n.statuses[status]++
		case time.Since(sentAt) >= onceTimeout:
			n.late++
		case m.startCount(id) > 0:
			n.lost++
		default:
			n.unread++
		}
		n.mutex.Unlock()
		if status != http.StatusOK {
			time.Sleep(refusedPause)
		}
	}
}

// send sends a request that may run once, and returns the status of its answer.
func (m *memorySoak) send(client *http.Client, b *soakBox, l *memoryLoad, body []byte, id string) (int, error) {
	var r io.Reader = bytes.NewReader(body)
	if l.slow {
		r = &trickle{began: time.Now(), body: body}
	}
	q, err := http.NewRequest(http.MethodPost, "http://"+b.entryProxy.target+"/once/x", io.NopCloser(r))
	if err != nil {
		return 0, err
	}
	q.Host = soakHost
	q.ContentLength = int64(len(body))
	if l.chunked {
		q.ContentLength = -1
	}
	q.Header.Set("Authorization", "Bearer "+soakKey)
	q.Header.Set("X-Linetiller-Request-Id", id)
	w, err := client.Do(q)
	if err != nil {
		return 0, err
	}
	defer func() { _ = w.Body.Close() }()
	_, err = io.Copy(io.Discard, w.Body)
	return w.StatusCode, err
}

// startCount returns how often a request was run, at all upstreams together.
func (m *memorySoak) startCount(id string) int {
	n := 0
	for _, u := range m.cluster.liveUpstreams() {
		n += u.engine.StartCount(id)
	}
	return n
}

// checkReleased checks that a box counts no memory for callers once they are gone.
func (m *memorySoak) checkReleased(b *soakBox) {
	until := time.Now().Add(releasedWithin)
	for {
		n, err := b.reservedMemory()
		if err == nil && n < releasedBytes {
			return
		}
		if time.Now().After(until) {
			m.callers.addViolation("%s counts %.0f bytes for callers %s after the last request: %v", b.name, n, releasedWithin, err)
			return
		}
		time.Sleep(refusedPause)
	}
}

// reservedMemory returns how much memory the box counts for callers, in bytes.
func (b *soakBox) reservedMemory() (float64, error) {
	w, err := http.Get("http://" + b.metrics + "/metrics")
	if err != nil {
		return 0, err
	}
	defer func() { _ = w.Body.Close() }()
	t, err := io.ReadAll(w.Body)
	if err != nil {
		return 0, err
	}
	for l := range strings.Lines(string(t)) {
		if v, ok := strings.CutPrefix(l, `linetiller_caller_memory_bytes{state="reserved"} `); ok {
			return strconv.ParseFloat(strings.TrimSpace(v), 64)
		}
	}
	return 0, errors.New("no such metric")
}

// peakMemory returns the most memory that a process has used so far, in MiB.
func peakMemory(pid int) (float64, error) {
	t, err := os.ReadFile(filepath.Join("/proc", strconv.Itoa(pid), "status"))
	if err != nil {
		return 0, err
	}
	for l := range strings.Lines(string(t)) {
		if v, ok := strings.CutPrefix(l, "VmHWM:"); ok {
			kb, err := strconv.ParseFloat(strings.TrimSpace(strings.TrimSuffix(strings.TrimSpace(v), "kB")), 64)
			return kb / 1024, err
		}
	}
	return 0, fmt.Errorf("process %d has ended", pid)
}

// trickle is a body that comes in pieces over trickleFor.
type trickle struct {
	began time.Time
	body  []byte
	read  int
}

// Read returns the next piece.
func (t *trickle) Read(b []byte) (int, error) {
	if t.read == len(t.body) {
		return 0, io.EOF
	}
	for {
		due := min(len(t.body), int(float64(len(t.body))*time.Since(t.began).Seconds()/trickleFor.Seconds()))
		if due > t.read {
			n := copy(b, t.body[t.read:due])
			t.read += n
			return n, nil
		}
		time.Sleep(trickleEach)
	}
}
