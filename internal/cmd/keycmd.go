package cmd

import (
	"context"
	"crypto/rand"
	"fmt"

	"github.com/urfave/cli/v3"

	"github.com/linetiller/linetiller/internal/resource"
)

func newKeyCmd(e *ioStreams) *cli.Command {
	return &cli.Command{
		Name:        "key",
		Usage:       "create a bearer key and the hash that declares it",
		Description: "The key is shown once; only its hash goes into a Workspace or the settings.",
		Action:      func(context.Context, *cli.Command) error { return runKeyCmd(e) },
	}
}

func runKeyCmd(e *ioStreams) error {
	k := "lt-" + rand.Text()
	_, err := fmt.Fprintf(e.output, "key  %s\nhash %s\n", k, resource.HashKey(k))
	return err
}
