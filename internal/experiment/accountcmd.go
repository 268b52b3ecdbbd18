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
		Usage:     "say where the worth of a day on the users' bench went, by cause",
		ArgsUsage: "LOG...",
		Description: "The logs are those of all boxes, as the bench prints them with --log all. Of causes that " +
			"strike tries which are made again, the requests are taken in proportion to the report's.",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "site", Usage: "the site's `FILE`", Required: true},
			&cli.StringFlag{Name: "report", Usage: "the day's report, a `FILE`", Required: true},
			&cli.StringFlag{Name: "by", Usage: "also the tries by `WHAT`: hall, window or size"},
		},
		Action: printAccount,
	}
}

// printAccount prints the account of a day.
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
			return errors.New("no try was lost")
		}
		return a.PrintAttempts(w, account.ByWindow(a.Attempts[0].Ended))
	}
	return fmt.Errorf("tries are told by hall, window or size, not by %q", c.String("by"))
}
