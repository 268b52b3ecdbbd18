package settings

import (
	"errors"
	"fmt"
	"strings"

	"github.com/pelletier/go-toml/v2"
)

// FieldError is one thing wrong with the settings.
type FieldError struct {
	Key     string
	Line    int // from 1; 0 where the key is missing
	Message string
	// Comment is the comment on the line, "" for none: a template names there the field
	// that it was filled from.
	Comment string
}

// FieldErrors is every fault of a settings file.
type FieldErrors []FieldError

// Error lists the faults, one a line.
func (f FieldErrors) Error() string {
	var l []string
	for _, x := range f {
		l = append(l, fmt.Sprintf("line %d: %s", x.Line, x))
	}
	return strings.Join(l, "\n")
}

// setComments fills in where faulty lines were filled from.
func (f FieldErrors) setComments(source []byte) {
	lines := strings.Split(string(source), "\n")
	for i := range f {
		if n := f[i].Line; n > 0 && n <= len(lines) {
			_, c, _ := strings.Cut(lines[n-1], "#")
			f[i].Comment = strings.TrimSpace(c)
		}
	}
}

// String returns the fault without its line.
func (f FieldError) String() string {
	if f.Comment == "" {
		return f.Key + ": " + f.Message
	}
	return f.Key + " (" + f.Comment + "): " + f.Message
}

// decodeErrors returns the faults that the decoder found.
func decodeErrors(err error) FieldErrors {
	var m *toml.StrictMissingError
	if errors.As(err, &m) {
		var f FieldErrors
		for _, e := range m.Errors {
			l, _ := e.Position()
			f = append(f, FieldError{Key: strings.Join(e.Key(), "."), Line: l, Message: "unknown key"})
		}
		return f
	}
	var d *toml.DecodeError
	if errors.As(err, &d) {
		l, _ := d.Position()
		return FieldErrors{{Key: strings.Join(d.Key(), "."), Line: l, Message: d.Error()}}
	}
	if err != nil {
		return FieldErrors{{Message: err.Error()}}
	}
	return nil
}

// lineOf returns the line on which the last part of key is set, or 0.
func lineOf(source []byte, key string) int {
	for i, l := range strings.Split(string(source), "\n") {
		n, _, ok := strings.Cut(l, "=")
		if ok && strings.TrimSpace(n) == key {
			return i + 1
		}
		if strings.TrimSpace(l) == "["+key+"]" {
			return i + 1
		}
	}
	return 0
}
