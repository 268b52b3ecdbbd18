package evacuation

import (
	"fmt"

	"github.com/linetiller/linetiller/internal/chart"
)

// Draw writes a chart of the percentage of lost generations over the share of reclaimed engines, with a
// pair of lines for each notice. The extension of path selects the format.
func Draw(rows []*Row, path string) error {
	var lines []chart.Line
	for _, n := range notices {
		for _, uncoordinated := range []bool{true, false} {
			l := chart.Line{Dashed: uncoordinated, Name: fmt.Sprintf("%v, coordinated", n)}
			if uncoordinated {
				l.Name = fmt.Sprintf("%v, uncoordinated", n)
			}
			for _, r := range rows {
				if r.Notice == n && r.Uncoordinated == uncoordinated {
					l.X, l.Y = append(l.X, r.ReclaimedShare), append(l.Y, r.LostPercent)
				}
			}
			lines = append(lines, l)
		}
	}
	return chart.Lines(path, chart.Labels{Title: "Generations lost with their engines", X: "share of engines reclaimed every 3.3 s", Y: "lost generations, in percent"}, lines)
}
