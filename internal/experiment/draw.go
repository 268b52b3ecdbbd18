package experiment

import (
	"fmt"
	"slices"
	"strings"

	"github.com/linetiller/linetiller/internal/chart"
)

// The ways to draw rows.
const (
	ByClass = "class"
	ByDay   = "day"
	ByPrice = "price"
)

// minPrice is the share of the worth below which a price is not drawn.
const minPrice = 0.001

// chartData holds the values that are drawn, by version and place.
type chartData struct {
	categories []string
	values     map[string]map[string][]float64
	versions   []string
}

// Draw draws the rows of each version by day, class or price into a file.
func Draw(rows []Row, by, path string) error {
	category := categoryOf(by)
	if category == nil {
		return fmt.Errorf("%q is neither %s nor %s nor %s", by, ByDay, ByClass, ByPrice)
	}
	d := newChartData(rows, category)
	if len(d.categories) == 0 {
		return fmt.Errorf("no row holds a figure by %s", by)
	}
	if by == ByPrice {
		d.dropMinorPrices()
	}
	return chart.Bars(path, chart.Labels{Title: "Worth by " + by, Y: "share of what is owed"}, d.categories, d.series())
}

// newChartData sorts the values of rows by their version and place; rows without a
// place are left out.
func newChartData(rows []Row, category func(*Row) string) *chartData {
	d := &chartData{values: make(map[string]map[string][]float64)}
	for i := range rows {
		r := &rows[i]
		p := category(r)
		if p == "" {
			continue
		}
		if d.values[r.Version] == nil {
			d.values[r.Version] = make(map[string][]float64)
			d.versions = append(d.versions, r.Version)
		}
		if !slices.Contains(d.categories, p) {
			d.categories = append(d.categories, p)
		}
		d.values[r.Version][p] = append(d.values[r.Version][p], r.Value)
	}
	return d
}

// dropMinorPrices leaves out the prices that hardly cost anything in any version.
func (d *chartData) dropMinorPrices() {
	d.categories = slices.DeleteFunc(d.categories, func(p string) bool {
		for _, m := range d.values {
			if meanOf(m[p]) >= minPrice {
				return false
			}
		}
		return true
	})
}

// series returns a group of bars for each version.
func (d *chartData) series() []chart.Series {
	var l []chart.Series
	for _, v := range d.versions {
		g := chart.Series{Name: v}
		for _, p := range d.categories {
			g.Values = append(g.Values, meanOf(d.values[v][p]))
		}
		l = append(l, g)
	}
	return l
}

// categoryOf returns what a row is drawn at, "" for rows that are not drawn; nil for an
// unknown way to draw.
func categoryOf(by string) func(*Row) string {
	trimPrefix := func(prefix string) func(*Row) string {
		return func(r *Row) string {
			n, ok := strings.CutPrefix(r.Measure, prefix)
			if !ok {
				return ""
			}
			return n
		}
	}
	switch by {
	case ByClass:
		return trimPrefix(prefixClass)
	case ByPrice:
		return trimPrefix(prefixPrice)
	case ByDay:
		return func(r *Row) string {
			if r.Measure != measureWorth {
				return ""
			}
			return r.Day
		}
	}
	return nil
}

// meanOf returns the mean of values, 0 of none.
func meanOf(v []float64) float64 {
	if len(v) == 0 {
		return 0
	}
	return newSpread(v).Mean
}
