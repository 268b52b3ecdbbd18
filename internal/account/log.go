package account

import (
	"os"
	"slices"
	"time"

	"github.com/linetiller/linetiller/internal/event"
	"github.com/linetiller/linetiller/internal/explain"
)

// Log is what the boxes wrote in a day.
type Log struct {
	halls    map[string]string          // of boxes, and of upstreams that requests went to
	requests map[string][]*explain.Line // in order
	starts   map[string][]time.Time     // of boxes, in order
	stops    map[string][]time.Time     // of boxes that ended with requests unfinished
}

// diedTogether is how far apart the boxes start again that died together: each takes its
// own time to come up.
const diedTogether = 3 * time.Second

// NewLog takes in the lines of all boxes.
func NewLog(lines []explain.Line) *Log {
	l := &Log{
		halls: make(map[string]string), requests: make(map[string][]*explain.Line),
		starts: make(map[string][]time.Time), stops: make(map[string][]time.Time),
	}
	slices.SortStableFunc(lines, func(a, b explain.Line) int { return a.Time.Compare(b.Time) })
	for i := range lines {
		x := &lines[i]
		switch x.Event {
		case event.BoxStarted.Number:
			l.halls[x.Box] = text(x, "hall")
			l.starts[x.Box] = append(l.starts[x.Box], x.Time)
		case event.BoxStopIncomplete.Number:
			l.stops[x.Box] = append(l.stops[x.Box], x.Time)
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

// diedAt returns when a box that held a request started again after a time, and whether
// all boxes did then. The time is zero where the box did not.
func (l *Log) diedAt(box string, after time.Time) (at time.Time, all bool) {
	at = next(l.starts[box], after)
	if at.IsZero() {
		return at, false
	}
	for _, s := range l.starts {
		if !slices.ContainsFunc(s, func(t time.Time) bool { return t.After(after) && t.Sub(at).Abs() < diedTogether }) {
			return at, false
		}
	}
	return at, true
}

// routes returns the number of tries of each route, of streams or of other requests.
func (l *Log) routes(streams bool) map[string]int {
	m := make(map[string]int)
	for _, x := range l.requests {
		for _, p := range x {
			if p.Event == event.RequestPlaced.Number && (number(p, "prompt_tokens") > 0) == streams {
				m[text(p, "route")]++
				break
			}
		}
	}
	return m
}

// next returns the first of some times after another, or the zero time.
func next(l []time.Time, after time.Time) time.Time {
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
