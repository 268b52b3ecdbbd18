package experiment

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"text/tabwriter"

	"github.com/urfave/cli/v3"
)

// journalEntry holds the listed fields of the report of a run on the users' benchmark.
type journalEntry struct {
	At      []string     `json:"at"` // start and end times
	Command string       `json:"cmd"`
	Days    []journalDay `json:"days"`
	Commit  string       `json:"head"` // commit that was run
	ID      string       `json:"id"`
	Site    string       `json:"site"`
	Reason  string       `json:"why"`
}

// journalDay is one day of a run.
type journalDay struct {
	Fault       *string        `json:"fault"` // fault that ended the day early, or nil
	Name        string         `json:"name"`
	BrokenRules map[string]any `json:"rules"` // violated rules, by name
	Worth       float64        `json:"G"`     // share of the worth owed, net of prices
}

// journalFilter selects the runs to be listed. Empty fields match all runs.
type journalFilter struct {
	failed bool   // only runs with a violated rule or a fault
	day    string // prefix of the name of a day of the run
	commit string // prefix of the commit hash
	site   string // prefix of the site name
	reason string // substring of the reason
}

// commitDigits is the number of digits of a commit hash that are printed.
const commitDigits = 7

func newJournalCommand() *cli.Command {
	return &cli.Command{
		Name:        "journal",
		Usage:       "list the runs on the users' benchmark, the oldest first",
		Description: "Each line describes a run: start time, ID, site, command, commit, number of days, mean worth, violated rules, reason.",
		Flags: []cli.Flag{
			&cli.BoolFlag{Name: "broken", Usage: "only runs with a violated rule or a fault"},
			&cli.StringFlag{Name: "day", Usage: "only runs with a day whose name begins with `NAME`"},
			&cli.StringFlag{Name: "folder", Usage: "`FOLDER` with the reports", Value: "journal"},
			&cli.StringFlag{Name: "head", Usage: "only runs of the commit whose hash begins with `COMMIT`"},
			&cli.StringFlag{Name: "site", Usage: "only runs on sites whose name begins with `NAME`"},
			&cli.StringFlag{Name: "why", Usage: "only runs whose reason contains `TEXT`"},
		},
		Action: func(_ context.Context, c *cli.Command) error {
			f := journalFilter{failed: c.Bool("broken"), day: c.String("day"), commit: c.String("head"), site: c.String("site"), reason: c.String("why")}
			l, err := readJournal(c.String("folder"), &f)
			if err != nil {
				return err
			}
			return printJournal(c.Root().Writer, l)
		},
	}
}

// printJournal prints a line for each run.
func printJournal(w io.Writer, l []*journalEntry) error {
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	for _, e := range l {
		_, _ = fmt.Fprintf(t, "%s\t%s\t%s\t%s\t%.*s\t%d days\t%.3f\t%s\t%s\n",
			e.At[0], e.ID, e.Site, e.Command, commitDigits, e.Commit, len(e.Days), e.meanWorth(), strings.Join(e.violations(), ","), e.Reason)
	}
	return t.Flush()
}

// readJournal returns the runs that match a filter, the oldest first.
func readJournal(folder string, f *journalFilter) ([]*journalEntry, error) {
	paths, err := filepath.Glob(filepath.Join(folder, "*.json"))
	if err != nil {
		return nil, err
	}
	slices.Sort(paths) // file names begin with the start time
	var l []*journalEntry
	for _, p := range paths {
		e, err := readJournalEntry(p)
		if err != nil {
			return nil, err
		}
		if f.matches(e) {
			l = append(l, e)
		}
	}
	return l, nil
}

// readJournalEntry reads the report of one run.
func readJournalEntry(path string) (*journalEntry, error) {
	b, err := os.ReadFile(path)
	if err != nil {
		return nil, err
	}
	e := new(journalEntry)
	if err := json.Unmarshal(b, e); err != nil {
		return nil, fmt.Errorf("%s: %w", path, err)
	}
	if len(e.At) == 0 {
		return nil, fmt.Errorf("%s: start time missing", path)
	}
	return e, nil
}

// matches reports whether the filter selects a run.
func (f *journalFilter) matches(e *journalEntry) bool {
	matchesDay := func(d journalDay) bool { return strings.HasPrefix(d.Name, f.day) }
	return strings.HasPrefix(e.Site, f.site) && strings.HasPrefix(e.Commit, f.commit) && strings.Contains(e.Reason, f.reason) &&
		(f.day == "" || slices.ContainsFunc(e.Days, matchesDay)) && (!f.failed || len(e.violations()) > 0)
}

// meanWorth returns the mean worth of the days of the run, and 0 without days.
func (e *journalEntry) meanWorth() float64 {
	if len(e.Days) == 0 {
		return 0
	}
	s := 0.0
	for _, d := range e.Days {
		s += d.Worth
	}
	return s / float64(len(e.Days))
}

// violations returns the sorted names of the rules that were violated on any day of the run, with
// "fault" among them if a fault ended a day.
func (e *journalEntry) violations() []string {
	var l []string
	for _, d := range e.Days {
		for r := range d.BrokenRules {
			l = append(l, r)
		}
		if d.Fault != nil {
			l = append(l, "fault")
		}
	}
	slices.Sort(l)
	return slices.Compact(l)
}
