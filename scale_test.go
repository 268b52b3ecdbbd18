//go:build !race || whole

package linetiller

import (
	"bytes"
	"encoding/json"
	"flag"
	"fmt"
	"io"
	"maps"
	"net/http"
	"runtime"
	"slices"
	"strings"
	"sync"
	"syscall"
	"testing"
	"testing/synctest"
	"time"

	"github.com/linetiller/linetiller/internal/box"
	"github.com/linetiller/linetiller/internal/fake/routed"
	"github.com/linetiller/linetiller/internal/resource"
	"github.com/linetiller/linetiller/internal/settings"
)

// scaleSizes are the numbers of boxes that TestMeasureScale measures. It measures nothing if there
// are none.
var scaleSizes = flag.String("scale", "", "numbers of boxes to measure, separated by commas")

const (
	scaleUpstreamsPerBox = 10
	scaleHalls           = 5
)

// fleet is a region of many boxes and upstreams whose messages and store calls are counted.
type fleet struct {
	*routedRegion
	boxNames      []string
	upstreamNames []string
	halls         int

	counts sync.Mutex // guards the fields below
	calls  map[string]int
	bytes  map[string]int
	byBox  map[string]int // bytes sent and received
}

// fleetUsage is what the boxes of a fleet used in a phase.
type fleetUsage struct {
	calls, bytes map[string]int // by kind of message
	byBox        map[string]int // bytes
	processor    time.Duration
	period       time.Duration
}

// withFleet runs f with the given number of boxes in some halls and scaleUpstreamsPerBox upstreams a
// box, which all start at the same moment. It passes the usage of the first 10 s.
func withFleet(t *testing.T, boxes, halls int, f func(t *testing.T, l *fleet, atStart fleetUsage)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		l := newFleet(t, boxes, halls, boxes*scaleUpstreamsPerBox)
		defer l.close()
		f(t, l, l.measure(10*time.Second, l.start))
	})
}

func newFleet(t *testing.T, boxes, halls, upstreams int) *fleet {
	l := &fleet{routedRegion: &routedRegion{region: newRegion(t), upstreams: make(map[string]*routed.Engine)}, halls: halls}
	l.reset()
	l.onMessage = l.count
	l.configure(1, routedKey)
	for i := range upstreams {
		n := fmt.Sprintf("i-%c%d", 'a'+i%l.halls, i)
		l.upstreamNames = append(l.upstreamNames, n)
		l.setHall(fleetAddress(i), n[2:3])
		l.link.Handle(fleetAddress(i), http.HandlerFunc(serveIdleReport))
		l.list(i, "ready")
	}
	for i := range boxes {
		n := fmt.Sprintf("box-%c%d", 'a'+i%l.halls, i)
		l.boxNames = append(l.boxNames, n)
		l.storeTransports[n] = &countingTransport{count: func(step string, bytes int) { l.count(n, "", box.Kind(step), bytes) }, next: &boxTransport{from: n, region: l.region}}
	}
	return l
}

// fleetAddress returns the address of an upstream by its number.
func fleetAddress(i int) string {
	return fmt.Sprintf("127.%d.%d.%d:1", 1+i/62500, i/250%250, 1+i%250)
}

// serveIdleReport answers requests for the load report of an engine that runs nothing.
func serveIdleReport(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Content-Type", "application/json")
	_, _ = io.WriteString(w, `{"stage":"both","models":[{"name":"m","version":1}],"running":0,"queued":0,"kv_used":0,"kv_total":34545,"state":"ready","runs":[]}`)
}

// list writes the entry of the upstream with the given number.
func (l *fleet) list(i int, state string) {
	l.platform.Put("servers/"+l.upstreamNames[i], json.RawMessage(fmt.Sprintf(
		`{"service":"llm","address":%q,"zone":%q,"state":%q,"cold_left_ms":0,"models":[{"name":"m"}]}`, fleetAddress(i), l.upstreamNames[i][2:3], state)))
}

