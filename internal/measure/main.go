package measure

import (
	"flag"
	"fmt"
	"io"
	"runtime"
	"slices"
	"strings"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/linetiller/linetiller/internal/measure/evacuation"
	"github.com/linetiller/linetiller/internal/policy"
)

// metric is one measure with its name in the output.
type metric struct {
	value func(*Result) float64
	name  string
}

// comparison is a scenario, run with both policies from several seeds.
type comparison struct {
	naive    []*Result
	policy   []*Result
	title    string
	scenario Scenario
}

var metrics = []metric{
	{func(r *Result) float64 { return r.StallMean }, "stall_mean_s"},
	{func(r *Result) float64 { return r.StallP99 }, "stall_p99_s"},
	{func(r *Result) float64 { return r.Preemptions }, "preempt_per_1000"},
	{func(r *Result) float64 { return 1000 * r.TimeBetweenTokensP95 }, "tbt_p95_ms"},
	{func(r *Result) float64 { return 1000 * r.TimeBetweenTokensP99 }, "tbt_p99_ms"},
	{func(r *Result) float64 { return 1000 * r.TimeBetweenTokensP999 }, "tbt_p999_ms"},
	{func(r *Result) float64 { return r.FirstTokenP50 }, "first_p50_s"},
	{func(r *Result) float64 { return r.FirstTokenP95 }, "first_p95_s"},
	{func(r *Result) float64 { return 100 * r.Refused }, "refused_%"},
	{func(r *Result) float64 { return 100 * r.Interrupted }, "interrupted_%"},
	{func(r *Result) float64 { return 100 * r.DeadlinesMet }, "deadlines_met_%"},
	{func(r *Result) float64 { return 100 * r.LongestKindDeadlinesMet }, "long_met_%"},
	{func(r *Result) float64 { return r.TokensPerSecond }, "tokens_per_s"},
	{func(r *Result) float64 { return r.AsksPerRequest }, "asks_per_request"},
}

// ratioMetrics are the measures of the last lines.
var ratioMetrics = []metric{
	{func(r *Result) float64 { return r.StallMean }, "stall_time"},
	{func(r *Result) float64 { return r.Preemptions }, "preemptions"},
	{func(r *Result) float64 { return r.TimeBetweenTokensP999 }, "tbt_p999"},
	{func(r *Result) float64 { return r.FirstTokenP95 }, "ttft_p95"},
	{func(r *Result) float64 { return r.TokensPerSecond }, "tokens_per_s"},
	{func(r *Result) float64 { return r.DeadlinesMet }, "deadlines_met"},
}

// mixes are the mixes whose ratios are printed last.
var mixes = []*Mix{&KMQA, &VSK}

const (
	defaultPeriod = 900 * time.Second
	ratioLoad     = 1.2
)

// Main runs every scenario and prints the measures, and returns an exit code.
func Main(arguments []string, output io.Writer) int {
	f := flag.NewFlagSet(arguments[0], flag.ContinueOnError)
	f.SetOutput(output)
	seeds := f.Int("seeds", 5, "seeds of each scenario")
	period := f.Duration("period", defaultPeriod, "virtual time of each run")
	filter := f.String("only", "", "run only the scenarios whose title holds this")
	moves := f.Bool("moves", false, "measure moves away from engines that are reclaimed instead")
	chart := f.String("chart", "", "with -moves: a `FILE` (.svg or .png) for a chart")
	if f.Parse(arguments[1:]) != nil {
		return 2
	}
	if *moves {
		return measureMoves(*seeds, *period, *chart, output)
	}
	start := time.Now()
	var all []*comparison
	for _, c := range scenarios(*period) {
		if strings.Contains(c.title, *filter) {
			all = append(all, c)
		}
	}
	runComparisons(all, *seeds)
	for _, c := range all {
		c.print(output)
	}
	for _, c := range all {
		c.printRatios(output)
	}
	_, _ = fmt.Fprintf(output, "# %d scenarios, %d seeds, 2 policies in %s\n", len(all), *seeds, time.Since(start).Round(time.Second))
	printRatioLines(all, output)
	return 0
}

// SaturationRate returns the requests a second at which the engines are full: the
// tokens a second that they make of an endless supply, over a request's mean.
func SaturationRate(m *Mix) float64 {
	s := &Scenario{Load: 1, Mix: m, Naive: true, Period: 300 * time.Second, SaturationRate: 60, Seed: 99, Tuning: policy.DefaultTuning()}
	return Run(s).TokensPerSecond / m.MeanOutput()
}

