package evacuation

import (
	"fmt"

	"github.com/linetiller/linetiller/internal/chart"
)

// Draw draws the share of generations lost over that of engines reclaimed, a pair of
// lines for each notice.
func Draw(rows []*Row, path string) error {
	var lines []chart.Line
	for _, n := range notices {
		for _, uncoordinated := range []bool{true, false} {
			l := chart.Line{Dashed: uncoordinated, Name: fmt.Sprintf("%v, in turns", n)}
			if uncoordinated {
				l.Name = fmt.Sprintf("%v, each box alone", n)
			}
			for _, r := range rows {
				if r.Notice == n && r.Uncoordinated == uncoordinated {
					l.X, l.Y = append(l.X, r.ReclaimedShare), append(l.Y, r.LostPercent)
				}
			}
			lines = append(lines, l)
		}
	}
	return chart.Lines(path, chart.Labels{Title: "Generations lost with their engines", X: "share of engines reclaimed every 3.3 s", Y: "lost, in 100"}, lines)
}
