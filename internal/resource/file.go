package resource

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"strings"
)

// FileFault is one thing wrong with a file of resources.
type FileFault struct {
	Fault
	Line     int    // on which the resource begins, or on which reading failed
	Resource string // kind and name
}

// FileFaults is every fault of a file of resources.
type FileFaults []FileFault

// Read reads a file of resources: JSON objects one after another, or lists of
// them. It returns every fault that it finds.
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

// ErrorIn returns the faults as an error that names the file.
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

// lineOfField returns how many lines into raw the last part of a field's path
// stands, or 0 where it is missing.
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
