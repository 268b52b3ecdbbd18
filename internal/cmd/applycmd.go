package cmd

import (
	"context"
	"errors"
	"fmt"
	"io"
	"os"
	"slices"
	"time"

	"github.com/urfave/cli/v3"

	"github.com/linetiller/linetiller/internal/operator"
	"github.com/linetiller/linetiller/internal/resource"
)

// inForcePollInterval is the pause between two queries for whether a resource is in force.
const inForcePollInterval = 200 * time.Millisecond

func newApplyCmd(e *ioStreams) *cli.Command {
	return &cli.Command{
		Name:  "apply",
		Usage: "create or replace the resources in a file",
		Flags: append(operatorFlags(),
			&cli.StringFlag{Name: "file", Aliases: []string{"f"}, Usage: "`FILE` of resources in JSON, - for standard input", Required: true},
			&cli.DurationFlag{Name: "wait", Usage: "wait up to `TIME` until they are in force at every box"},
		),
		Action: func(ctx context.Context, c *cli.Command) error {
			return runApplyCmd(ctx, e, newOperatorClient(c), c.String("file"), c.Duration("wait"))
		},
	}
}

func runApplyCmd(ctx context.Context, e *ioStreams, o *operator.Client, path string, wait time.Duration) error {
	l, err := readResources(e, path)
	if err != nil {
		return err
	}
	slices.SortStableFunc(l, func(a, b *resource.Resource) int {
		return slices.Index(resource.Kinds, a.Kind) - slices.Index(resource.Kinds, b.Kind)
	})
	for _, r := range l {
		a, cancel := context.WithTimeout(ctx, requestTimeout)
		v, err := o.Apply(a, r)
		cancel()
		if err != nil {
			return fmt.Errorf("%s %s: %w", r.Kind, r.Metadata.Name, err)
		}
		_, _ = fmt.Fprintf(e.output, "%s %s at version %s\n", v.Kind, v.Metadata.Name, v.Metadata.ResourceVersion)
	}
	if wait == 0 {
		return nil
	}
	ctx, cancel := context.WithTimeout(ctx, wait)
	defer cancel()
	for _, r := range l {
		if err := waitInForce(ctx, o, r); err != nil {
			return err
		}
		_, _ = fmt.Fprintf(e.output, "%s %s in force at every box\n", r.Kind, r.Metadata.Name)
	}
	return nil
}

// readResources reads the resources in a file. The error lists every fault of the file.
func readResources(e *ioStreams, path string) ([]*resource.Resource, error) {
	b, err := readFile(e, path)
	if err != nil {
		return nil, errors.Join(errBadInput, err)
	}
	l, faults := resource.Read(b)
	if len(faults) > 0 {
		return nil, errors.Join(errBadInput, faults.ErrorIn(path))
	}
	return l, nil
}

// readFile reads a file, or standard input if path is "-".
func readFile(e *ioStreams, path string) ([]byte, error) {
	if path == "-" {
		return io.ReadAll(e.input)
	}
	return os.ReadFile(path)
}

// waitInForce polls until every box has the resource in force. If ctx ends first, the error says
// what the last poll returned.
func waitInForce(ctx context.Context, o *operator.Client, r *resource.Resource) error {
	last := "no answer yet"
	for {
		v, err := o.Get(ctx, r.Kind, r.Metadata.Name)
		switch {
		case err != nil:
			last = err.Error()
		case len(v.Status.Conditions) > 0 && v.Status.Conditions[0].Status == "True":
			return nil
		case len(v.Status.Conditions) > 0:
			last = v.Status.Conditions[0].Message
		}
		select {
		case <-ctx.Done():
			return fmt.Errorf("%s %s is not in force at every box: %s", r.Kind, r.Metadata.Name, last)
		case <-time.After(inForcePollInterval):
		}
	}
}
