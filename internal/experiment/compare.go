package experiment

import (
	"cmp"
	"fmt"
	"io"
	"slices"
	"text/tabwriter"
)

// Spread summarizes the values of one measure over several runs.
type Spread struct {
	Count          int
	Min, Mean, Max float64
}

// Difference holds the spreads of one measure of one day for two versions.
type Difference struct {
	After, Before Spread
	Day           string
	Measure       string
	Site          string
}

// Disjoint reports whether the value ranges of the two versions do not overlap. A difference between
// overlapping ranges may be due to chance.
func (d *Difference) Disjoint() bool {
	return d.After.Min > d.Before.Max || d.After.Max < d.Before.Min
}

// Compare returns the differences of the measures that both versions have, sorted by site, day and
// measure.
func Compare(before, after []Row) []Difference {
	type key struct{ site, day, measure string }
	group := func(rows []Row) map[key][]float64 {
		m := make(map[key][]float64)
		for _, r := range rows {
			k := key{r.Site, r.Day, r.Measure}
			m[k] = append(m[k], r.Value)
		}
		return m
	}
	b, a := group(before), group(after)
	var l []Difference
	for k, v := range b {
		if w := a[k]; w != nil {
			l = append(l, Difference{After: newSpread(w), Before: newSpread(v), Day: k.day, Measure: k.measure, Site: k.site})
		}
	}
	slices.SortFunc(l, func(x, y Difference) int {
		return cmp.Or(cmp.Compare(x.Site, y.Site), cmp.Compare(x.Day, y.Day), cmp.Compare(x.Measure, y.Measure))
	})
	return l
}

// PrintDifferences prints the spreads of two versions side by side. A star marks differences whose
// ranges are disjoint.
func PrintDifferences(l []Difference, output io.Writer) error {
	w := tabwriter.NewWriter(output, 0, 0, 2, ' ', 0)
	_, _ = fmt.Fprintln(w, "site\tday\tmeasure\tbefore\tafter\tchange\t")
	for i := range l {
		d := &l[i]
		mark := ""
		if d.Disjoint() {
			mark = "*"
		}
		_, _ = fmt.Fprintf(w, "%s\t%s\t%s\t%v\t%v\t%+.4f\t%s\n", d.Site, d.Day, d.Measure, d.Before, d.After, d.After.Mean-d.Before.Mean, mark)
	}
	return w.Flush()
}

// String formats the mean, the minimum, the maximum and the number of values.
func (s Spread) String() string {
	return fmt.Sprintf("%.4f (%.4f-%.4f, %d)", s.Mean, s.Min, s.Max, s.Count)
}

// newSpread returns the spread of values, of which there must be at least one.
func newSpread(v []float64) Spread {
	s := Spread{Count: len(v), Min: slices.Min(v), Max: slices.Max(v)}
	for _, x := range v {
		s.Mean += x / float64(len(v))
	}
	return s
}
