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
	changeInterval   = 3 * time.Second        // at the mean
	seriesInterval   = 150 * time.Millisecond // between two of a series
	changesStream    = 1<<20 + 5              // of the random numbers, beside the others
	drainsStream     = 1<<20 + 7              // of the random numbers, as above
	drainPeriod      = 6 * time.Second        // that an upstream serves on which only the list says leaves
	probeInterval    = 50 * time.Millisecond  // between two questions to one box
	probeTimeout     = 2 * time.Second        // for one answer
	readerWindow     = 4 * time.Second        // a box that reads the store has had an answer
	maxSeries        = 8                      // changes in a series
	slowCycle        = 50 * time.Millisecond  // of which a slow box runs a tenth
	slowdownInterval = 4 * time.Second        // at the mean, between two slow boxes
	maxSlowdown      = 3 * time.Second
	slowdownsStream  = 1<<20 + 8       // of the random numbers, as below
	stallInterval    = 3 * time.Second // at the mean, between losses of connections
	stallsStream     = 1<<20 + 6       // of the random numbers, as above
)

// prober asks each box again and again by which configuration it goes.
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

// runChanges changes the configuration again and again, at times in quick succession, until the
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

// runStalls has open connections to the store carry nothing more, while new ones work, at one
// box, at some one after another, or at all, and mostly at those that read it, until the context ends:
// at times right before a change.
func (w *cluster) runStalls(ctx context.Context, r *rand.Rand) {
	for ctx.Err() == nil {
		pause(ctx, time.Duration(r.Int64N(int64(2*stallInterval))))
		targets := r.Perm(len(w.boxes))[:1+r.IntN(len(w.boxes))]
		if r.IntN(3) > 0 {
			targets = w.readers()
		}
		gap := time.Duration(r.IntN(3)) * 300 * time.Millisecond
		for _, i := range targets {
			w.boxes[i].store.stallConnections()
			pause(ctx, gap)
		}
		if r.IntN(2) == 0 {
			w.configure()
		}
	}
}

// readers returns the numbers of the boxes that called the store a moment ago.
func (w *cluster) readers() []int {
	var l []int
	for i, b := range w.boxes {
		if time.Since(b.store.lastReply()) < readerWindow {
			l = append(l, i)
		}
	}
	return l
}

// recentChanges returns the newest version of the configuration, and those that boxes may still go by.
func (w *cluster) recentChanges() []change {
	l := w.writtenChanges()
	n := len(l) - 1
	for n > 0 && time.Since(l[n].acknowledgedAt) < 2*applyBound {
		n--
	}
	return l[max(0, n-1):]
}

// runSlowdowns has one box after another get a tenth of the processor for some seconds, mostly one that
// reads the store, until the context ends.
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

// slowDown keeps a box from running for nine tenths of a short time.
func (b *soakBox) slowDown() {
	b.mutex.Lock()
	p := b.process
	if p != nil {
		_ = p.Signal(syscall.SIGSTOP) // it may have ended
	}
	b.disturbedAt = append(b.disturbedAt, time.Now())
	b.mutex.Unlock()
	time.Sleep(slowCycle * 9 / 10)
	if p != nil {
		_ = p.Signal(syscall.SIGCONT) // as above
	}
	time.Sleep(slowCycle / 10)
}

// runDrains has one upstream after another be listed as leaving, which it does not say itself, and
// serve on for some time, until the context ends.
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

// checker returns a judge of what was asked.
func (p *prober) checker() *changeChecker {
	w := p.callers.cluster
	p.mutex.Lock()
	defer p.mutex.Unlock()
	return &changeChecker{
		changes: w.writtenChanges(), probes: p.probes,
		faultFree:   func(box string, from, to time.Time) bool { return w.faultFree(w.boxNamed(box), from, to) },
		undisturbed: func(box string, from, to time.Time) bool { return w.boxNamed(box).undisturbed(from, to) },
	}
}

// checkDrains checks that no upstream got requests later than the bound after the list said that it
// leaves, from boxes in touch that could reach it.
func (p *prober) checkDrains() {
	c := p.callers
	for _, l := range p.drains {
		for _, v := range l.upstream.engine.Arrivals() {
			late := v.At.Sub(l.acknowledgedAt) - drainBound
			j := c.dispatchOf(v.Request)
			from := v.At.Add(-contactBound)
			if late <= 0 || j.box == nil || l.upstream.proxy.faultyWithin(from, v.At) || !c.cluster.faultFree(j.box, from, v.At) {
				continue
			}
			c.fail("%s: reached %s from %s %s after the bound of its leaving, which the list had told", v.Request, l.upstream.name, j.box.name, late.Round(time.Millisecond))
		}
	}
}

// report checks what was asked, where anything was, and writes how late changes were in force.
func (p *prober) report(output io.Writer) {
	j := p.checker()
	if len(j.probes) == 0 {
		return
	}
	violations, checked := j.violations()
	for _, x := range violations {
		p.callers.fail("%s", x)
	}
	p.checkDrains()
	delays := j.applyDelays()
	if len(delays) == 0 {
		_, _ = fmt.Fprintf(output, "soak: %d changes, none could be judged\n", len(j.changes))
		return
	}
	_, _ = fmt.Fprintf(output, "soak: %d changes, %d answers judged; in force at boxes in touch after %s at the median, %s at most\n",
		len(j.changes), checked, delays[len(delays)/2].Round(time.Millisecond), delays[len(delays)-1].Round(time.Millisecond))
}

// runAll changes the configuration, loses connections, slows boxes down, has upstreams listed as leaving, and asks every
// box, until the context ends.
func (p *prober) runAll(ctx context.Context, seed uint64) {
	var g sync.WaitGroup
	g.Go(func() { p.callers.cluster.runChanges(ctx, rand.New(rand.NewPCG(seed, changesStream))) })
	g.Go(func() { p.callers.cluster.runStalls(ctx, rand.New(rand.NewPCG(seed, stallsStream))) })
	g.Go(func() { p.callers.cluster.runSlowdowns(ctx, rand.New(rand.NewPCG(seed, slowdownsStream))) })
	g.Go(func() { p.runDrains(ctx, rand.New(rand.NewPCG(seed, drainsStream))) })
	g.Go(func() { p.runProbes(ctx) })
	g.Wait()
}

// runProbes asks every box until the context ends.
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

// probe asks one box for the route of a version.
func (p *prober) probe(b *soakBox, version, number int) {
	ctx, cancel := context.WithTimeout(context.Background(), probeTimeout)
	defer cancel()
	q, err := http.NewRequestWithContext(ctx, http.MethodGet, fmt.Sprintf("http://%s/probe%d/x", b.entry.address(), version), http.NoBody)
	if err != nil {
		p.callers.fail("probe: %v", err)
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
	case "service_unknown": // the route leads to a service that does not exist
		x.known = true
	default:
		return // it does not say
	}
	if err != nil {
		return
	}
	p.mutex.Lock()
	defer p.mutex.Unlock()
	p.probes = append(p.probes, x)
}
