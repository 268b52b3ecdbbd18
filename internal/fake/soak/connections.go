package soak

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"slices"
	"sync"
	"syscall"
	"time"
)

const (
	measuredRequests    = 2000 // for the processor time of a request
	measuredConnections = 1000 // opened at once
	measuredStreams     = 200  // held at once
	measuredCallers     = 8    // that send requests one after another
	measuredFor         = 3 * time.Second
	// Callers give a connection up that has not been answered after callerPatience.
	callerPatience = time.Second
	// A box is held to heldShare of a core by pausing it for the rest of each heldCycle, as it uses one
	// core only.
	heldCycle = 20 * time.Millisecond
	heldShare = 0.4
)

// connectionMeasurement measures what connections cost one box of an undisturbed cluster.
type connectionMeasurement struct {
	box     *soakBox
	callers *callers
	output  io.Writer
	pid     int
}

// measureConnections prints what requests, connections and streams cost a box, and how a box that is held
// to a part of a core serves callers that open a new connection for each request.
func measureConnections(programs string, output io.Writer) error {
	if err := os.Setenv("GOMAXPROCS", "1"); err != nil { // for the boxes
		return err
	}
	w, err := newCluster(programs, false, false, retryExtra, 0)
	if err != nil {
		return err
	}
	defer w.close(false)
	c := newCallers(w)
	if !c.awaitServing() {
		return fmt.Errorf("the boxes did not serve: %v", c.statusCounts)
	}
	m := &connectionMeasurement{box: w.boxes[0], callers: c, output: output, pid: w.boxes[0].process.PID()}
	for _, f := range []func() error{m.measureRequests, m.measureOpen, m.measureStreams, m.measureHeld} {
		if err := f(); err != nil {
			return err
		}
	}
	return nil
}

// measureRequests prints the processor time of a request on a kept connection and on a new one.
func (m *connectionMeasurement) measureRequests() error {
	for _, isNew := range []bool{false, true} {
		client := &http.Client{Transport: &http.Transport{DisableKeepAlives: isNew, MaxIdleConnsPerHost: measuredCallers}}
		before, err := usageOf(m.pid)
		if err != nil {
			return err
		}
		began := time.Now()
		var g sync.WaitGroup
		for n := range measuredCallers {
			g.Go(func() {
				for i := range measuredRequests / measuredCallers {
					m.send(client, fmt.Sprintf("kept-%v-%d-%d", isNew, n, i))
				}
			})
		}
		g.Wait()
		after, err := usageOf(m.pid)
		if err != nil {
			return err
		}
		client.CloseIdleConnections()
		_, _ = fmt.Fprintf(m.output, "%d requests, each on a new connection %v: %.0f us of processor each, %.0f a second\n", measuredRequests, isNew,
			float64((after.cpu-before.cpu).Microseconds())/measuredRequests, measuredRequests/time.Since(began).Seconds())
	}
	return nil
}

// measureOpen prints the memory and descriptors of connections that are open, and of those on which a request
// has begun, and when they are closed.
func (m *connectionMeasurement) measureOpen() error {
	for name, first := range map[string]string{"idle": "", "with half of a header": "POST /often/x HTTP/1.1\r\nHost: " + soakHost + "\r\n"} {
		before, err := usageOf(m.pid)
		if err != nil {
			return err
		}
		var l []net.Conn
		for range measuredConnections {
			c, err := net.Dial("tcp", m.box.entryProxy.address())
			if err != nil {
				return err
			}
			l = append(l, c)
			if _, err := io.WriteString(c, first); err != nil {
				return err
			}
		}
		time.Sleep(time.Second)
		during, err := usageOf(m.pid)
		if err != nil {
			return err
		}
		closedAfter := m.awaitClosed(l[0])
		for _, c := range l {
			_ = c.Close()
		}
		time.Sleep(time.Second)
		after, err := usageOf(m.pid)
		if err != nil {
			return err
		}
		_, _ = fmt.Fprintf(m.output, "%d connections %s: %d descriptors, %.1f KB of memory each, %.0f us of processor each; closed by the box after %s; %d descriptors more than before a second after they were closed\n", measuredConnections, name,
			during.descriptors-before.descriptors, float64(during.memoryBytes-before.memoryBytes)/1024/measuredConnections,
			float64((during.cpu-before.cpu).Microseconds())/measuredConnections, closedAfter, after.descriptors-before.descriptors)
	}
	return nil
}