// scenarios returns every scenario that is measured.
func scenarios(period time.Duration) []*comparison {
	var l []*comparison
	for _, m := range mixes {
		base := Scenario{Mix: m, Period: period, SaturationRate: SaturationRate(m), Tuning: policy.DefaultTuning()}
		add := func(title string, change func(*Scenario)) {
			s := base
			change(&s)
			l = append(l, &comparison{title: fmt.Sprintf("%s %s at %.1f of %.1f requests/s", m.Name, title, s.Load, s.SaturationRate), scenario: s})
		}
		for _, x := range []float64{0.6, 0.8, 1.0, 1.2, 1.5} {
			add("steady", func(s *Scenario) { s.Load = x })
			add("bursty", func(s *Scenario) { s.Load, s.Bursty = x, true })
		}
		for _, x := range []float64{0.8, 1.2} {
			add("hidden", func(s *Scenario) { s.Load, s.HideKind = x, true })
		}
		add("engine-dies", func(s *Scenario) { s.Load, s.CrashEngine = 1.0, true })
		add("reports-lost", func(s *Scenario) { s.Load, s.DropReports = ratioLoad, true })
		add("doubling", func(s *Scenario) { s.Load, s.DoubleOutputs = ratioLoad, true })
	}
	long := Scenario{Load: ratioLoad, Mix: &KMQALong, Period: period, SaturationRate: SaturationRate(&KMQALong), Tuning: policy.DefaultTuning()}
	return append(l, &comparison{title: fmt.Sprintf("%s steady at %.1f of %.1f requests/s", KMQALong.Name, long.Load, long.SaturationRate), scenario: long})
}

// measureMoves measures how many generations outlive their engines.
func measureMoves(seeds int, period time.Duration, chart string, output io.Writer) int {
	rows := evacuation.Rows(seeds, period)
	evacuation.Print(rows, output)
	if chart == "" {
		return 0
	}
	if err := evacuation.Draw(rows, chart); err != nil {
		_, _ = fmt.Fprintln(output, "measure:", err)
		return 1
	}
	return 0
}

// runComparisons runs every comparison, one run a processor at a time.
func runComparisons(all []*comparison, seeds int) {
	var g errgroup.Group
	g.SetLimit(runtime.GOMAXPROCS(0))
	for _, c := range all {
		c.naive, c.policy = make([]*Result, seeds), make([]*Result, seeds)
		for i := range seeds {
			for _, naive := range []bool{true, false} {
				g.Go(func() error {
					s := c.scenario
					s.Naive, s.Seed = naive, uint64(i+1)
					r := Run(&s)
					if naive {
						c.naive[i] = r
					} else {
						c.policy[i] = r
					}
					return nil
				})
			}
		}
	}
	_ = g.Wait()
}

func (c *comparison) print(output io.Writer) {
	_, _ = fmt.Fprintf(output, "\n%s\n%-18s %32s %32s\n", c.title, "", "naive: mean (least-most)", "real: mean (least-most)")
	for _, m := range metrics {
		_, _ = fmt.Fprintf(output, "%-18s %32s %32s\n", m.name, formatSpread(c.naive, m.value), formatSpread(c.policy, m.value))
	}
}

func (c *comparison) printRatios(output io.Writer) {
	_, _ = fmt.Fprintf(output, "# real over naive, %s:", c.title)
	for _, m := range ratioMetrics {
		_, _ = fmt.Fprintf(output, " %s %s", m.name, formatRatio(c, m.value))
	}
	_, _ = fmt.Fprintln(output)
}

func printRatioLines(all []*comparison, output io.Writer) {
	for _, c := range all {
		if !slices.Contains(mixes, c.scenario.Mix) || c.scenario.Load != ratioLoad || c.scenario.Bursty || c.scenario.DropReports || c.scenario.DoubleOutputs {
			continue
		}
		n := c.scenario.Mix.Name
		if c.scenario.HideKind {
			n += "-hidden"
		}
		for _, m := range ratioMetrics {
			_, _ = fmt.Fprintf(output, "ratio %s %s %s\n", n, m.name, formatRatio(c, m.value))
		}
	}
}

// formatRatio returns the mean of the real policy over that of the naive one.
func formatRatio(c *comparison, get func(*Result) float64) string {
	n, r := mean(values(c.naive, get)), mean(values(c.policy, get))
	if n == 0 {
		return fmt.Sprintf("%g/0", r)
	}
	return fmt.Sprintf("%.3f", r/n)
}

func formatSpread(l []*Result, get func(*Result) float64) string {
	v := values(l, get)
	return fmt.Sprintf("%.3f (%.3f-%.3f)", mean(v), slices.Min(v), slices.Max(v))
}

func values(l []*Result, get func(*Result) float64) []float64 {
	v := make([]float64, len(l))
	for i, r := range l {
		v[i] = get(r)
	}
	return v
}
