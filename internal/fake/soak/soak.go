// Package soak runs real boxes as processes against stand-ins, injects faults from
// outside them, and checks the promises from what callers and upstreams see.
//
// The order of faults and requests follows from a seed; when a process gets its turn
// does not, so that a seed is a case to run again and not a recording.
package soak

import (
	"context"
	"flag"
	"fmt"
	"io"
	"log"
	"log/slog"
	"math/rand/v2"
	"regexp"
	"sync"
	"time"
)

const (
	callersCount = 12
	exitBroken   = 1
	exitUsage    = 2
	faultEvery   = 700 * time.Millisecond // at the mean, so that faults overlap
	faultLong    = 2500 * time.Millisecond
	quietPeriod  = 3 * time.Second  // for the boxes to find each other again
	servePeriod  = 20 * time.Second // after which every box must serve again
)

// quietLog swallows what stand-ins' servers say of connections that faults broke.
var quietLog = slog.NewLogLogger(slog.DiscardHandler, slog.LevelDebug)

// Main runs a soak and returns an exit code.
func Main(arguments []string, output io.Writer) int {
	f := flag.NewFlagSet("soak", flag.ContinueOnError)
	f.SetOutput(output)
	programs := f.String("programs", "bin", "`folder` of the built programs")
	seed := f.Uint64("seed", 0, "`number` by which faults are drawn; 0 draws one")
	changes := f.Bool("changes", true, "change the configuration often, have connections to the store fall silent for good, and check at each box when changes are in force")
	copies := f.Bool("copies", true, "have the store come back from copies, too")
	kinds := f.String("faults", "", "`expression` that matches the names of the faults that strike; all by default")
	halls := f.Bool("halls", true, "evacuate halls and start engines cold, too")
	limits := f.Bool("limits", true, "have upstreams name limits of how many requests a second they accept")
	many := f.Bool("many", true, "have poison requests be sent several at once, and for longer")
	rows := f.Bool("rows", true, "have rows that name no upstream be written beside those of upstreams")
	words := f.Bool("words", true, "have upstreams say that they leave, or ask for rest, with their answers, and requests end them")
	wide := f.Bool("wide", false, "run nine boxes in three halls in place of four in two")
	span := f.Duration("for", 20*time.Second, "how long faults strike")
	if f.Parse(arguments[1:]) != nil {
		return exitUsage
	}
	only, err := regexp.Compile(*kinds)
	if err != nil {
		_, _ = fmt.Fprintln(output, "soak:", err)
		return exitUsage
	}
	log.SetOutput(io.Discard) // of the standard library's servers
	if *seed == 0 {
		*seed = rand.Uint64N(1 << 32)
	}
	broken, err := run(*programs, *seed, *span, extras{changes: *changes, copies: *copies, faults: only, halls: *halls, limits: *limits, many: *many, rows: *rows, wide: *wide, words: *words}, output)
	if err != nil {
		_, _ = fmt.Fprintln(output, "soak:", err)
		return exitBroken
	}
	for _, b := range broken {
		_, _ = fmt.Fprintln(output, "BROKEN", b)
	}
	if len(broken) > 0 {
		_, _ = fmt.Fprintf(output, "soak: seed %d broke %d promises\n", *seed, len(broken))
		return exitBroken
	}
	return 0
}

// extras are what goes on beside the faults that are drawn, each by random numbers of its own.
type extras struct {
	changes bool           // the configuration changes often, and connections to the store fall silent
	copies  bool           // the store comes back from copies
	faults  *regexp.Regexp // names of those that strike
	halls   bool           // halls are evacuated, and engines start cold
	limits  bool           // upstreams name limits
	many    bool           // poison requests are sent several at once, and for longer
	rows    bool           // rows that name no upstream are written
	wide    bool           // nine boxes in three halls
	words   bool           // upstreams say that they leave, or ask for rest, with their answers, and requests end them
}

