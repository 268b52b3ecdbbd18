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
	changeEvery    = 3 * time.Second        // at the mean
	changeGap      = 150 * time.Millisecond // between two of a series
	changesStream  = 1<<20 + 5              // of the random numbers, beside the others
	drainsStream   = 1<<20 + 7              // of the random numbers, as above
	drainedPeriod  = 6 * time.Second        // that an upstream serves on which only the list says leaves
	probeEvery     = 50 * time.Millisecond  // between two questions to one box
	probePeriod    = 2 * time.Second        // for one answer
	readsWithin    = 4 * time.Second        // a box that reads the store has had an answer
	seriesMost     = 8                      // changes in a series
	slowCycle      = 50 * time.Millisecond  // of which a slow box runs a tenth
	slowEvery      = 4 * time.Second        // at the mean, between two slow boxes
	slowMost       = 3 * time.Second
	slowsStream    = 1<<20 + 8       // of the random numbers, as below
	silenceEvery   = 3 * time.Second // at the mean, between losses of connections
	silencesStream = 1<<20 + 6       // of the random numbers, as above
)

// prober asks each box again and again by which configuration it goes.
type prober struct {
	callers *callers
	http    *http.Client
	mutex   sync.Mutex // guards the fields below
	listed  []listed
	probes  []probe
}

func newProber(c *callers) *prober {
	return &prober{callers: c, http: &http.Client{Transport: transport()}}
}

// changesInTurn changes the configuration again and again, at times in quick succession, until the
// context ends.
func (w *world) changesInTurn(ctx context.Context, r *rand.Rand) {
	for ctx.Err() == nil {
		pause(ctx, time.Duration(r.Int64N(int64(2*changeEvery))))
		series := 1
		if r.IntN(4) == 0 {
			series += r.IntN(seriesMost)
		}
		for range series {
			w.configure()
			pause(ctx, changeGap)
		}
	}
}

// silencesInTurn has open connections to the store carry nothing more, while new ones work, at one
// box, at some one after another, or at all, and mostly at those that read it, until the context ends:
// at times right before a change.
func (w *world) silencesInTurn(ctx context.Context, r *rand.Rand) {
	for ctx.Err() == nil {
		pause(ctx, time.Duration(r.Int64N(int64(2*silenceEvery))))
		hit := r.Perm(len(w.boxes))[:1+r.IntN(len(w.boxes))]
		if r.IntN(3) > 0 {
			hit = w.readers()
		}
		gap := time.Duration(r.IntN(3)) * 300 * time.Millisecond
		for _, i := range hit {
			w.boxes[i].store.silence()
			pause(ctx, gap)
		}
		if r.IntN(2) == 0 {
			w.configure()
		}
	}
}

// readers returns the numbers of the boxes that called the store a moment ago.
func (w *world) readers() []int {
	var l []int
	for i, b := range w.boxes {
		if time.Since(b.store.passed()) < readsWithin {
			l = append(l, i)
		}
	}
	return l
}

// recent returns the newest version of the configuration, and those that boxes may still go by.
func (w *world) recent() []change {
	l := w.written()
	n := len(l) - 1
	for n > 0 && time.Since(l[n].acknowledgedAt) < 2*applyBound {
		n--
	}
	return l[max(0, n-1):]
}

// slowInTurn has one box after another get a tenth of the processor for some seconds, mostly one that
// reads the store, until the context ends.
func (w *world) slowInTurn(ctx context.Context, r *rand.Rand) {
	for ctx.Err() == nil {
		pause(ctx, time.Duration(r.Int64N(int64(2*slowEvery))))
		i := r.IntN(len(w.boxes))
		if l := w.readers(); len(l) > 0 && r.IntN(3) > 0 {
			i = l[r.IntN(len(l))]
		}
		until := time.Now().Add(time.Second + time.Duration(r.Int64N(int64(slowMost))))
		for ctx.Err() == nil && time.Now().Before(until) {
			w.boxes[i].slow()
		}
	}
}

// slow keeps a box from running for nine tenths of a short time.
func (b *soakBox) slow() {
	b.mutex.Lock()
	p := b.process
	if p != nil {
		_ = p.Signal(syscall.SIGSTOP) // it may have ended
	}
	b.disturbed = append(b.disturbed, time.Now())
	b.mutex.Unlock()
	time.Sleep(slowCycle * 9 / 10)
	if p != nil {
		_ = p.Signal(syscall.SIGCONT) // as above
	}
	time.Sleep(slowCycle / 10)
}

