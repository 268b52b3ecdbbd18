package account

import (
	"fmt"
	"io"
	"maps"
	"slices"
	"text/tabwriter"
	"time"
)

// windowLength is the length of the time windows of ByWindow.
const windowLength = 5 * time.Second

// Print writes a table of the causes, with the share of the worth owed that each cost and the number
// of requests by class.
func (b *Breakdown) Print(w io.Writer) error {
	classes := make(map[string]bool)
	for _, x := range b.Losses {
		for k := range x.Requests {
			classes[k] = true
		}
	}
	names := slices.Sorted(maps.Keys(classes))
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	_, _ = fmt.Fprint(t, b.Day, "\tworth\t")
	for _, n := range names {
		_, _ = fmt.Fprintf(t, "%s\t", n)
	}
	_, _ = fmt.Fprintln(t)
	for _, x := range b.Losses {
		_, _ = fmt.Fprintf(t, "%s\t%.4f\t", x.Cause, x.WorthShare)
		for _, n := range names {
			_, _ = fmt.Fprintf(t, "%.1f\t", x.Requests[n])
		}
		_, _ = fmt.Fprintln(t)
	}
	_, _ = fmt.Fprintf(t, "lost\t%.4f\t\n", b.LostShare)
	_, _ = fmt.Fprintf(t, "waits that ended unserved, by their length\t%.4f\t\n", b.UnservedWaitShare)
	return t.Flush()
}

// PrintAttempts writes a table of the number of attempts by cause and group.
func (b *Breakdown) PrintAttempts(w io.Writer, group func(t *Attempt) string) error {
	counts, groups := make(map[Cause]map[string]int), make(map[string]bool)
	for i := range b.Attempts {
		t := &b.Attempts[i]
		g := group(t)
		groups[g] = true
		if counts[t.Cause] == nil {
			counts[t.Cause] = make(map[string]int)
		}
		counts[t.Cause][g]++
	}
	names := slices.Sorted(maps.Keys(groups))
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	_, _ = fmt.Fprint(t, "tries\t")
	for _, n := range names {
		_, _ = fmt.Fprintf(t, "%s\t", n)
	}
	_, _ = fmt.Fprintln(t)
	for _, c := range slices.Sorted(maps.Keys(counts)) {
		_, _ = fmt.Fprintf(t, "%s\t", c)
		for _, n := range names {
			_, _ = fmt.Fprintf(t, "%d\t", counts[c][n])
		}
		_, _ = fmt.Fprintln(t)
	}
	return t.Flush()
}

// ByHall groups attempts by the hall of their box.
func ByHall(t *Attempt) string { return t.Hall }

// ByWindow returns a function that groups attempts by the time window in which they ended, counted
// in seconds since from.
func ByWindow(from time.Time) func(t *Attempt) string {
	return func(t *Attempt) string {
		return fmt.Sprintf("%3d s", int(t.EndedAt.Sub(from)/windowLength)*int(windowLength/time.Second))
	}
}