// start starts what goes on beside the faults, until the context ends.
func (x *extras) start(ctx context.Context, g *sync.WaitGroup, seed uint64, c *callers, p *prober) {
	w := c.world
	if x.changes {
		g.Go(func() { p.runAll(ctx, seed) })
	}
	if x.copies {
		g.Go(func() { w.copiesInTurn(ctx, rand.New(rand.NewPCG(seed, copiesStream))) })
	}
	if x.halls {
		g.Go(func() { w.evacuateInTurn(ctx, rand.New(rand.NewPCG(seed, hallsStream))) })
	}
	if x.limits {
		g.Go(func() { c.limitsInTurn(ctx, rand.New(rand.NewPCG(seed, limitsStream))) })
	}
	if x.rows {
		g.Go(func() { w.foreignRowsInTurn(ctx, rand.New(rand.NewPCG(seed, rowsStream))) })
	}
	if x.words {
		g.Go(func() { w.wordsInTurn(ctx, rand.New(rand.NewPCG(seed, wordsStream))) })
		g.Go(func() { c.deadlyInTurn(ctx, rand.New(rand.NewPCG(seed, deadlyStream)), x.many) })
	}
}

// run runs one soak and returns the promises that were broken.
func run(programs string, seed uint64, span time.Duration, x extras, output io.Writer) (broken []string, err error) {
	w, err := newWorld(programs, x.halls, x.wide)
	if err != nil {
		return nil, err
	}
	defer func() { w.close(len(broken) > 0 || err != nil) }()
	c := newCallers(w)
	if !c.allServe() {
		return nil, fmt.Errorf("the boxes did not serve before any fault: %v", c.counts)
	}
	ctx, cancel := context.WithTimeout(context.Background(), span)
	defer cancel()
	var g sync.WaitGroup
	for i := range callersCount {
		g.Go(func() { c.run(ctx, i, rand.New(rand.NewPCG(seed, uint64(i+1)))) })
	}
	p := newProber(c)
	x.start(ctx, &g, seed, c, p)
	struck := w.strikeAll(ctx, rand.New(rand.NewPCG(seed, 0)), x.faults)
	g.Wait()
	time.Sleep(quietPeriod)
	if !c.allServe() {
		c.fail("not every box serves %s after the last fault", servePeriod)
	}
	c.inForce()
	c.evacuated()
	c.spared()
	c.heeded()
	c.limited()
	c.spentFew()
	p.report(output)
	if len(w.trouble) > 0 {
		return c.broken, fmt.Errorf("trouble of its own: %v; logs of the boxes: %s", w.trouble, w.logs.path)
	}
	c.settle()
	_, _ = fmt.Fprintf(output, "soak: seed %d: %d requests that may run once, answers by status %v, faults %v\n", seed, len(c.unsafely), c.counts, struck)
	if len(c.broken) > 0 {
		_, _ = fmt.Fprintln(output, "soak: logs of the boxes:", w.logs.path)
	}
	return c.broken, nil
}

// allServe waits until every box serves a plan and a call.
func (c *callers) allServe() bool {
	until := time.Now().Add(servePeriod)
	for i, b := range c.world.boxes {
		for try := 0; ; try++ {
			ctx, cancel := context.WithTimeout(context.Background(), 3*time.Second)
			id := fmt.Sprintf("serve-%d-%d-%d", i, try, time.Now().UnixNano())
			ok := c.call(ctx, b, &sent{id: id + "p", path: "/plan/x", method: "POST", tokens: 40}) &&
				c.call(ctx, b, &sent{id: id + "c", path: "/often/x", method: "GET"})
			cancel()
			if ok {
				break
			}
			if time.Now().After(until) {
				return false
			}
			time.Sleep(100 * time.Millisecond)
		}
	}
	return true
}

// strikeAll lets faults strike until the context ends, in series and overlapping, and
// ends them all: those kinds whose names match. It returns how often each struck.
func (w *world) strikeAll(ctx context.Context, r *rand.Rand, only *regexp.Regexp) map[string]int {
	struck := make(map[string]int)
	var g sync.WaitGroup
	for ctx.Err() == nil {
		x := faults[r.IntN(len(faults))]
		long := time.Duration(r.Int64N(int64(faultLong)))
		own := rand.New(rand.NewPCG(r.Uint64(), 0))
		if only.MatchString(x.name) {
			struck[x.name]++
			g.Go(func() { strike(w, x, own, long) })
		}
		select {
		case <-ctx.Done():
		case <-time.After(time.Duration(r.Int64N(int64(2 * faultEvery)))):
		}
	}
	g.Wait()
	return struck
}

// strike lets a fault strike for a time.
func strike(w *world, x fault, r *rand.Rand, long time.Duration) {
	end, err := x.strike(w, r)
	if err != nil || end == nil {
		return
	}
	time.Sleep(long)
	end()
}
