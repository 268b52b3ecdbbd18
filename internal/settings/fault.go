package settings

import (
	"errors"
	"fmt"
	"strings"

	"github.com/pelletier/go-toml/v2"
)

// Fault is one thing wrong with the settings.
type Fault struct {
	Key     string
	Line    int // from 1; 0 where the key is missing
	Message string
	// Origin is the comment on the line, "" for none: a template names there the field
	// that it was filled from.
	Origin string
}

// Faults is every fault of a settings file.
type Faults []Fault

// Error lists the faults, one a line.
func (f Faults) Error() string {
	var l []string
	for _, x := range f {
		l = append(l, fmt.Sprintf("line %d: %s", x.Line, x))
	}
	return strings.Join(l, "\n")
}

// nameOrigins fills in where faulty lines were filled from.
func (f Faults) nameOrigins(source []byte) {
	lines := strings.Split(string(source), "\n")
	for i := range f {
		if n := f[i].Line; n > 0 && n <= len(lines) {
			_, c, _ := strings.Cut(lines[n-1], "#")
			f[i].Origin = strings.TrimSpace(c)
		}
	}
}

// String returns the fault without its line.
func (f Fault) String() string {
	if f.Origin == "" {
		return f.Key + ": " + f.Message
	}
	return f.Key + " (" + f.Origin + "): " + f.Message
}

// decodeFaults returns the faults that the decoder found.
func decodeFaults(err error) Faults {
	var m *toml.StrictMissingError
	if errors.As(err, &m) {
		var f Faults
		for _, e := range m.Errors {
			l, _ := e.Position()
			f = append(f, Fault{Key: strings.Join(e.Key(), "."), Line: l, Message: "unknown key"})
		}
		return f
	}
	var d *toml.DecodeError
	if errors.As(err, &d) {
		l, _ := d.Position()
		return Faults{{Key: strings.Join(d.Key(), "."), Line: l, Message: d.Error()}}
	}
	if err != nil {
		return Faults{{Message: err.Error()}}
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
