package account

import (
	"math"
	"os"
	"slices"
	"time"

	"github.com/linetiller/linetiller/internal/event"
	"github.com/linetiller/linetiller/internal/explain"
)

// Log is what the boxes wrote in a day.
type Log struct {
	end             time.Time                  // of the last line
	halls           map[string]string          // of boxes, and of upstreams that requests went to
	lastLine        map[string]time.Time       // by box: of its last line
	requests        map[string][]*explain.Line // in order
	starts          map[string][]time.Time     // of boxes, in order
	incompleteStops map[string][]time.Time     // of boxes that ended with requests unfinished
}

// routeStats is what was asked of one route.
type routeStats struct {
	hint     float64 // tokens of output that callers expect, of all tries; 0 for calls
	attempts int
}

const (
	// restartWindow is how far apart the boxes start again that died together: each takes
	// its own time to come up.
	restartWindow = 3 * time.Second
	// allBoxesShare is the share of the boxes that counts for all of them: some may have left
	// for good before.
	allBoxesShare = 0.6
	// silentBoxPeriod is how long before the end of the logs a box wrote its last line that has
	// died for good.
	silentBoxPeriod = 5 * time.Second
)

// NewLog takes in the lines of all boxes.
func NewLog(lines []explain.Line) *Log {
	l := &Log{
		halls: make(map[string]string), lastLine: make(map[string]time.Time), requests: make(map[string][]*explain.Line),
		starts: make(map[string][]time.Time), incompleteStops: make(map[string][]time.Time),
	}
	slices.SortStableFunc(lines, func(a, b explain.Line) int { return a.Time.Compare(b.Time) })
	for i := range lines {
		x := &lines[i]
		l.end, l.lastLine[x.Box] = x.Time, x.Time
		switch x.Event {
		case event.BoxStarted.Number:
			l.halls[x.Box] = text(x, "hall")
			l.starts[x.Box] = append(l.starts[x.Box], x.Time)
		case event.BoxStopIncomplete.Number:
			l.incompleteStops[x.Box] = append(l.incompleteStops[x.Box], x.Time)
		case event.RequestPlaced.Number:
			l.halls[text(x, "upstream")] = text(x, "hall")
		}
		if x.Request != "" {
			l.requests[x.Request] = append(l.requests[x.Request], x)
		}
	}
	return l
}

// ReadLog reads the logs in files.
func ReadLog(paths []string) (*Log, error) {
	var all []explain.Line
	for _, p := range paths {
		f, err := os.Open(p)
		if err != nil {
			return nil, err
		}
		l, err := explain.Read(f)
		_ = f.Close() // only read
		if err != nil {
			return nil, err
		}
		all = append(all, l...)
	}
	return NewLog(all), nil
}

// boxDiedAfter tells whether the box that held a request has died since a time, and whether
// most boxes did then.
func (l *Log) boxDiedAfter(box string, after time.Time) (died, all bool) {
	at := firstAfter(l.starts[box], after)
	if at.IsZero() && l.lastLine[box].Add(silentBoxPeriod).After(l.end) {
		return false, false
	}
	from := at
	if at.IsZero() {
		from = l.lastLine[box]
	}
	started := 0
	for _, s := range l.starts {
		if slices.ContainsFunc(s, func(t time.Time) bool { return t.After(after) && t.Sub(from).Abs() < restartWindow }) {
			started++
		}
	}
	return true, float64(started) >= allBoxesShare*float64(len(l.starts))
}

// closestCallRoute returns the route of calls, not among those known, whose number of tries is
// nearest to a number; "" where there is none.
func (l *Log) closestCallRoute(n int, known map[string]latencyTarget) string {
	best, least := "", math.Inf(1)
	for route, x := range l.routes() {
		if x.hint > 0 || known[route].class != "" {
			continue
		}
		if d := math.Abs(math.Log(float64(x.attempts) / float64(max(1, n)))); d < least {
			best, least = route, d
		}
	}
	return best
}

// routes returns what was asked of each route.
func (l *Log) routes() map[string]routeStats {
	m := make(map[string]routeStats)
	for _, lines := range l.requests {
		for _, p := range lines {
			if p.Event == event.RequestPlaced.Number {
				x := m[text(p, "route")]
				x.hint += number(p, "hint")
				x.attempts++
				m[text(p, "route")] = x
				break
			}
		}
	}
	return m
}

// firstAfter returns the first of some times after another, or the zero time.
func firstAfter(l []time.Time, after time.Time) time.Time {
	for _, t := range l {
		if t.After(after) {
			return t
		}
	}
	return time.Time{}
}

func number(x *explain.Line, field string) float64 {
	n, _ := x.Fields[field].(float64)
	return n
}

func text(x *explain.Line, field string) string {
	s, _ := x.Fields[field].(string)
	return s
}
