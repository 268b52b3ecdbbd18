// Package soak runs real boxes as processes against fakes, injects faults from outside of them,
// and checks the guarantees from what callers and upstreams observe.
//
// A seed determines the order of faults and requests, but not the scheduling of the processes, so
// that a run with the same seed repeats the scenario but not the exact course of events.
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
	callerCount      = 12
	exitFailure      = 1
	exitUsage        = 2
	faultInterval    = 700 * time.Millisecond // on average; shorter than most faults, so that they overlap
	maxFaultDuration = 2500 * time.Millisecond
	settlePeriod     = 3 * time.Second  // after the last fault, for boxes to reconnect to each other
	recoveryPeriod   = 20 * time.Second // within which every box must serve again
)

// discardLog discards what the fakes' servers log about connections that faults broke.
var discardLog = slog.NewLogLogger(slog.DiscardHandler, slog.LevelDebug)

// Main runs a soak and returns an exit code.
func Main(arguments []string, output io.Writer) int {
	f := flag.NewFlagSet("soak", flag.ContinueOnError)
	f.SetOutput(output)
	programs := f.String("programs", "bin", "`folder` of the built programs")
	seed := f.Uint64("seed", 0, "`number` that seeds the random faults and requests; 0 chooses one at random")
	changes := f.Bool("changes", true, "change the configuration often, stall connections to the store, slow boxes down, list upstreams as leaving, and check when each box applies the changes")
	copies := f.Bool("copies", true, "also restore the store from snapshots")
	kinds := f.String("faults", "", "regular `expression` that matches the names of the faults to inject; all by default")
	halls := f.Bool("halls", true, "also evacuate halls and start upstreams cold")
	limits := f.Bool("limits", true, "have upstreams announce rate limits")
	links := f.Bool("links", true, "cut boxes off from all upstreams, and compare how first tries are served there and at the others")
	many := f.Bool("many", true, "send poison requests also several at once, and for longer")
	parts := f.Bool("parts", true, "send requests with parts of prompts that crash upstreams, and sound ones that share the other parts")
	restarts := f.Bool("restarts", false, "also have all upstreams reject requests or fail, and restart all boxes or a part of them several times in a row")
	rows := f.Bool("rows", true, "also write invalid rows to the table of upstreams")
	silences := f.Bool("silences", false, "also have upstreams fall silent and go on, and check that no stream is cut off; without other faults of upstreams")
	words := f.Bool("words", true, "have upstreams announce in answers that they are leaving or request back-off, and send poison requests that crash them")
	wide := f.Bool("wide", false, "run nine boxes in three halls instead of four in two")
	memory := f.Bool("memory", false, "inject no faults; have callers send more and larger requests than a box has memory for instead, and check that it holds no more and loses none")
	connections := f.Bool("connections", false, "inject no faults; measure what connections cost a box instead")
	duration := f.Duration("for", 20*time.Second, "how long to inject faults")
	if f.Parse(arguments[1:]) != nil {
		return exitUsage
	}
	pattern, err := regexp.Compile(*kinds)
	if err != nil {
		_, _ = fmt.Fprintln(output, "soak:", err)
		return exitUsage
	}
	log.SetOutput(io.Discard) // used by the HTTP servers of the standard library
	if *connections {
		if err := measureConnections(*programs, output); err != nil {
			_, _ = fmt.Fprintln(output, "soak:", err)
			return exitFailure
		}
		return 0
	}
	if *seed == 0 {
		*seed = rand.Uint64N(1 << 32)
	}
	soak := func() ([]string, error) {
		return run(*programs, *seed, *duration, activities{boxRestarts: *restarts, changes: *changes, restores: *copies, faults: pattern, evacuations: *halls, limits: *limits, links: *links, poisonBursts: *many, poisonParts: *parts, invalidRows: *rows, silences: *silences, wide: *wide, notices: *words}, output)
	}
	if *memory {
		soak = func() ([]string, error) { return checkMemory(*programs, *seed, *duration, output) }
	}
	return report(soak, *seed, output)
}

// report runs a soak, prints its violations, and returns the exit code.
func report(soak func() ([]string, error), seed uint64, output io.Writer) int {
	violations, err := soak()
	if err != nil {
		_, _ = fmt.Fprintln(output, "soak:", err)
		return exitFailure
	}
	for _, b := range violations {
		_, _ = fmt.Fprintln(output, "BROKEN", b)
	}
	if len(violations) > 0 {
		_, _ = fmt.Fprintf(output, "soak: seed %d broke %d promises\n", seed, len(violations))
		return exitFailure
	}
	return 0
}

// activities selects what runs beside the random faults, each with its own random generator.
type activities struct {
	boxRestarts  bool           // boxes restart in series while upstreams reject requests or fail
	changes      bool           // the configuration changes often, and connections to the store stall
	restores     bool           // the store is restored from snapshots
	faults       *regexp.Regexp // matches the names of the faults to inject
	evacuations  bool           // halls are evacuated, and upstreams start cold
	limits       bool           // upstreams announce rate limits
	links        bool           // boxes are cut off from all upstreams
	poisonBursts bool           // poison requests are also sent several at once, and for longer
	poisonParts  bool           // requests with poison parts in their prompts are sent
	silences     bool           // upstreams fall silent and go on, and streams must be whole
	invalidRows  bool           // invalid rows are written to the table of upstreams
	wide         bool           // nine boxes in three halls
	notices      bool           // upstreams announce in answers that they are leaving or request back-off, and poison requests are sent
}

