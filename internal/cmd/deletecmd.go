package cmd

import (
	"context"
	"errors"
	"fmt"

	"github.com/urfave/cli/v3"

	"github.com/linetiller/linetiller/internal/operator"
	"github.com/linetiller/linetiller/internal/resource"
)

func newDeleteCmd(e *ioStreams) *cli.Command {
	return &cli.Command{
		Name:      "delete",
		Usage:     "remove a resource",
		ArgsUsage: "KIND NAME",
		Flags:     operatorFlags(),
		Action: func(ctx context.Context, c *cli.Command) error {
			if c.Args().Len() != 2 {
				return errors.Join(errBadInput, errors.New("delete takes KIND and NAME"))
			}
			return runDeleteCmd(ctx, e, newOperatorClient(c), resource.Kind(c.Args().Get(0)), c.Args().Get(1))
		},
	}
}

func runDeleteCmd(ctx context.Context, e *ioStreams, o *operator.Client, k resource.Kind, name string) error {
	ctx, cancel := context.WithTimeout(ctx, requestTimeout)
	defer cancel()
	if err := o.Delete(ctx, k, name); err != nil {
		return fmt.Errorf("%s %s: %w", k, name, err)
	}
	_, err := fmt.Fprintf(e.output, "%s %s deleted\n", k, name)
	return err
}
