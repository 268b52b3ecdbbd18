// Package chart draws charts of measurements. The extension of the file name selects the format, such
// as SVG or PNG.
package chart

import (
	"fmt"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"
)

// Labels holds the title and the axis labels of a chart.
type Labels struct {
	Title string
	X, Y  string // axis labels
}

// Line is a line through the points (X[i], Y[i]).
type Line struct {
	Dashed bool
	Name   string // in the legend
	X, Y   []float64
}

// Series is a series of bars, with one value for each category.
type Series struct {
	Name   string // in the legend
	Values []float64
}

// Size of every chart.
const (
	height = 4 * vg.Inch
	width  = 7 * vg.Inch
)

// barWidthPoints is the width of a bar, in points, in a chart of up to five bars. In charts of more
// bars it is divided by a third of their number, rounded down.
const barWidthPoints = 60.0

// Bars writes a chart in which the bars of all series stand side by side in each category.
func Bars(path string, l Labels, categories []string, series []Series) error {
	p := newPlot(l)
	w := vg.Points(barWidthPoints / float64(max(1, len(categories)*len(series)/3)))
	for i, g := range series {
		b, err := plotter.NewBarChart(plotter.Values(g.Values), w)
		if err != nil {
			return fmt.Errorf("draw %q: %w", g.Name, err)
		}
		b.Color = plotutil.Color(i)
		b.LineStyle.Width = 0
		b.Offset = w * vg.Length(float64(i)-float64(len(series)-1)/2)
		p.Add(b)
		p.Legend.Add(g.Name, b)
	}
	p.NominalX(categories...)
	return save(p, path)
}

// Lines writes a chart of lines. Each consecutive pair of lines has the same color.
func Lines(path string, l Labels, lines []Line) error {
	p := newPlot(l)
	for i, x := range lines {
		points := make(plotter.XYs, len(x.X))
		for j := range x.X {
			points[j] = plotter.XY{X: x.X[j], Y: x.Y[j]}
		}
		d, err := plotter.NewLine(points)
		if err != nil {
			return fmt.Errorf("draw %q: %w", x.Name, err)
		}
		d.Color = plotutil.Color(i / 2) // lines are compared in pairs
		if x.Dashed {
			d.Dashes = plotutil.Dashes(1)
		}
		p.Add(d)
		p.Legend.Add(x.Name, d)
	}
	return save(p, path)
}

func newPlot(l Labels) *plot.Plot {
	p := plot.New()
	p.Title.Text, p.X.Label.Text, p.Y.Label.Text = l.Title, l.X, l.Y
	p.Legend.Top, p.Legend.Left = true, true
	p.Add(plotter.NewGrid())
	return p
}

func save(p *plot.Plot, path string) error {
	if err := p.Save(width, height, path); err != nil {
		return fmt.Errorf("write chart: %w", err)
	}
	return nil
}
