// Package cmd implements the commands of linetiller, with one file for each command.
package cmd

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"os/signal"
	"syscall"
	"time"

	"github.com/joomcode/errorx"
	"github.com/urfave/cli/v3"

	"github.com/linetiller/linetiller/internal/fail"
	"github.com/linetiller/linetiller/internal/operator"
)

// The exit codes of the program.
const (
	ExitOK          = 0
	ExitFailure     = 1 // any other error
	ExitBadInput    = 2 // the command line, the settings or a resource are invalid
	ExitConflict    = 3 // a resource was changed by another write, or is still referenced
	ExitNotRun      = 4 // the request did not run and can be retried safely
	ExitInterrupted = 5 // the request started and did not finish, or its outcome is unknown
	ExitUnavailable = 6 // the box or the platform's store could not be reached
)

// ioStreams are the standard streams of a command.
type ioStreams struct {
	errorOutput io.Writer
	input       io.Reader
	output      io.Writer
}

const (
	requestTimeout  = 15 * time.Second
	flagOperator    = "operator"
	flagOperatorKey = "operator-key"
	flagOutput      = "output"
	outputJSON      = "json"
	outputText      = "text"
)

// errBadInput marks errors of the command line or of a file that it names.
var errBadInput = errors.New("bad input")

// Main runs one command and returns its exit code. Errors are printed to errorOutput. SIGINT cancels
// the command.
func Main(arguments []string, input io.Reader, output, errorOutput io.Writer) int {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGINT)
	defer stop()
	e := &ioStreams{errorOutput: errorOutput, input: input, output: output}
	err := newCommand(e).Run(ctx, arguments)
	if err != nil {
		_, _ = fmt.Fprintln(errorOutput, "linetiller:", err)
	}
	return exitCode(err)
}

func newCommand(e *ioStreams) *cli.Command {
	return &cli.Command{
		Name:                  "linetiller",
		Usage:                 "serve text generations of unknown length on busy engines",
		EnableShellCompletion: true,
		ExitErrHandler:        func(context.Context, *cli.Command, error) {},
		ErrWriter:             e.errorOutput,
		Writer:                e.output,
		OnUsageError: func(_ context.Context, _ *cli.Command, err error, _ bool) error {
			return errors.Join(errBadInput, err)
		},
		Action: func(_ context.Context, c *cli.Command) error {
			if c.Args().Present() {
				return errors.Join(errBadInput, fmt.Errorf("there is no command %q", c.Args().First()))
			}
			return cli.ShowRootCommandHelp(c)
		},
		Commands: []*cli.Command{
			newServeCmd(e), newApplyCmd(e), newGetCmd(e), newWatchCmd(e), newDeleteCmd(e),
			newGenerateCmd(e), newCheckCmd(e), newExplainCmd(e), newCertificateCmd(e), newKeyCmd(e),
		},
	}
}

func exitCode(err error) int {
	var p *operator.Problem
	switch {
	case err == nil:
		return ExitOK
	case errors.As(err, &p):
		return problemExitCode(p)
	case errors.Is(err, errBadInput), errorx.IsOfType(err, fail.BadInput):
		return ExitBadInput
	case errorx.IsOfType(err, fail.NotRun):
		return ExitNotRun
	case errorx.IsOfType(err, fail.Interrupted), errorx.IsOfType(err, fail.Unknown):
		return ExitInterrupted
	case errorx.IsOfType(err, fail.Unavailable):
		return ExitUnavailable
	}
	return ExitFailure
}

func problemExitCode(p *operator.Problem) int {
	switch p.Code {
	case "raced", "resource_used", "stale_version":
		return ExitConflict
	case "bad_json", "bad_resource", "body_too_large":
		return ExitBadInput
	case "platform_down", "platform_lost", "platform_slow":
		return ExitUnavailable
	}
	return ExitFailure
}

// operatorFlags returns the flags of the commands that call the operator interface.
func operatorFlags() []cli.Flag {
	return []cli.Flag{
		&cli.StringFlag{
			Name: flagOperator, Usage: "`URL` of a box's operator address",
			Sources: cli.EnvVars("LINETILLER_OPERATOR"), Value: "http://127.0.0.1:8081",
		},
		&cli.StringFlag{
			Name: flagOperatorKey, Usage: "the operators' `KEY`", Sources: cli.EnvVars("LINETILLER_OPERATOR_KEY"),
		},
	}
}

func outputFlag() cli.Flag {
	return &cli.StringFlag{
		Name: flagOutput, Aliases: []string{"o"}, Usage: "`FORMAT` of the output: text or json", Value: outputText,
		Validator: func(s string) error {
			if s != outputJSON && s != outputText {
				return fmt.Errorf("%q is neither %s nor %s", s, outputText, outputJSON)
			}
			return nil
		},
	}
}

func newOperatorClient(c *cli.Command) *operator.Client {
	return operator.NewClient(c.String(flagOperator), c.String(flagOperatorKey), &http.Client{})
}
