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

// leastPrice is the share of the worth below which a price is not drawn.
const leastPrice = 0.001

// drawing holds the values that are drawn, by version and place.
type drawing struct {
	places   []string
	values   map[string]map[string][]float64
	versions []string
}

// Draw draws the rows of each version by day, class or price into a file.
func Draw(rows []Row, by, path string) error {
	place := placeOf(by)
	if place == nil {
		return fmt.Errorf("%q is neither %s nor %s nor %s", by, ByDay, ByClass, ByPrice)
	}
	d := newDrawing(rows, place)
	if len(d.places) == 0 {
		return fmt.Errorf("no row holds a figure by %s", by)
	}
	if by == ByPrice {
		d.dropCheap()
	}
	return chart.Bars(path, chart.Labels{Title: "Worth by " + by, Y: "share of what is owed"}, d.places, d.groups())
}

// newDrawing sorts the values of rows by their version and place; rows without a
// place are left out.
func newDrawing(rows []Row, place func(*Row) string) *drawing {
	d := &drawing{values: make(map[string]map[string][]float64)}
	for i := range rows {
		r := &rows[i]
		p := place(r)
		if p == "" {
			continue
		}
		if d.values[r.Version] == nil {
			d.values[r.Version] = make(map[string][]float64)
			d.versions = append(d.versions, r.Version)
		}
		if !slices.Contains(d.places, p) {
			d.places = append(d.places, p)
		}
		d.values[r.Version][p] = append(d.values[r.Version][p], r.Value)
	}
	return d
}

// dropCheap leaves out the prices that hardly cost anything in any version.
func (d *drawing) dropCheap() {
	d.places = slices.DeleteFunc(d.places, func(p string) bool {
		for _, m := range d.values {
			if meanOf(m[p]) >= leastPrice {
				return false
			}
		}
		return true
	})
}

// groups returns a group of bars for each version.
func (d *drawing) groups() []chart.Group {
	var l []chart.Group
	for _, v := range d.versions {
		g := chart.Group{Name: v}
		for _, p := range d.places {
			g.Values = append(g.Values, meanOf(d.values[v][p]))
		}
		l = append(l, g)
	}
	return l
}

// placeOf returns what a row is drawn at, "" for rows that are not drawn; nil for an
// unknown way to draw.
func placeOf(by string) func(*Row) string {
	cut := func(prefix string) func(*Row) string {
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
		return cut(prefixClass)
	case ByPrice:
		return cut(prefixPrice)
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
	return spreadOf(v).Mean
}
