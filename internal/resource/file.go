package resource

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"strings"
)

// FileFault is one error in a resource file.
type FileFault struct {
	Fault
	Line     int    // line on which the resource begins, or on which parsing failed
	Resource string // kind and name
}

// FileFaults holds all errors in a resource file.
type FileFaults []FileFault

// Read parses a resource file: a sequence of JSON objects, or lists of them. It returns all faults
// that it finds.
func Read(b []byte) ([]*Resource, FileFaults) {
	var l []*Resource
	var faults FileFaults
	d := json.NewDecoder(bytes.NewReader(b))
	for {
		start := skipSpace(b, int(d.InputOffset()))
		var raw json.RawMessage
		err := d.Decode(&raw)
		if errors.Is(err, io.EOF) {
			return l, faults
		}
		if err != nil {
			return l, append(faults, FileFault{Fault: Fault{"", strings.TrimPrefix(err.Error(), "json: ")}, Line: lineAt(b, offsetOf(err, start))})
		}
		x, f := readValue(raw, lineAt(b, start))
		l, faults = append(l, x...), append(faults, f...)
	}
}

// ErrorIn returns the faults as one error, with the path and line of each.
func (f FileFaults) ErrorIn(path string) error {
	var l []string
	for _, x := range f {
		s := fmt.Sprintf("%s:%d: %s", path, x.Line, x.Resource)
		if x.Field != "" {
			s += ": " + x.Field
		}
		l = append(l, s+": "+x.Message)
	}
	return errors.New(strings.Join(l, "\n"))
}

func readValue(raw json.RawMessage, line int) ([]*Resource, FileFaults) {
	if len(raw) > 0 && raw[0] == '[' {
		var parts []json.RawMessage
		_ = json.Unmarshal(raw, &parts)
		var l []*Resource
		var faults FileFaults
		at := 0
		for _, p := range parts {
			at += bytes.Index(raw[at:], p)
			x, f := readValue(p, line+bytes.Count(raw[:at], []byte("\n")))
			at += len(p)
			l, faults = append(l, x...), append(faults, f...)
		}
		return l, faults
	}
	r := new(Resource)
	d := json.NewDecoder(bytes.NewReader(raw))
	d.DisallowUnknownFields()
	if err := d.Decode(r); err != nil {
		return nil, FileFaults{{Fault: Fault{"", strings.TrimPrefix(err.Error(), "json: ")}, Line: line, Resource: "resource"}}
	}
	var faults FileFaults
	for _, f := range Check(r) {
		n := lineOfField(raw, f.Field)
		faults = append(faults, FileFault{Fault: f, Line: line + n, Resource: string(r.Kind) + " " + r.Metadata.Name})
	}
	return []*Resource{r}, faults
}

func lineAt(b []byte, offset int) int {
	return 1 + bytes.Count(b[:min(offset, len(b))], []byte("\n"))
}

// lineOfField returns the line, counted from 0 at the start of raw, on which the last element of a
// field's path first occurs, or 0 if it does not.
func lineOfField(raw []byte, field string) int {
	n := field[strings.LastIndexByte(field, '.')+1:]
	n, _, _ = strings.Cut(n, "[")
	i := bytes.Index(raw, []byte(`"`+n+`"`))
	if i < 0 {
		return 0
	}
	return bytes.Count(raw[:i], []byte("\n"))
}

func offsetOf(err error, start int) int {
	var s *json.SyntaxError
	if errors.As(err, &s) {
		return max(start, int(s.Offset))
	}
	return start
}

func skipSpace(b []byte, i int) int {
	for i < len(b) && strings.IndexByte(" \t\r\n", b[i]) >= 0 {
		i++
	}
	return i
}