// start starts the activities, which go on until the context ends.
func (x *activities) start(ctx context.Context, g *sync.WaitGroup, seed uint64, c *callers, p *prober) {
	w := c.cluster
	if x.boxRestarts {
		g.Go(func() { c.runBoxRestarts(ctx, rand.New(rand.NewPCG(seed, boxRestartsRNGStream))) })
	}
	if x.changes {
		g.Go(func() { p.runAll(ctx, seed) })
	}
	if x.restores {
		g.Go(func() { w.runRestores(ctx, rand.New(rand.NewPCG(seed, restoresRNGStream))) })
	}
	if x.evacuations {
		g.Go(func() { w.runEvacuations(ctx, rand.New(rand.NewPCG(seed, evacuationsRNGStream))) })
	}
	if x.limits {
		g.Go(func() { c.runLimits(ctx, rand.New(rand.NewPCG(seed, limitsRNGStream))) })
	}
	if x.links {
		g.Go(func() { c.runLinkCuts(ctx, rand.New(rand.NewPCG(seed, linksRNGStream))) })
	}
	if x.poisonParts {
		g.Go(func() { c.runParts(ctx, rand.New(rand.NewPCG(seed, partsRNGStream))) })
	}
	if x.invalidRows {
		g.Go(func() { w.runInvalidRows(ctx, rand.New(rand.NewPCG(seed, invalidRowsRNGStream))) })
	}
	if x.silences {
		g.Go(func() { w.runSilences(ctx, rand.New(rand.NewPCG(seed, silencesRNGStream))) })
	}
	if x.notices {
		g.Go(func() { w.runNotices(ctx, rand.New(rand.NewPCG(seed, noticesRNGStream))) })
		g.Go(func() { c.runPoison(ctx, rand.New(rand.NewPCG(seed, poisonRNGStream)), x.poisonBursts) })
	}
}

// run runs one soak and returns the violations of the guarantees.
func run(programs string, seed uint64, duration time.Duration, x activities, output io.Writer) (violations []string, err error) {
	extra := retryExtra
	if x.silences {
		extra = silencesRetryExtra
	}
	w, err := newCluster(programs, x.evacuations, x.wide, extra, 0)
	if err != nil {
		return nil, err
	}
	defer func() { w.close(len(violations) > 0 || err != nil) }()
	c := newCallers(w)
	if !c.awaitServing() {
		return nil, fmt.Errorf("the boxes did not serve before the first fault was injected: %v", c.statusCounts)
	}
	ctx, cancel := context.WithTimeout(context.Background(), duration)
	defer cancel()
	var g sync.WaitGroup
	for i := range callerCount {
		g.Go(func() { c.run(ctx, i, rand.New(rand.NewPCG(seed, uint64(i+1)))) })
	}
	p := newProber(c)
	x.start(ctx, &g, seed, c, p)
	injected := w.injectAll(ctx, rand.New(rand.NewPCG(seed, 0)), x.faults)
	g.Wait()
	time.Sleep(settlePeriod)
	if !c.awaitServing() {
		c.addViolation("not every box serves %s after the last fault", recoveryPeriod)
	}
	c.checkConfiguration()
	c.checkEvacuations()
	c.checkColdStarts()
	c.checkNotices()
	c.checkLimits()
	c.checkPoison()
	c.checkParts(output)
	c.checkLinkCuts(output)
	c.checkRetryBudget(output)
	if x.silences {
		c.checkSilences(output)
	}
	p.report(output)
	if len(w.harnessErrors) > 0 {
		return c.violations, fmt.Errorf("the soak itself failed: %v; logs of the boxes: %s", w.harnessErrors, w.logs.path)
	}
	c.checkExecutions()
	_, _ = fmt.Fprintf(output, "soak: seed %d: %d requests that may run once, answers by status %v, faults %v\n", seed, len(c.atMostOnce), c.statusCounts, injected)
	if len(c.violations) > 0 {
		_, _ = fmt.Fprintln(output, "soak: logs of the boxes:", w.logs.path)
	}
	return c.violations, nil
}

// awaitServing waits until every box serves a streaming and a plain request. It reports false if
// one does not within recoveryPeriod.
func (c *callers) awaitServing() bool {
	until := time.Now().Add(recoveryPeriod)
	for i, b := range c.cluster.boxes {
		for try := 0; ; try++ {
			ctx, cancel := context.WithTimeout(context.Background(), 3*time.Second)
			id := fmt.Sprintf("serve-%d-%d-%d", i, try, time.Now().UnixNano())
			ok := c.call(ctx, b, &callerRequest{id: id + "p", path: planPath, method: "POST", tokens: 40}) &&
				c.call(ctx, b, &callerRequest{id: id + "c", path: oftenPath, method: "GET"})
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

// injectAll injects random, overlapping faults whose names match pattern until the context ends, and
// waits until all of them have ended. It returns how often each was injected.
func (w *cluster) injectAll(ctx context.Context, r *rand.Rand, pattern *regexp.Regexp) map[string]int {
	counts := make(map[string]int)
	var g sync.WaitGroup
	for ctx.Err() == nil {
		x := faults[r.IntN(len(faults))]
		duration := time.Duration(r.Int64N(int64(maxFaultDuration)))
		rng := rand.New(rand.NewPCG(r.Uint64(), 0))
		if pattern.MatchString(x.name) {
			counts[x.name]++
			g.Go(func() { inject(w, x, rng, duration) })
		}
		select {
		case <-ctx.Done():
		case <-time.After(time.Duration(r.Int64N(int64(2 * faultInterval)))):
		}
	}
	g.Wait()
	return counts
}

// inject starts a fault and ends it after a duration.
func inject(w *cluster, x fault, r *rand.Rand, duration time.Duration) {
	end, err := x.inject(w, r)
	if err != nil || end == nil {
		return
	}
	time.Sleep(duration)
	end()
}