func (l *fleet) start() {
	for _, n := range l.boxNames {
		l.startEntryBox(n, func(s *settings.Settings) { s.FirstStart = true })
	}
}

// count counts one message of a box, to another box or, if there is none, to the store.
func (l *fleet) count(from, to string, k box.Kind, bytes int) {
	l.counts.Lock()
	defer l.counts.Unlock()
	l.calls[string(k)]++
	l.bytes[string(k)] += bytes
	l.byBox[from] += bytes
	if to != "" {
		l.byBox[to] += bytes
	}
}

func (l *fleet) reset() {
	l.counts.Lock()
	defer l.counts.Unlock()
	l.calls, l.bytes, l.byBox = make(map[string]int), make(map[string]int), make(map[string]int)
}

// measure runs f, waits until the period has passed since its begin, and returns what was used.
func (l *fleet) measure(period time.Duration, f func()) fleetUsage {
	l.reset()
	began, processor := time.Now(), processorTime()
	f()
	time.Sleep(period - time.Since(began))
	synctest.Wait()
	l.counts.Lock()
	defer l.counts.Unlock()
	return fleetUsage{calls: maps.Clone(l.calls), bytes: maps.Clone(l.bytes), byBox: maps.Clone(l.byBox), period: period, processor: processorTime() - processor}
}

// spread is how news reached the boxes of a fleet.
type spread struct {
	half, last time.Duration // until half of the boxes knew, and all; 0 if they did not within maxSpread
	share      float64       // of the boxes that knew after maxSpread
}

// maxSpread limits the wait for news to reach every box.
const maxSpread = 10 * time.Second

func (s spread) String() string {
	if s.last == 0 {
		return fmt.Sprintf("known to half after %v, to %.2f of the boxes after %v", s.half, s.share, maxSpread)
	}
	return fmt.Sprintf("known to half after %v, to all after %v", s.half, s.last)
}

// await returns how news spreads from now on; known reports whether a box knows it.
func (l *fleet) await(known func(b *Box) bool) spread {
	var s spread
	for began := time.Now(); s.last == 0 && time.Since(began) < maxSpread; {
		time.Sleep(5 * time.Millisecond)
		synctest.Wait()
		n, all := 0, 0
		for _, x := range l.boxNames {
			if b := l.boxes[x]; b != nil {
				all++
				if known(b) {
					n++
				}
			}
		}
		s.share = float64(n) / float64(all)
		if s.half == 0 && 2*n >= all {
			s.half = time.Since(began)
		}
		if n == all {
			s.last = time.Since(began)
		}
	}
	return s
}

// callsPerBox returns the number of messages of a kind for each box and second.
func (u *fleetUsage) callsPerBox(boxes int, k box.Kind) float64 {
	return float64(u.calls[string(k)]) / float64(boxes) / u.period.Seconds()
}

// print prints the usage by kind of message, for each box and second.
func (u *fleetUsage) print(name string, boxes int) {
	perBoxSecond := float64(boxes) * u.period.Seconds()
	fmt.Printf("%s: processor time %.2f ms, bytes %.0f in the middle and %.0f at most, for each box and second\n", name,
		u.processor.Seconds()*1000/perBoxSecond, float64(quantile(u.byBox, 0.5))/u.period.Seconds(), float64(quantile(u.byBox, 1))/u.period.Seconds())
	for _, k := range slices.Sorted(maps.Keys(u.calls)) {
		fmt.Printf("  %-12s %8.3f messages %9.1f bytes; %d messages in all\n", k, float64(u.calls[k])/perBoxSecond, float64(u.bytes[k])/perBoxSecond, u.calls[k])
	}
}

func quantile(m map[string]int, q float64) int {
	l := slices.Sorted(maps.Values(m))
	if len(l) == 0 {
		return 0
	}
	return l[int(q*float64(len(l)-1))]
}

