package cmd

import (
	"context"
	"errors"
	"fmt"
	"strings"

	"github.com/urfave/cli/v3"

	"github.com/linetiller/linetiller/internal/settings"
)

func newCheckCmd(e *ioStreams) *cli.Command {
	return &cli.Command{
		Name:        "check",
		Usage:       "check settings (.toml) and resource files (.json) without a box",
		ArgsUsage:   "FILE...",
		Description: "Each error is reported with its file, line and key.",
		Action: func(_ context.Context, c *cli.Command) error {
			if c.Args().Len() == 0 {
				return errors.Join(errBadInput, errors.New("check takes at least one FILE"))
			}
			return runCheckCmd(e, c.Args().Slice())
		},
	}
}

func runCheckCmd(e *ioStreams, paths []string) error {
	var all []error
	for _, p := range paths {
		if err := checkFile(e, p); err != nil {
			all = append(all, err)
			continue
		}
		_, _ = fmt.Fprintf(e.output, "%s: sound\n", p)
	}
	return errors.Join(all...)
}

// checkFile checks settings if path ends in .toml, and resources otherwise. The error has one line
// for each fault.
func checkFile(e *ioStreams, path string) error {
	if !strings.HasSuffix(path, ".toml") {
		_, err := readResources(e, path)
		return err
	}
	b, err := readFile(e, path)
	if err != nil {
		return errors.Join(errBadInput, err)
	}
	_, err = settings.Parse(b)
	var f settings.FieldErrors
	if !errors.As(err, &f) {
		return err
	}
	all := []error{errBadInput}
	for _, x := range f {
		all = append(all, fmt.Errorf("%s:%d: %s", path, x.Line, x))
	}
	return errors.Join(all...)
}
