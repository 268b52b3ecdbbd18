package soak

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"syscall"
	"time"
)

const (
	changeInterval     = 3 * time.Second        // on average, between two changes or series of changes
	seriesInterval     = 150 * time.Millisecond // between two changes of a series
	changesRNGStream   = 1<<20 + 5              // stream of the random generator, distinct from the others
	drainsRNGStream    = 1<<20 + 7              // as above
	drainPeriod        = 6 * time.Second        // how long an upstream continues to serve after the store lists it as leaving, which it does not announce itself
	probeInterval      = 50 * time.Millisecond  // between two probes of one box
	probeTimeout       = 2 * time.Second        // for one probe
	readerWindow       = 4 * time.Second        // a box counts as a reader of the store for this long after an answer of the store
	maxSeries          = 8                      // maximum number of changes in a series
	slowCycle          = 50 * time.Millisecond  // a slowed box runs for a tenth of each cycle
	slowdownInterval   = 4 * time.Second        // on average, between two slowdowns
	maxSlowdown        = 3 * time.Second        // maximum length of a slowdown, in addition to one second
	slowdownsRNGStream = 1<<20 + 8              // as above
	stallInterval      = 3 * time.Second        // on average, between two stalls of connections
	stallsRNGStream    = 1<<20 + 6              // as above
)

// prober probes each box repeatedly for the version of the configuration that it applies.
type prober struct {
	callers *callers
	http    *http.Client
	mutex   sync.Mutex // guards the fields below
	drains  []listedDrain
	probes  []probe
}

func newProber(c *callers) *prober {
	return &prober{callers: c, http: &http.Client{Transport: transport()}}
}

// readers returns the indexes of the boxes that got an answer from the store recently.
func (w *cluster) readers() []int {
	var l []int
	for i, b := range w.boxes {
		if time.Since(b.storeProxy.lastReply()) < readerWindow {
			l = append(l, i)
		}
	}
	return l
}

// recentChanges returns the latest version of the configuration, and the earlier ones that boxes
// may still apply.
func (w *cluster) recentChanges() []change {
	l := w.writtenChanges()
	n := len(l) - 1
	for n > 0 && time.Since(l[n].acknowledgedAt) < 2*applyBound {
		n--
	}
	return l[max(0, n-1):]
}

// runChanges changes the configuration repeatedly, sometimes in quick succession, until the
// context ends.
func (w *cluster) runChanges(ctx context.Context, r *rand.Rand) {
	for ctx.Err() == nil {
		pause(ctx, time.Duration(r.Int64N(int64(2*changeInterval))))
		series := 1
		if r.IntN(4) == 0 {
			series += r.IntN(maxSeries)
		}
		for range series {
			w.configure()
			pause(ctx, seriesInterval)
		}
	}
}

// runSlowdowns limits one box after another to a tenth of its processor time for some seconds,
// mostly a reader of the store, until the context ends.
func (w *cluster) runSlowdowns(ctx context.Context, r *rand.Rand) {
	for ctx.Err() == nil {
		pause(ctx, time.Duration(r.Int64N(int64(2*slowdownInterval))))
		i := r.IntN(len(w.boxes))
		if l := w.readers(); len(l) > 0 && r.IntN(3) > 0 {
			i = l[r.IntN(len(l))]
		}
		until := time.Now().Add(time.Second + time.Duration(r.Int64N(int64(maxSlowdown))))
		for ctx.Err() == nil && time.Now().Before(until) {
			w.boxes[i].slowDown()
		}
	}
}

// runStalls repeatedly makes the open connections of some boxes to the store carry no more data, while
// new connections work, until the context ends. It stalls random boxes, but mostly the readers of the
// store, all at once or one after another, and sometimes changes the configuration right afterwards.
func (w *cluster) runStalls(ctx context.Context, r *rand.Rand) {
	for ctx.Err() == nil {
		pause(ctx, time.Duration(r.Int64N(int64(2*stallInterval))))
		targets := r.Perm(len(w.boxes))[:1+r.IntN(len(w.boxes))]
		if r.IntN(3) > 0 {
			targets = w.readers()
		}
		gap := time.Duration(r.IntN(3)) * 300 * time.Millisecond
		for _, i := range targets {
			w.boxes[i].storeProxy.stallConnections()
			pause(ctx, gap)
		}
		if r.IntN(2) == 0 {
			w.configure()
		}
	}
}

// slowDown pauses a box for nine tenths of a cycle.
func (b *soakBox) slowDown() {
	b.mutex.Lock()
	p := b.process
	if p != nil {
		_ = p.Signal(syscall.SIGSTOP) // an error means that it has ended
	}
	b.disturbedAt = append(b.disturbedAt, time.Now())
	b.mutex.Unlock()
	time.Sleep(slowCycle * 9 / 10)
	if p != nil {
		_ = p.Signal(syscall.SIGCONT) // as above
	}
	time.Sleep(slowCycle / 10)
}

