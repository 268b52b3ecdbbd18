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

// Main runs one command of the tool and returns its exit code.
func Main(arguments []string, output, errorOutput io.Writer) int {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGINT)
	defer stop()
	c := &cli.Command{
		Name:                  "experiment",
		Usage:                 "play days or seeds, keep their figures as rows, compare and draw them",
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
		Usage:     "print two versions side by side, with the spread over their runs",
		ArgsUsage: "BEFORE AFTER",
		Description: "Each is a file of rows or a report of the bench. A star marks measures whose values " +
			"lie apart; what is not marked may be chance.",
		Action: func(_ context.Context, c *cli.Command) error {
			if c.Args().Len() != 2 {
				return errors.New("name two files")
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
		Usage:     "draw worth by day, class or price, a bar for each version",
		ArgsUsage: "FILE...",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "by", Usage: "`WHAT`: day, class or price", Value: ByDay},
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
		Usage: "play days on the users' bench, or seeds on the stand-ins, and write their rows",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "bench", Usage: "the bench's `PROGRAM`; without it the stand-ins are played"},
			&cli.StringFlag{Name: "site", Usage: "the site's `FILE`, for the bench"},
			&cli.StringSliceFlag{Name: "day", Usage: "a `DAY` of the site, or a file that holds one; may be given again"},
			&cli.StringFlag{Name: "journal", Usage: "`FOLDER` of the bench's reports", Value: "journal"},
			&cli.StringFlag{Name: "why", Usage: "`TEXT` that goes with every run on the bench"},
			&cli.Int64SliceFlag{Name: "seed", Usage: "a `SEED`; may be given again; 0 is the day's own", Value: []int64{0}},
			&cli.DurationFlag{Name: "period", Usage: "virtual `TIME` of a run on the stand-ins", Value: 5 * time.Minute},
			&cli.StringFlag{Name: "version", Usage: "`NAME` of the version in rows from the stand-ins", Value: "working tree"},
			&cli.StringFlag{Name: "output", Usage: "`FILE` to write the rows to", Required: true},
		},
		Action: play,
	}
}

func newRowsCommand() *cli.Command {
	return &cli.Command{
		Name:      "rows",
		Usage:     "write the figures of reports as rows",
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

// play plays what the flags name and writes the rows.
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

// runBenchmark plays the days that the flags name on the users' bench.
func runBenchmark(ctx context.Context, c *cli.Command) ([]Row, error) {
	if c.String("site") == "" || len(c.StringSlice("day")) == 0 || c.String("why") == "" {
		return nil, errors.New("the bench takes --site, --day and --why")
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
