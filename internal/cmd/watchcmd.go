package cmd

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"

	"github.com/urfave/cli/v3"

	"github.com/linetiller/linetiller/internal/operator"
	"github.com/linetiller/linetiller/internal/resource"
)

func newWatchCmd(e *ioStreams) *cli.Command {
	return &cli.Command{
		Name:      "watch",
		Usage:     "show changes of resources as they take effect",
		ArgsUsage: "[KIND]",
		Flags: append(operatorFlags(), outputFlag(),
			&cli.StringFlag{Name: "after", Usage: "show the changes after `VERSION`", Value: "0"},
			&cli.IntFlag{Name: "count", Usage: "exit after `N` changes"},
		),
		Action: func(ctx context.Context, c *cli.Command) error {
			return runWatchCmd(ctx, e, newOperatorClient(c), resource.Kind(c.Args().Get(0)), c.String("after"), c.String(flagOutput), c.Int("count"))
		},
	}
}

// errCountReached ends a watch that has shown the number of changes that --count asks for.
var errCountReached = errors.New("requested number of changes shown")

func runWatchCmd(ctx context.Context, e *ioStreams, o *operator.Client, k resource.Kind, after, format string, count int) error {
	n := 0
	err := o.Watch(ctx, k, after, func(v *operator.WatchEvent) error {
		if v.Type == operator.WatchBookmark {
			return nil
		}
		n++
		if err := printWatchEvent(ctx, e, o, v, format); err != nil {
			return err
		}
		if n == count {
			return errCountReached
		}
		return nil
	})
	if errors.Is(err, errCountReached) || ctx.Err() != nil {
		return nil
	}
	return err
}

func printWatchEvent(ctx context.Context, e *ioStreams, o *operator.Client, v *operator.WatchEvent, format string) error {
	if format == outputJSON {
		return json.NewEncoder(e.output).Encode(v)
	}
	m := v.Resource.Metadata
	s := ""
	if v.Type == operator.WatchApplied {
		s = statusText(ctx, o, v.Resource)
	}
	_, err := fmt.Fprintf(e.output, "%s %s %s version %s%s\n", v.Type, v.Resource.Kind, m.Name, v.Revision, s)
	return err
}

// statusText returns the conditions of a resource, and for each hall at how many of its boxes the
// resource is in force. It is empty if the status cannot be read.
func statusText(ctx context.Context, o *operator.Client, r *resource.Resource) string {
	ctx, cancel := context.WithTimeout(ctx, requestTimeout)
	defer cancel()
	x, err := o.Get(ctx, r.Kind, r.Metadata.Name)
	if err != nil || x.Status == nil {
		return ""
	}
	s := ""
	for _, c := range x.Status.Conditions {
		s += fmt.Sprintf(" %s=%s", c.Type, c.Status)
	}
	for _, h := range x.Status.Halls {
		s += fmt.Sprintf(" %s=%d/%d", h.Hall, h.InForce, h.Boxes)
	}
	return s
}
