package evacuation

import (
	"fmt"
	"io"
	"runtime"
	"time"

	"golang.org/x/sync/errgroup"
)

// Row holds the results of one scenario over all seeds.
type Row struct {
	Uncoordinated      bool
	LatePercent        float64 // of the completed generations
	LostPercent        float64 // of all generations
	MovesPerGeneration float64
	Notice             time.Duration
	ReclaimedShare     float64
}

// Parameters of the scenarios in the table.
var (
	notices         = []time.Duration{0, time.Second, 2 * time.Second, 4 * time.Second}
	reclaimedShares = []float64{0.05, 0.1, 0.2, 0.3}
)

// Rows runs every scenario with each of the given number of seeds, in parallel.
func Rows(seeds int, period time.Duration) []*Row {
	var rows []*Row
	for _, n := range notices {
		for _, x := range reclaimedShares {
			rows = append(rows, &Row{Uncoordinated: true, Notice: n, ReclaimedShare: x}, &Row{Notice: n, ReclaimedShare: x})
		}
	}
	var g errgroup.Group
	g.SetLimit(runtime.GOMAXPROCS(0))
	for _, r := range rows {
		g.Go(func() error {
			r.run(seeds, period)
			return nil
		})
	}
	_ = g.Wait() // the functions return no errors
	return rows
}

// Print prints the rows, with the two rows of each notice and share side by side.
func Print(rows []*Row, output io.Writer) {
	_, _ = fmt.Fprintf(output, "%-8s %-6s %28s %28s\n", "notice", "share", "uncoordinated: lost/late/moves", "coordinated: lost/late/moves")
	for i := 0; i+1 < len(rows); i += 2 {
		a, b := rows[i], rows[i+1]
		_, _ = fmt.Fprintf(output, "%-8s %-6.2f %10.2f %10.2f %7.2f  %9.2f %9.2f %7.2f\n", a.Notice, a.ReclaimedShare, a.LostPercent, a.LatePercent, a.MovesPerGeneration, b.LostPercent, b.LatePercent, b.MovesPerGeneration)
	}
}

// run runs the scenario of the row with each seed and sets its results.
func (r *Row) run(seeds int, period time.Duration) {
	var sum Result
	for i := range seeds {
		v := Run(&Scenario{Uncoordinated: r.Uncoordinated, Notice: r.Notice, Period: period, Seed: uint64(i + 1), ReclaimedShare: r.ReclaimedShare})
		sum.Completed += v.Completed
		sum.Late += v.Late
		sum.Lost += v.Lost
		sum.Moves += v.Moves
	}
	total := float64(max(1, sum.Completed+sum.Lost))
	r.LatePercent = 100 * float64(sum.Late) / float64(max(1, sum.Completed))
	r.LostPercent = 100 * float64(sum.Lost) / total
	r.MovesPerGeneration = float64(sum.Moves) / total
}
