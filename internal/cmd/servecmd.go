package cmd

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"os"
	"os/signal"
	"runtime/debug"
	"syscall"

	"github.com/urfave/cli/v3"

	"github.com/linetiller/linetiller"
	"github.com/linetiller/linetiller/internal/logging"
	"github.com/linetiller/linetiller/internal/memory"
	"github.com/linetiller/linetiller/internal/settings"
)

func newServeCmd(e *ioStreams) *cli.Command {
	return &cli.Command{
		Name:  "serve",
		Usage: "run a box",
		Description: "On the first SIGTERM or SIGINT, the box finishes every request in progress and exits. " +
			"A second one stops it at once; it then reports how many requests were unfinished.",
		Flags: []cli.Flag{&cli.StringFlag{Name: "settings", Aliases: []string{"s"}, Sources: cli.EnvVars("LINETILLER_CONFIG"), Usage: "`FILE` of the settings", Required: true}},
		Action: func(ctx context.Context, c *cli.Command) error {
			return runServeCmd(ctx, e, c.String("settings"))
		},
	}
}

// limitMemory sets the memory limit of the Go runtime for a process with the given memory in MiB; 0 leaves it unset.
func limitMemory(mb float64) {
	if n := memory.RuntimeLimit(mb); n > 0 {
		debug.SetMemoryLimit(n)
	}
}

func runServeCmd(_ context.Context, e *ioStreams, path string) error {
	s, err := settings.Load(path)
	if err != nil {
		return errors.Join(errBadInput, err)
	}
	limitMemory(s.Limits.MemoryMB)
	h, lines := logging.New(e.output, s.Level())
	defer func() { _ = lines.Close() }()
	l := slog.New(h).With("box", s.Box)
	b, err := linetiller.New(s, linetiller.WithLog(l))
	if err != nil {
		return err
	}
	// The context that Main cancels on SIGINT is not used: on the first signal the box finishes the
	// requests in progress, and only on the second one it stops.
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	defer watchSettings(ctx, path, b.Reload)()
	signals := make(chan os.Signal, 2)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
	defer signal.Stop(signals)
	unfinished := make(chan int, 1)
	go func() {
		<-signals
		b.Leave()
		<-signals
		unfinished <- b.InProgress()
		cancel()
	}()
	err = b.Serve(ctx)
	select {
	case n := <-unfinished:
		return errors.Join(err, fmt.Errorf("stopped with %d requests unfinished", n))
	default:
		return err
	}
}
