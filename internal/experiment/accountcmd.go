package experiment

import (
	"context"
	"errors"
	"fmt"

	"github.com/urfave/cli/v3"

	"github.com/linetiller/linetiller/internal/account"
)

func newAccountCommand() *cli.Command {
	return &cli.Command{
		Name:      "account",
		Usage:     "attribute the worth lost in a day on the users' benchmark to causes",
		ArgsUsage: "LOG...",
		Description: "LOG names the logs of all boxes, as the benchmark prints them with --log all. The logs count attempts, " +
			"including retries; these counts are scaled to the numbers of requests in the report.",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "site", Usage: "`FILE` that describes the site", Required: true},
			&cli.StringFlag{Name: "report", Usage: "`FILE` with the report of the day", Required: true},
			&cli.StringFlag{Name: "by", Usage: "also print attempts grouped by `KEY`: hall, window or size"},
		},
		Action: printAccount,
	}
}

// printAccount prints the lost worth of a day by cause, and optionally the lost attempts by group.
func printAccount(_ context.Context, c *cli.Command) error {
	s, err := account.ReadSite(c.String("site"))
	if err != nil {
		return err
	}
	r, err := account.ReadReport(c.String("report"))
	if err != nil {
		return err
	}
	l, err := account.ReadLog(c.Args().Slice())
	if err != nil {
		return err
	}
	a := account.NewBreakdown(c.String("report"), r, s, l)
	w := c.Root().Writer
	if err := a.Print(w); err != nil {
		return err
	}
	switch c.String("by") {
	case "":
		return nil
	case "hall":
		return a.PrintAttempts(w, account.ByHall)
	case "size":
		return account.PrintSizes(w, l.Sizes(s, r))
	case "window":
		if len(a.Attempts) == 0 {
			return errors.New("no attempt was lost")
		}
		return a.PrintAttempts(w, account.ByWindow(a.Attempts[0].EndedAt))
	}
	return fmt.Errorf("cannot group attempts by %q: want hall, window or size", c.String("by"))
}