// drainInTurn has one upstream after another be listed as leaving, which it does not say itself, and
// serve on for some time, until the context ends.
func (p *prober) drainInTurn(ctx context.Context, r *rand.Rand) {
	w := p.callers.world
	for ctx.Err() == nil {
		u := pickUpstream(w, r, []string{serviceDesk, serviceLLM}[r.IntN(2)])
		if len(w.of(u.service)) < 2 {
			pause(ctx, time.Second)
			continue
		}
		w.list(u, "draining")
		p.mutex.Lock()
		p.listed = append(p.listed, listed{time.Now(), u})
		p.mutex.Unlock()
		pause(ctx, drainedPeriod)
		w.replace(u)()
	}
}

// judge returns a judge of what was asked.
func (p *prober) judge() *judge {
	w := p.callers.world
	p.mutex.Lock()
	defer p.mutex.Unlock()
	return &judge{
		changes: w.written(), probes: p.probes,
		inTouch: func(box string, from, to time.Time) bool { return w.inTouch(w.box(box), from, to) },
		oneLife: func(box string, from, to time.Time) bool { return w.box(box).quiet(from, to) },
	}
}

// drained checks that no upstream got requests later than the bound after the list said that it
// leaves, from boxes in touch that could reach it.
func (p *prober) drained() {
	c := p.callers
	for _, l := range p.listed {
		for _, v := range l.upstream.engine.Visits() {
			late := v.At.Sub(l.acknowledgedAt) - drainBound
			j := c.journeyOf(v.Request)
			from := v.At.Add(-contactBound)
			if late <= 0 || j.box == nil || l.upstream.proxy.badWithin(from, v.At) || !c.world.inTouch(j.box, from, v.At) {
				continue
			}
			c.fail("%s: reached %s from %s %s after the bound of its leaving, which the list had told", v.Request, l.upstream.name, j.box.name, late.Round(time.Millisecond))
		}
	}
}

// report checks what was asked, where anything was, and writes how late changes were in force.
func (p *prober) report(output io.Writer) {
	j := p.judge()
	if len(j.probes) == 0 {
		return
	}
	broken, judged := j.broken()
	for _, x := range broken {
		p.callers.fail("%s", x)
	}
	p.drained()
	after := j.inForceAfter()
	if len(after) == 0 {
		_, _ = fmt.Fprintf(output, "soak: %d changes, none could be judged\n", len(j.changes))
		return
	}
	_, _ = fmt.Fprintf(output, "soak: %d changes, %d answers judged; in force at boxes in touch after %s at the median, %s at most\n",
		len(j.changes), judged, after[len(after)/2].Round(time.Millisecond), after[len(after)-1].Round(time.Millisecond))
}

// runAll changes the configuration, loses connections, slows boxes down, has upstreams listed as leaving, and asks every
// box, until the context ends.
func (p *prober) runAll(ctx context.Context, seed uint64) {
	var g sync.WaitGroup
	g.Go(func() { p.callers.world.changesInTurn(ctx, rand.New(rand.NewPCG(seed, changesStream))) })
	g.Go(func() { p.callers.world.silencesInTurn(ctx, rand.New(rand.NewPCG(seed, silencesStream))) })
	g.Go(func() { p.callers.world.slowInTurn(ctx, rand.New(rand.NewPCG(seed, slowsStream))) })
	g.Go(func() { p.drainInTurn(ctx, rand.New(rand.NewPCG(seed, drainsStream))) })
	g.Go(func() { p.run(ctx) })
	g.Wait()
}

// run asks every box until the context ends.
func (p *prober) run(ctx context.Context) {
	var g sync.WaitGroup
	for _, b := range p.callers.world.boxes {
		g.Go(func() {
			for i := 0; ctx.Err() == nil; i++ {
				l := p.callers.world.recent()
				p.ask(b, l[i%len(l)].version, i)
				pause(ctx, probeEvery)
			}
		})
	}
	g.Wait()
}

// ask asks one box for the route of a version.
func (p *prober) ask(b *soakBox, version, number int) {
	ctx, cancel := context.WithTimeout(context.Background(), probePeriod)
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