// checkDrains checks that no upstream got requests later than drainBound after the store listed it
// as leaving, from boxes without faults whose link to it was good.
func (p *prober) checkDrains() {
	c := p.callers
	for _, l := range p.drains {
		for _, v := range l.upstream.engine.Arrivals() {
			overdue := v.At.Sub(l.acknowledgedAt) - drainBound
			j := c.dispatchOf(v.Request)
			from := v.At.Add(-propagationBound)
			if overdue <= 0 || j.box == nil || l.upstream.proxy.faultyWithin(from, v.At) || !c.cluster.faultFree(j.box, from, v.At) {
				continue
			}
			c.addViolation("%s: reached %s from %s %s later than allowed after the store listed the upstream as leaving", v.Request, l.upstream.name, j.box.name, overdue.Round(time.Millisecond))
		}
	}
}

// checker returns a changeChecker of the changes and probes so far.
func (p *prober) checker() *changeChecker {
	w := p.callers.cluster
	p.mutex.Lock()
	defer p.mutex.Unlock()
	return &changeChecker{
		changes: w.writtenChanges(), probes: p.probes,
		faultFree:   func(box string, from, to time.Time) bool { return w.faultFree(w.findBox(box), from, to) },
		undisturbed: func(box string, from, to time.Time) bool { return w.findBox(box).undisturbed(from, to) },
	}
}

// probe requests the route of a version from one box, and records whether the box knew it.
func (p *prober) probe(b *soakBox, version, number int) {
	ctx, cancel := context.WithTimeout(context.Background(), probeTimeout)
	defer cancel()
	q, err := http.NewRequestWithContext(ctx, http.MethodGet, fmt.Sprintf("http://%s/probe%d/x", b.entryProxy.address(), version), http.NoBody)
	if err != nil {
		p.callers.addViolation("probe: %v", err)
		return
	}
	q.Host = soakHost
	q.Header.Set("Authorization", "Bearer "+soakKey)
	q.Header.Set("X-Linetiller-Request-Id", fmt.Sprintf("probe-%s-%d", b.name, number))
	x := probe{box: b.name, sentAt: time.Now(), version: version}
	w, err := p.http.Do(q)
	if err != nil {
		return
	}
	reason, err := io.ReadAll(w.Body)
	_ = w.Body.Close()
	x.answeredAt = time.Now()
	switch strings.TrimSpace(string(reason)) {
	case "route_unknown":
	case "service_unknown": // the box knew the route, whose service does not exist
		x.routeKnown = true
	default:
		return // the answer does not show whether the box knew the route
	}
	if err != nil {
		return
	}
	p.mutex.Lock()
	defer p.mutex.Unlock()
	p.probes = append(p.probes, x)
}

// report checks the probes, if there are any, and prints how long changes took to be applied.
func (p *prober) report(output io.Writer) {
	j := p.checker()
	if len(j.probes) == 0 {
		return
	}
	violations, checked := j.violations()
	for _, x := range violations {
		p.callers.addViolation("%s", x)
	}
	p.checkDrains()
	delays := j.applyDelays()
	if len(delays) == 0 {
		_, _ = fmt.Fprintf(output, "soak: %d changes, none of which could be checked\n", len(j.changes))
		return
	}
	_, _ = fmt.Fprintf(output, "soak: %d changes, %d probes checked; in force at boxes without faults after %s at the median, %s at most\n",
		len(j.changes), checked, delays[len(delays)/2].Round(time.Millisecond), delays[len(delays)-1].Round(time.Millisecond))
}

// runAll changes the configuration, stalls connections, slows boxes down, lists upstreams as
// leaving and probes every box, until the context ends.
func (p *prober) runAll(ctx context.Context, seed uint64) {
	var g sync.WaitGroup
	g.Go(func() { p.callers.cluster.runChanges(ctx, rand.New(rand.NewPCG(seed, changesRNGStream))) })
	g.Go(func() { p.callers.cluster.runStalls(ctx, rand.New(rand.NewPCG(seed, stallsRNGStream))) })
	g.Go(func() { p.callers.cluster.runSlowdowns(ctx, rand.New(rand.NewPCG(seed, slowdownsRNGStream))) })
	g.Go(func() { p.runDrains(ctx, rand.New(rand.NewPCG(seed, drainsRNGStream))) })
	g.Go(func() { p.runProbes(ctx) })
	g.Wait()
}

// runDrains lists one upstream after another as leaving in the store, which the upstream itself
// does not announce, and replaces it some time later, until the context ends.
func (p *prober) runDrains(ctx context.Context, r *rand.Rand) {
	w := p.callers.cluster
	for ctx.Err() == nil {
		u := pickUpstream(w, r, []string{serviceDesk, serviceLLM}[r.IntN(2)])
		if len(w.upstreamsOf(u.service)) < 2 {
			pause(ctx, time.Second)
			continue
		}
		w.publishUpstream(u, "draining")
		p.mutex.Lock()
		p.drains = append(p.drains, listedDrain{time.Now(), u})
		p.mutex.Unlock()
		pause(ctx, drainPeriod)
		w.replace(u)()
	}
}

// runProbes probes every box until the context ends.
func (p *prober) runProbes(ctx context.Context) {
	var g sync.WaitGroup
	for _, b := range p.callers.cluster.boxes {
		g.Go(func() {
			for i := 0; ctx.Err() == nil; i++ {
				l := p.callers.cluster.recentChanges()
				p.probe(b, l[i%len(l)].version, i)
				pause(ctx, probeInterval)
			}
		})
	}
	g.Wait()
}
