package cmd

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"text/tabwriter"

	"github.com/urfave/cli/v3"

	"github.com/linetiller/linetiller/internal/operator"
	"github.com/linetiller/linetiller/internal/resource"
)

func newGetCmd(e *ioStreams) *cli.Command {
	return &cli.Command{
		Name:      "get",
		Usage:     "show resources and at how many boxes they are in force",
		ArgsUsage: "KIND [NAME]",
		Flags:     append(operatorFlags(), outputFlag()),
		Action: func(ctx context.Context, c *cli.Command) error {
			if c.Args().Len() < 1 || c.Args().Len() > 2 {
				return errors.Join(errBadInput, errors.New("get takes KIND and, for one resource, NAME"))
			}
			return runGetCmd(ctx, e, newOperatorClient(c), resource.Kind(c.Args().Get(0)), c.Args().Get(1), c.String(flagOutput))
		},
	}
}

func runGetCmd(ctx context.Context, e *ioStreams, o *operator.Client, k resource.Kind, name, format string) error {
	ctx, cancel := context.WithTimeout(ctx, requestTimeout)
	defer cancel()
	if name != "" {
		r, err := o.Get(ctx, k, name)
		if err != nil {
			return err
		}
		return printResource(e, r, format)
	}
	l, err := o.List(ctx, k)
	if err != nil {
		return err
	}
	if format == outputJSON {
		return printJSON(e, l)
	}
	w := tabwriter.NewWriter(e.output, 0, 0, 2, ' ', 0)
	_, _ = fmt.Fprintln(w, "NAME\tVERSION\tGENERATION")
	for _, r := range l.Items {
		_, _ = fmt.Fprintf(w, "%s\t%s\t%d\n", r.Metadata.Name, r.Metadata.ResourceVersion, r.Metadata.Generation)
	}
	return w.Flush()
}

func printJSON(e *ioStreams, v any) error {
	j := json.NewEncoder(e.output)
	j.SetIndent("", "  ")
	return j.Encode(v)
}

func printResource(e *ioStreams, r *resource.Resource, format string) error {
	if format == outputJSON {
		return printJSON(e, r)
	}
	_, _ = fmt.Fprintf(e.output, "%s %s version %s generation %d\n", r.Kind, r.Metadata.Name, r.Metadata.ResourceVersion, r.Metadata.Generation)
	_, _ = fmt.Fprintf(e.output, "spec: %s\n", r.Spec)
	for _, c := range r.Status.Conditions {
		_, _ = fmt.Fprintf(e.output, "%s: %s (%s) %s\n", c.Type, c.Status, c.Reason, c.Message)
	}
	w := tabwriter.NewWriter(e.output, 0, 0, 2, ' ', 0)
	_, _ = fmt.Fprintln(w, "HALL\tBOXES\tIN FORCE\tUNKNOWN")
	for _, h := range r.Status.Halls {
		_, _ = fmt.Fprintf(w, "%s\t%d\t%d\t%d\n", h.Hall, h.Boxes, h.InForce, h.Unknown)
	}
	return w.Flush()
}