// processorTime returns the processor time that the process has used.
func processorTime() time.Duration {
	var u syscall.Rusage
	_ = syscall.Getrusage(syscall.RUSAGE_SELF, &u)
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

// countingTransport counts the calls to the store and their bytes.
type countingTransport struct {
	count func(step string, bytes int)
	next  http.RoundTripper
}

func (c *countingTransport) RoundTrip(q *http.Request) (*http.Response, error) {
	w, err := c.next.RoundTrip(q)
	if err != nil {
		return nil, err
	}
	b, err := io.ReadAll(w.Body)
	_ = w.Body.Close()
	if err != nil {
		return nil, err
	}
	c.count("store"+strings.ReplaceAll(q.URL.Path, "/", " "), int(max(0, q.ContentLength))+len(b))
	w.Body = io.NopCloser(bytes.NewReader(b))
	return w, nil
}

// TestMeasureScale measures fleets of growing size: messages, bytes, processor time and memory of a
// box at the start, at rest and while upstreams come and go, and how long a change takes to reach
// the last box. It is run by make measure-scale.
func TestMeasureScale(t *testing.T) {
	if *scaleSizes == "" {
		t.Skip("no sizes are given")
	}
	for s := range strings.SplitSeq(*scaleSizes, ",") {
		n := 0
		if _, err := fmt.Sscan(s, &n); err != nil {
			t.Fatal(err)
		}
		withFleet(t, n, scaleHalls, func(_ *testing.T, l *fleet, atStart fleetUsage) { l.report(atStart) })
	}
}

// report measures the phases and prints their figures.
func (l *fleet) report(atStart fleetUsage) {
	n := len(l.boxNames)
	fmt.Printf("%d boxes, %d upstreams\n", n, len(l.upstreamNames))
	atStart.print("start, 10 s", n)
	time.Sleep(10 * time.Second)
	u := l.measure(20*time.Second, func() {})
	u.print("rest, 20 s", n)
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	fmt.Printf("heap: %.2f MB a box, stand-ins included\n", float64(m.HeapAlloc)/float64(n)/1e6)

	l.configure(2, "second-key")
	fmt.Println("a configuration:", l.await(func(b *Box) bool { return b.view.Revisions()[resource.SourceConfiguration] >= 2 }))
	l.list(0, "draining")
	fmt.Println("a leaving upstream:", l.await(func(b *Box) bool { return b.view.Upstream(l.upstreamNames[0]).IsLeaving() }))
	lost := l.boxNames[0]
	l.kill(lost)
	fmt.Println("a lost box, in its hall:", l.await(func(b *Box) bool {
		return b.settings.Hall != lost[4:5] || !slices.Contains(b.members.Alive(lost[4:5]), lost)
	}))

	u = l.measure(10*time.Second, func() { l.replaceUpstreams(len(l.upstreamNames)/25, 4*time.Second) })
	u.print("a twenty-fifth of the upstreams leaves within 4 s, 10 s", n)
}

// replaceUpstreams makes a number of upstreams announce that they are leaving, over a period.
func (l *fleet) replaceUpstreams(count int, period time.Duration) {
	for i := range count {
		l.list(1+i, "draining")
		time.Sleep(period / time.Duration(count))
	}
}

// TestEveryBoxIsPushedTo guards against a box that no other box chose as its neighbour, and that
// learned of each change only with its own next heartbeat, up to a second late.
func TestEveryBoxIsPushedTo(t *testing.T) {
	withFleet(t, 100, 1, func(t *testing.T, l *fleet, _ fleetUsage) {
		for version := range 3 {
			time.Sleep(5*time.Second + 300*time.Millisecond)
			l.configure(2+version, routedKey)
			if s, want := l.await(func(b *Box) bool {
				return b.view.Revisions()[resource.SourceConfiguration] >= int64(2+version)
			}), 300*time.Millisecond; s.last == 0 || s.last > want {
				t.Errorf("version %d: got %v, want all after %v", 2+version, s, want)
			}
		}
	})
}

// TestPushesStayFewWhileUpstreamsChange guards against messages for each change of an upstream: in a
// large fleet some upstream changes all the time.
func TestPushesStayFewWhileUpstreamsChange(t *testing.T) {
	withFleet(t, 40, scaleHalls, func(t *testing.T, l *fleet, _ fleetUsage) {
		time.Sleep(5 * time.Second)
		u := l.measure(10*time.Second, func() { l.replaceUpstreams(300, 9*time.Second) })
		regular := 6.0 // heartbeats without changes, of which the boxes that link halls send more
		pushes := 8 * (1/pushInterval.Seconds() + pushBurst/10.0)
		if got, want := u.callsPerBox(40, box.KindHeartbeat), regular+pushes; got > want {
			t.Errorf("heartbeats of a box a second: got %.1f, want at most %.1f", got, want)
		}
		if got, want := float64(quantile(u.byBox, 0.5))/10, 30_000.0; got > want {
			t.Errorf("bytes of the middle box a second: got %.0f, want at most %.0f", got, want)
		}
		last := l.upstreamNames[300]
		if s, want := l.await(func(b *Box) bool { return b.view.Upstream(last).IsLeaving() }), 1500*time.Millisecond; s.last == 0 || s.last > want {
			t.Errorf("the last change: got %v, want all after %v", s, want)
		}
	})
}

// TestBoxThatReturnsCountsAgain guards against a box that restarted and counts as leaving for good at
// boxes which it does not call, unless some other box comes or goes.
func TestBoxThatReturnsCountsAgain(t *testing.T) {
	withFleet(t, 40, 2, func(t *testing.T, l *fleet, _ fleetUsage) {
		returned, observers := l.boxNames[1], 0
		for _, n := range l.boxNames {
			l.boxes[n].members.MarkLeaving(returned, time.Now())
		}
		time.Sleep(30 * time.Second)
		for _, n := range l.boxNames {
			if n == returned {
				continue
			}
			observers++
			if !slices.Contains(l.boxes[n].members.Alive(returned[4:5]), returned) {
				t.Errorf("%s: the box that returned does not count as alive", n)
			}
		}
		if got, want := observers, 39; got != want {
			t.Errorf("observers: got %d, want %d", got, want)
		}
	})
}

// TestBoxThatReturnsOverANarrowLink guards against a box that starts while a long list is on its way
// to it, and meanwhile gets no configuration, counts as lost, or reads the list from the store.
func TestBoxThatReturnsOverANarrowLink(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		l := newFleet(t, 6, 1, 6000)
		defer l.close()
		l.start()
		time.Sleep(10 * time.Second)
		returned := l.boxNames[0]
		before := l.platform.FullReads("servers")
		l.kill(returned)
		time.Sleep(time.Second)
		l.bytesPerSecond = map[string]int{returned: 400_000} // 1 MB of list takes 2.6 s
		l.link.SetDown(returned, false)
		l.startEntryBox(returned)
		b := l.boxes[returned]
		for began := time.Now(); !b.isReady() && time.Since(began) < 10*time.Second; {
			time.Sleep(50 * time.Millisecond)
		}
		for version := 2; version < 6; version++ {
			l.configure(version, routedKey)
			if s, want := l.await(func(b *Box) bool { return b.view.Revisions()[resource.SourceConfiguration] >= int64(version) }), 2*time.Second; s.last == 0 || s.last > want {
				t.Errorf("version %d: got %v, want all after %v", version, s, want)
			}
		}
		time.Sleep(5 * time.Second)
		if got, want := len(b.view.UpstreamsOfService("llm")), 6000; got != want {
			t.Errorf("upstreams: got %d, want %d", got, want)
		}
		if got := l.platform.FullReads("servers") - before; got != 0 {
			t.Errorf("readings of the whole list from the store: got %d, want none", got)
		}
	})
}
