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

// Draw draws the rows of each version by day, class or price into a file.
func Draw(rows []Row, by, path string) error {
	place := placeOf(by)
	if place == nil {
		return fmt.Errorf("%q is neither %s nor %s nor %s", by, ByDay, ByClass, ByPrice)
	}
	sums := make(map[string]map[string][]float64) // by version and place
	var places, versions []string
	for i := range rows {
		p := place(&rows[i])
		if p == "" {
			continue
		}
		v := rows[i].Version
		if sums[v] == nil {
			sums[v] = make(map[string][]float64)
			versions = append(versions, v)
		}
		if !slices.Contains(places, p) {
			places = append(places, p)
		}
		sums[v][p] = append(sums[v][p], rows[i].Value)
	}
	if len(places) == 0 {
		return fmt.Errorf("no row holds a figure by %s", by)
	}
	places = worthDrawing(by, places, sums)
	var groups []chart.Group
	for _, v := range versions {
		g := chart.Group{Name: v}
		for _, p := range places {
			g.Values = append(g.Values, meanOf(sums[v][p]))
		}
		groups = append(groups, g)
	}
	return chart.Bars(path, chart.Labels{Title: "Worth by " + by, Y: "share of what is owed"}, places, groups)
}

// leastPrice is the share of the worth below which a price is not drawn.
const leastPrice = 0.001

// worthDrawing leaves out prices that hardly cost anything.
func worthDrawing(by string, places []string, sums map[string]map[string][]float64) []string {
	if by != ByPrice {
		return places
	}
	return slices.DeleteFunc(places, func(p string) bool {
		for _, m := range sums {
			if meanOf(m[p]) >= leastPrice {
				return false
			}
		}
		return true
	})
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

func meanOf(v []float64) float64 {
	if len(v) == 0 {
		return 0
	}
	return spreadOf(v).Mean
}
