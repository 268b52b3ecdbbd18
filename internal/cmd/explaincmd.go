package cmd

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"os"

	"github.com/urfave/cli/v3"

	"github.com/linetiller/linetiller/internal/explain"
)

func newExplainCmd(e *ioStreams) *cli.Command {
	return &cli.Command{
		Name:      "explain",
		Usage:     "show what happened to a request",
		ArgsUsage: "ID [FILE...]",
		Description: "Reads the logs of boxes from the files, or from standard input if there are none, and shows what happened " +
			"to the request with this ID, step by step, and why it ended as it did.",
		Flags: []cli.Flag{outputFlag()},
		Action: func(_ context.Context, c *cli.Command) error {
			if c.Args().Len() == 0 {
				return errors.Join(errBadInput, errors.New("explain takes the ID of a request"))
			}
			return runExplainCmd(e, c.Args().First(), c.Args().Tail(), c.String(flagOutput))
		},
	}
}

func runExplainCmd(e *ioStreams, id string, files []string, format string) error {
	lines, err := readLogs(e, files)
	if err != nil {
		return errors.Join(errBadInput, err)
	}
	t, err := explain.NewTimeline(lines, id)
	if err != nil {
		return fmt.Errorf("%s: %w", id, err)
	}
	if format == outputJSON {
		return json.NewEncoder(e.output).Encode(t)
	}
	_, err = io.WriteString(e.output, t.String())
	return err
}

// readLogs reads the logs in files, or standard input if there are none.
func readLogs(e *ioStreams, files []string) ([]explain.Line, error) {
	if len(files) == 0 {
		return explain.Read(e.input)
	}
	var all []explain.Line
	for _, n := range files {
		f, err := os.Open(n)
		if err != nil {
			return nil, err
		}
		l, err := explain.Read(f)
		_ = f.Close()
		if err != nil {
			return nil, fmt.Errorf("%s: %w", n, err)
		}
		all = append(all, l...)
	}
	return all, nil
}
