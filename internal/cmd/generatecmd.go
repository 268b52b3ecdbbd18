package cmd

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"strings"

	"github.com/urfave/cli/v3"

	"github.com/linetiller/linetiller/internal/client"
)

func newGenerateCmd(e *ioStreams) *cli.Command {
	return &cli.Command{
		Name:      "generate",
		Usage:     "request a generation and print it as it arrives",
		ArgsUsage: "PROMPT",
		Description: "If a box is lost mid-stream, the generation continues at the next one: repeat --box to name " +
			"several. With --key, the request runs at most once, however often it is sent.",
		Flags: []cli.Flag{
			&cli.StringSliceFlag{
				Name: "box", Usage: "`URL` of a box's client address; may be repeated",
				Sources: cli.EnvVars("LINETILLER_BOXES"), Value: []string{"http://127.0.0.1:8080"},
			},
			&cli.StringFlag{Name: "workspace-key", Usage: "the workspace's bearer `KEY`", Sources: cli.EnvVars("LINETILLER_WORKSPACE_KEY"), Required: true},
			&cli.StringFlag{Name: "model", Usage: "the `NAME` of the model", Required: true},
			&cli.StringFlag{Name: "key", Usage: "the request `KEY`"},
			&cli.StringFlag{Name: "deadline", Usage: "`TIME` within which the answer must be complete, such as 30s"},
			&cli.StringFlag{Name: "priority", Usage: "the `NAME` of the priority"},
			&cli.StringFlag{Name: "kind", Usage: "`WORD` that groups requests of similar length"},
			&cli.IntFlag{Name: "max-tokens", Usage: "maximum number of output tokens"},
			outputFlag(),
		},
		Action: func(ctx context.Context, c *cli.Command) error {
			if c.Args().Len() == 0 {
				return errors.Join(errBadInput, errors.New("generate takes a PROMPT"))
			}
			g := &client.Generator{Boxes: c.StringSlice("box"), HTTP: &http.Client{}, Key: c.String("workspace-key")}
			return runGenerateCmd(ctx, e, g, &client.GenerationRequest{
				Deadline: c.String("deadline"), Key: c.String("key"), Kind: c.String("kind"), MaxTokens: c.Int("max-tokens"),
				Model: c.String("model"), Priority: c.String("priority"), Prompt: strings.Join(c.Args().Slice(), " "),
			}, c.String(flagOutput))
		},
	}
}

// generateOutput is one line of the JSON output.
type generateOutput struct {
	Boxes  int    `json:"boxes,omitempty"`  // last line only: number of boxes that were asked
	Finish string `json:"finish,omitempty"` // last line only: why the generation ended
	ID     string `json:"id,omitempty"`
	Text   string `json:"text,omitempty"`
}

func runGenerateCmd(ctx context.Context, e *ioStreams, g *client.Generator, a *client.GenerationRequest, format string) error {
	j := json.NewEncoder(e.output)
	g.OnToken = func(id, text string) error {
		if format == outputJSON {
			return j.Encode(generateOutput{ID: id, Text: text})
		}
		_, err := fmt.Fprint(e.output, text)
		return err
	}
	finish, boxes, err := g.Run(ctx, a)
	if format == outputJSON && err == nil {
		return j.Encode(generateOutput{Boxes: boxes, Finish: finish})
	}
	_, _ = fmt.Fprintln(e.output)
	return err
}
