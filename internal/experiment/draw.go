package experiment

import (
	"fmt"
	"slices"
	"strings"

	"github.com/linetiller/linetiller/internal/chart"
)

// Keys by which rows can be grouped in a chart.
const (
	ByClass = "class"
	ByDay   = "day"
	ByPrice = "price"
)

// minPrice is the share of the worth below which a price is omitted from charts.
const minPrice = 0.001

// chartData holds the values to be drawn.
type chartData struct {
	categories []string
	values     map[string]map[string][]float64 // by version and category
	versions   []string
}

// Draw writes a bar chart of the rows to a file, grouped by day, class or price, with one bar for each
// version. Bars show mean values. The extension of path selects the format.
func Draw(rows []Row, by, path string) error {
	category := categoryOf(by)
	if category == nil {
		return fmt.Errorf("cannot draw by %q: want %s, %s or %s", by, ByDay, ByClass, ByPrice)
	}
	d := newChartData(rows, category)
	if len(d.categories) == 0 {
		return fmt.Errorf("no row has a value by %s", by)
	}
	if by == ByPrice {
		d.dropMinorPrices()
	}
	return chart.Bars(path, chart.Labels{Title: "Worth by " + by, Y: "share of the worth owed"}, d.categories, d.series())
}

// newChartData groups the values of rows by version and category. It omits rows without a category.
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

// dropMinorPrices removes the prices whose mean is below minPrice in every version.
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

// series returns the mean values of each version.
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

// categoryOf returns a function that returns the category of a row in a chart grouped by the given key,
// or "" if the row is not drawn. It returns nil if the key is unknown.
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

// meanOf returns the arithmetic mean of the values, and 0 without values.
func meanOf(v []float64) float64 {
	if len(v) == 0 {
		return 0
	}
	return newSpread(v).Mean
}