// awaitClosed returns how long after now the box closes a connection, as text.
func (m *connectionMeasurement) awaitClosed(c net.Conn) string {
	const longest = 12 * time.Second
	began := time.Now()
	_ = c.SetReadDeadline(began.Add(longest))
	if _, err := io.Copy(io.Discard, c); err != nil {
		return "more than " + longest.String()
	}
	return time.Since(began).Round(100 * time.Millisecond).String()
}

// measureStreams prints the memory and descriptors of streams in progress.
func (m *connectionMeasurement) measureStreams() error {
	before, err := usageOf(m.pid)
	if err != nil {
		return err
	}
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	var g sync.WaitGroup
	for i := range measuredStreams {
		g.Go(func() {
			m.callers.call(ctx, m.box, &callerRequest{id: fmt.Sprint("held-", i), path: planPath, method: http.MethodPost, tokens: 2000})
		})
	}
	time.Sleep(2 * time.Second)
	during, err := usageOf(m.pid)
	if err != nil {
		return err
	}
	cancel()
	g.Wait()
	_, _ = fmt.Fprintf(m.output, "%d streams of 100 events a second at the most: %.1f descriptors, %.1f KB of memory each, %.2f of a core\n", measuredStreams,
		float64(during.descriptors-before.descriptors)/measuredStreams, float64(during.memoryBytes-before.memoryBytes)/1024/measuredStreams, (during.cpu-before.cpu).Seconds()/2)
	return nil
}

// measureHeld prints how a box that is held to heldShare of a core serves callers that open a new connection
// for each request, at rising rates.
func (m *connectionMeasurement) measureHeld() error {
	ctx, cancel := context.WithCancel(context.Background())
	var held sync.WaitGroup
	held.Go(func() { m.hold(ctx) })
	defer held.Wait()
	defer cancel()
	client := &http.Client{Timeout: callerPatience, Transport: &http.Transport{DisableKeepAlives: true}}
	for _, perSecond := range []int{50, 100, 200, 400, 800, 1600} {
		before, err := usageOf(m.pid)
		if err != nil {
			return err
		}
		var mutex sync.Mutex
		var tookAll []time.Duration
		statuses := make(map[int]int) // 0 for no answer
		var g sync.WaitGroup
		for i, began := 0, time.Now(); time.Since(began) < measuredFor; i++ {
			g.Go(func() {
				sentAt := time.Now()
				status := m.send(client, fmt.Sprintf("held-%d-%d", perSecond, i))
				mutex.Lock()
				defer mutex.Unlock()
				statuses[status]++
				tookAll = append(tookAll, time.Since(sentAt))
			})
			time.Sleep(time.Until(began.Add(time.Duration(i+1) * time.Second / time.Duration(perSecond))))
		}
		g.Wait()
		after, err := usageOf(m.pid)
		if err != nil {
			return err
		}
		slices.Sort(tookAll)
		_, _ = fmt.Fprintf(m.output, "held to %.1f of a core, %d new connections a second: %d of %d served, answers by status %v, median %s, 99th percentile %s, %.2f of a core, %.0f MB, %d descriptors\n", heldShare, perSecond,
			statuses[http.StatusOK], len(tookAll), statuses, tookAll[len(tookAll)/2].Round(time.Millisecond), tookAll[len(tookAll)*99/100].Round(time.Millisecond),
			(after.cpu-before.cpu).Seconds()/measuredFor.Seconds(), float64(after.memoryBytes)/(1<<20), after.descriptors)
		time.Sleep(callerPatience)
	}
	return nil
}

// hold pauses the box for a part of each heldCycle until the context ends.
func (m *connectionMeasurement) hold(ctx context.Context) {
	p := m.box.process
	for ctx.Err() == nil {
		_ = p.Signal(syscall.SIGSTOP) // an error means that it has ended
		time.Sleep(time.Duration((1 - heldShare) * float64(heldCycle)))
		_ = p.Signal(syscall.SIGCONT) // as above
		time.Sleep(time.Duration(heldShare * float64(heldCycle)))
	}
}

// send sends a call and returns the status of its answer, 0 if there was none.
func (m *connectionMeasurement) send(client *http.Client, id string) int {
	q, err := http.NewRequest(http.MethodGet, "http://"+m.box.entryProxy.address()+oftenPath, http.NoBody)
	if err != nil {
		return 0
	}
	q.Host = soakHost
	q.Header.Set("Authorization", "Bearer "+soakKey)
	q.Header.Set("X-Linetiller-Request-Id", id)
	w, err := client.Do(q)
	if err != nil {
		return 0
	}
	defer func() { _ = w.Body.Close() }()
	if _, err := io.Copy(io.Discard, w.Body); err != nil {
		return 0
	}
	return w.StatusCode
}
