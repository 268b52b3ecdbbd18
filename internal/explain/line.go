package explain

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"slices"
	"strings"
	"time"
)

// Line is one line of a log.
type Line struct {
	Box     string         `json:"box"`
	Event   int            `json:"event"`
	Fields  map[string]any `json:"fields,omitempty"` // all other fields but the level
	Message string         `json:"msg"`
	Request string         `json:"request,omitempty"`
	Time    time.Time      `json:"time"`
}

// maxLineBytes is the length limit of a line.
const maxLineBytes = 1 << 20

// Read parses a log of one JSON object per line. Text before the first brace of a line, such as a
// prefix that names the box, and lines without a valid object are skipped. It returns an error if
// r fails or a line is longer than maxLineBytes.
func Read(r io.Reader) ([]Line, error) {
	var l []Line
	s := bufio.NewScanner(r)
	s.Buffer(nil, maxLineBytes)
	for s.Scan() {
		b := s.Bytes()
		i := slices.Index(b, '{')
		if i < 0 {
			continue
		}
		m := make(map[string]any)
		if json.Unmarshal(b[i:], &m) != nil {
			continue
		}
		l = append(l, lineFromFields(m))
	}
	return l, s.Err()
}

// number returns a field as a number, or 0 if it is missing or not a number.
func (x *Line) number(k string) float64 {
	n, _ := x.Fields[k].(float64)
	return n
}

// text returns a field as text, or "" if it is missing. Numbers are rounded to integers.
func (x *Line) text(k string) string {
	v, ok := x.Fields[k]
	if !ok {
		return ""
	}
	if n, ok := v.(float64); ok {
		return fmt.Sprintf("%.0f", n)
	}
	return fmt.Sprint(v)
}

// lineFromFields returns the line of the decoded fields m. It removes the fields that have a place
// of their own in Line from m, and keeps the rest.
func lineFromFields(m map[string]any) Line {
	x := Line{Fields: m}
	x.Box, x.Message, x.Request = x.text("box"), x.text("msg"), x.text("request")
	x.Event = int(x.number("event"))
	x.Time, _ = time.Parse(time.RFC3339Nano, x.text("time")) // lines without a valid time sort first
	for _, k := range []string{"box", "event", "level", "msg", "request", "time"} {
		delete(m, k)
	}
	return x
}

// formatFields returns fields as name=value pairs, sorted and separated by spaces.
func formatFields(m map[string]any) string {
	var l []string
	for k, v := range m {
		l = append(l, fmt.Sprintf("%s=%v", k, v))
	}
	slices.Sort(l)
	return strings.Join(l, " ")
}
