package settings

import (
	"errors"
	"fmt"
	"strings"

	"github.com/pelletier/go-toml/v2"
)

// FieldError describes one invalid or missing setting.
type FieldError struct {
	Key     string
	Line    int // starting at 1; 0 if the key is missing
	Message string
	// Comment is the TOML comment on the line, or "". Settings that were rendered from a template
	// name in it the field that the value was taken from.
	Comment string
}

// FieldErrors lists every FieldError of a settings file. It implements error.
type FieldErrors []FieldError

// Error returns the errors, one per line.
func (f FieldErrors) Error() string {
	var l []string
	for _, x := range f {
		l = append(l, fmt.Sprintf("line %d: %s", x.Line, x))
	}
	return strings.Join(l, "\n")
}

// setComments sets Comment from the lines of the settings file.
func (f FieldErrors) setComments(source []byte) {
	lines := strings.Split(string(source), "\n")
	for i := range f {
		if n := f[i].Line; n > 0 && n <= len(lines) {
			_, c, _ := strings.Cut(lines[n-1], "#")
			f[i].Comment = strings.TrimSpace(c)
		}
	}
}

// String returns the error without its line number.
func (f FieldError) String() string {
	if f.Comment == "" {
		return f.Key + ": " + f.Message
	}
	return f.Key + " (" + f.Comment + "): " + f.Message
}

// decodeErrors converts an error of the TOML decoder.
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

// lineOf returns the number of the first line that sets key or is the header of table key, or 0. It
// does not consider in which table a line is.
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
