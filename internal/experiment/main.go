package experiment

import (
	"context"
	"errors"
	"fmt"
	"io"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/urfave/cli/v3"
)

// Main runs the command line of the experiment tool and returns its exit code.
func Main(arguments []string, output, errorOutput io.Writer) int {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGINT)
	defer stop()
	c := &cli.Command{
		Name:                  "experiment",
		Usage:                 "run benchmarks or simulations, store their measures as rows, compare and draw them",
		EnableShellCompletion: true,
		ExitErrHandler:        func(context.Context, *cli.Command, error) {},
		ErrWriter:             errorOutput,
		Writer:                output,
		Commands:              []*cli.Command{newAccountCommand(), newCompareCommand(), newDrawCommand(), newJournalCommand(), newPlayCommand(), newRowsCommand()},
	}
	if err := c.Run(ctx, arguments); err != nil {
		_, _ = fmt.Fprintln(errorOutput, "experiment:", err)
		return 1
	}
	return 0
}

func newCompareCommand() *cli.Command {
	return &cli.Command{
		Name:      "compare",
		Usage:     "print the measures of two versions side by side, with their spread over several runs",
		ArgsUsage: "BEFORE AFTER",
		Description: "BEFORE and AFTER are files of rows or reports of the benchmark. A star marks measures whose value ranges " +
			"do not overlap; other differences may be due to chance.",
		Action: func(_ context.Context, c *cli.Command) error {
			if c.Args().Len() != 2 {
				return errors.New("expected two files")
			}
			b, err := ReadFiles(c.Args().Slice()[:1])
			if err != nil {
				return err
			}
			a, err := ReadFiles(c.Args().Slice()[1:])
			if err != nil {
				return err
			}
			return PrintDifferences(Compare(b, a), c.Root().Writer)
		},
	}
}

func newDrawCommand() *cli.Command {
	return &cli.Command{
		Name:      "draw",
		Usage:     "draw a bar chart of the worth by day, class or price, with a bar for each version",
		ArgsUsage: "FILE...",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "by", Usage: "`KEY` to group by: day, class or price", Value: ByDay},
			&cli.StringFlag{Name: "chart", Usage: "`FILE` to write, .svg or .png", Required: true},
		},
		Action: func(_ context.Context, c *cli.Command) error {
			rows, err := ReadFiles(c.Args().Slice())
			if err != nil {
				return err
			}
			return Draw(rows, c.String("by"), c.String("chart"))
		},
	}
}

func newPlayCommand() *cli.Command {
	return &cli.Command{
		Name:  "play",
		Usage: "run days on the users' benchmark, or simulations, and write their rows",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "bench", Usage: "benchmark `PROGRAM`; without it, simulations are run"},
			&cli.StringFlag{Name: "site", Usage: "`FILE` that describes the site, for the benchmark"},
			&cli.StringSliceFlag{Name: "day", Usage: "`DAY` of the site, or a file that describes a day; repeatable"},
			&cli.StringFlag{Name: "journal", Usage: "`FOLDER` with the reports of the benchmark", Value: "journal"},
			&cli.StringFlag{Name: "why", Usage: "reason for the runs, a `TEXT` that is recorded in every report of the benchmark"},
			&cli.Int64SliceFlag{Name: "seed", Usage: "`SEED` of a run, 0 for the default of the day; repeatable", Value: []int64{0}},
			&cli.DurationFlag{Name: "period", Usage: "virtual duration of a simulation, a `TIME`", Value: 5 * time.Minute},
			&cli.StringFlag{Name: "version", Usage: "`NAME` of the version in rows of simulations", Value: "working tree"},
			&cli.StringFlag{Name: "output", Usage: "`FILE` to write the rows to", Required: true},
		},
		Action: play,
	}
}

func newRowsCommand() *cli.Command {
	return &cli.Command{
		Name:      "rows",
		Usage:     "print the measures of reports as rows",
		ArgsUsage: "REPORT...",
		Action: func(_ context.Context, c *cli.Command) error {
			rows, err := ReadFiles(c.Args().Slice())
			if err != nil {
				return err
			}
			return WriteRows(c.Root().Writer, rows)
		},
	}
}

// play runs the benchmark or the simulations that the flags select, and writes the rows.
func play(ctx context.Context, c *cli.Command) error {
	var rows []Row
	var err error
	if c.String("bench") == "" {
		for _, s := range c.Int64Slice("seed") {
			rows = append(rows, Simulate(c.String("version"), uint64(s), c.Duration("period"))...)
		}
	} else if rows, err = runBenchmark(ctx, c); err != nil {
		return err
	}
	f, err := os.Create(c.String("output"))
	if err != nil {
		return err
	}
	return errors.Join(WriteRows(f, rows), f.Close())
}

// runBenchmark runs each day with each seed on the users' benchmark and returns all rows.
func runBenchmark(ctx context.Context, c *cli.Command) ([]Row, error) {
	if c.String("site") == "" || len(c.StringSlice("day")) == 0 || c.String("why") == "" {
		return nil, errors.New("the benchmark needs --site, --day and --why")
	}
	b := &Benchmark{ReportFolder: c.String("journal"), Program: c.String("bench"), Reason: c.String("why")}
	var rows []Row
	for _, d := range c.StringSlice("day") {
		for _, s := range c.Int64Slice("seed") {
			l, err := b.Run(ctx, c.String("site"), d, s, c.Root().ErrWriter)
			if err != nil {
				return nil, err
			}
			rows = append(rows, l...)
		}
	}
	return rows, nil
}
