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

// Line is one line of a log, with the fields that a story needs.
type Line struct {
	Box     string         `json:"box"`
	Event   int            `json:"event"`
	Fields  map[string]any `json:"fields,omitempty"` // all others
	Message string         `json:"msg"`
	Request string         `json:"request,omitempty"`
	Time    time.Time      `json:"time"`
}

// maxLineBytes bounds one line of a log.
const maxLineBytes = 1 << 20

// Read reads the lines of a log that tell of a request, or of what a box believed.
// Lines that are no JSON, and what stands before the first brace of a line, are
// passed over.
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

// number returns a field that is a number, or 0.
func (x *Line) number(k string) float64 {
	n, _ := x.Fields[k].(float64)
	return n
}

// text returns a field as text, or "".
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

// lineFromFields takes the fields that every line has out of m.
func lineFromFields(m map[string]any) Line {
	x := Line{Fields: m}
	x.Box, x.Message, x.Request = x.text("box"), x.text("msg"), x.text("request")
	x.Event = int(x.number("event"))
	x.Time, _ = time.Parse(time.RFC3339Nano, x.text("time")) // a line without a time stands first
	for _, k := range []string{"box", "event", "level", "msg", "request", "time"} {
		delete(m, k)
	}
	return x
}

// formatFields returns the fields of a line in order of name.
func formatFields(m map[string]any) string {
	var l []string
	for k, v := range m {
		l = append(l, fmt.Sprintf("%s=%v", k, v))
	}
	slices.Sort(l)
	return strings.Join(l, " ")
}
