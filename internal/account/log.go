package account

import (
	"math"
	"os"
	"slices"
	"time"

	"github.com/linetiller/linetiller/internal/event"
	"github.com/linetiller/linetiller/internal/explain"
)

// Log holds the log lines of all boxes over a day, indexed.
type Log struct {
	end             time.Time                  // time of the last line
	halls           map[string]string          // by box, and by upstream that requests were sent to
	lastLine        map[string]time.Time       // by box: time of its last line
	requests        map[string][]*explain.Line // by request ID, in order of time
	starts          map[string][]time.Time     // by box: times at which it started, in order
	incompleteStops map[string][]time.Time     // by box: times at which it stopped with requests unfinished
}

// routeStats sums up the attempts on a route.
type routeStats struct {
	hintTokens float64 // sum of the output tokens that callers expect; 0 for calls, which do not stream
	attempts   int
}

const (
	// restartWindow is the maximum distance between the restarts of boxes that died at the same
	// time, since some take longer to start than others.
	restartWindow = 3 * time.Second
	// allBoxesShare is the share of the boxes that has to restart together for all boxes to be
	// considered dead. It is below 1 since some boxes may have been removed before.
	allBoxesShare = 0.6
	// silentBoxPeriod is the time between the last line of a box and the end of the logs from
	// which on a box that did not restart is considered dead.
	silentBoxPeriod = 5 * time.Second
)

// NewLog indexes the lines of all boxes. It sorts lines by time.
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

// ReadLog reads the log files of all boxes.
func ReadLog(paths []string) (*Log, error) {
	var all []explain.Line
	for _, p := range paths {
		f, err := os.Open(p)
		if err != nil {
			return nil, err
		}
		l, err := explain.Read(f)
		_ = f.Close() // opened for reading only
		if err != nil {
			return nil, err
		}
		all = append(all, l...)
	}
	return NewLog(all), nil
}

// boxDiedAfter reports whether a box died after a time, and whether most boxes did so together. A
// box has died if it started again after that time, or wrote nothing up to the end of the logs.
func (l *Log) boxDiedAfter(box string, after time.Time) (died, allDied bool) {
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

// closestCallRoute returns the route of calls, other than those in classified, whose number of attempts
// is closest to n by ratio; "" if there is none.
func (l *Log) closestCallRoute(n int, classified map[string]latencyTarget) string {
	best, least := "", math.Inf(1)
	for route, x := range l.routes() {
		if x.hintTokens > 0 || classified[route].class != "" {
			continue
		}
		if d := math.Abs(math.Log(float64(x.attempts) / float64(max(1, n)))); d < least {
			best, least = route, d
		}
	}
	return best
}

// routes returns the statistics of each route. An attempt counts for the route of its first placement.
func (l *Log) routes() map[string]routeStats {
	m := make(map[string]routeStats)
	for _, lines := range l.requests {
		for _, p := range lines {
			if p.Event == event.RequestPlaced.Number {
				x := m[text(p, "route")]
				x.hintTokens += number(p, "hint")
				x.attempts++
				m[text(p, "route")] = x
				break
			}
		}
	}
	return m
}

// firstAfter returns the first time in the sorted list l that is after the given one, or the zero time.
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
