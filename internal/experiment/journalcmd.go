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

// journalEntry is what the journal's list tells of a run on the users' bench.
type journalEntry struct {
	At      []string     `json:"at"` // when it began and ended
	Command string       `json:"cmd"`
	Days    []journalDay `json:"days"`
	Commit  string       `json:"head"` // the commit that was played
	ID      string       `json:"id"`
	Site    string       `json:"site"`
	Reason  string       `json:"why"`
}

// journalDay is one day of a run.
type journalDay struct {
	Fault       *string        `json:"fault"` // what ended it, nil for nothing
	Name        string         `json:"name"`
	BrokenRules map[string]any `json:"rules"` // that were broken
	Worth       float64        `json:"G"`     // after prices
}

// journalFilter says which runs are listed; what is empty lets all through.
type journalFilter struct {
	failed bool   // only runs in which a rule was broken, or that a fault ended
	day    string // the beginning of the name of a day that was played
	commit string // the beginning of the commit
	site   string // the beginning of the site's name
	reason string // words of the reason
}

// commitDigits is how much of a commit's name is printed.
const commitDigits = 7

func newJournalCommand() *cli.Command {
	return &cli.Command{
		Name:        "journal",
		Usage:       "list the runs on the users' bench, the oldest first",
		Description: "Each run is a line: when, its id, site, command, commit, days with their mean worth, broken rules, why.",
		Flags: []cli.Flag{
			&cli.BoolFlag{Name: "broken", Usage: "only runs in which a rule was broken or that a fault ended"},
			&cli.StringFlag{Name: "day", Usage: "only runs of days whose names begin with `NAME`"},
			&cli.StringFlag{Name: "folder", Usage: "`FOLDER` of the reports", Value: "journal"},
			&cli.StringFlag{Name: "head", Usage: "only runs of the `COMMIT`"},
			&cli.StringFlag{Name: "site", Usage: "only runs of sites whose names begin with `NAME`"},
			&cli.StringFlag{Name: "why", Usage: "only runs whose reason holds `WORDS`"},
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

// printJournal writes a line for each run.
func printJournal(w io.Writer, l []*journalEntry) error {
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	for _, e := range l {
		_, _ = fmt.Fprintf(t, "%s\t%s\t%s\t%s\t%.*s\t%d days\t%.3f\t%s\t%s\n",
			e.At[0], e.ID, e.Site, e.Command, commitDigits, e.Commit, len(e.Days), e.meanWorth(), strings.Join(e.violations(), ","), e.Reason)
	}
	return t.Flush()
}

// readJournal returns the runs that a filter lets through, the oldest first.
func readJournal(folder string, f *journalFilter) ([]*journalEntry, error) {
	paths, err := filepath.Glob(filepath.Join(folder, "*.json"))
	if err != nil {
		return nil, err
	}
	slices.Sort(paths) // names begin with the time
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
		return nil, fmt.Errorf("%s: no time", path)
	}
	return e, nil
}

// matches reports whether a run is listed.
func (f *journalFilter) matches(e *journalEntry) bool {
	played := func(d journalDay) bool { return strings.HasPrefix(d.Name, f.day) }
	return strings.HasPrefix(e.Site, f.site) && strings.HasPrefix(e.Commit, f.commit) && strings.Contains(e.Reason, f.reason) &&
		(f.day == "" || slices.ContainsFunc(e.Days, played)) && (!f.failed || len(e.violations()) > 0)
}

// violations returns the rules that were broken on any day of the run, and "fault" where one
// ended a day.
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

// meanWorth returns the mean worth of the run's days, 0 where it has none.
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
