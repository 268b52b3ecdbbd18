// Package experiment keeps the figures of measured runs as rows, compares two versions
// side by side and draws them. Rows come from the reports of the users' bench, or from
// runs against the project's own stand-ins in virtual time.
package experiment

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"os"
)

// Row is one figure of one run.
type Row struct {
	Day     string  `json:"day"` // or the scenario
	Measure string  `json:"measure"`
	Seed    int64   `json:"seed"`
	Site    string  `json:"site"`
	Value   float64 `json:"value"`
	Version string  `json:"version"` // of the code that ran
}

// ReadRows reads rows, one JSON value a line.
func ReadRows(r io.Reader) ([]Row, error) {
	var l []Row
	d := json.NewDecoder(bufio.NewReader(r))
	for d.More() {
		var x Row
		if err := d.Decode(&x); err != nil {
			return nil, fmt.Errorf("row %d: %w", len(l)+1, err)
		}
		l = append(l, x)
	}
	return l, nil
}

// ReadFiles reads files of rows, or reports of the bench; which one a file holds is
// seen from it.
func ReadFiles(paths []string) ([]Row, error) {
	var all []Row
	for _, p := range paths {
		b, err := os.ReadFile(p)
		if err != nil {
			return nil, err
		}
		l, err := parse(b)
		if err != nil {
			return nil, fmt.Errorf("%s: %w", p, err)
		}
		all = append(all, l...)
	}
	return all, nil
}

// WriteRows writes rows, one JSON value a line.
func WriteRows(w io.Writer, rows []Row) error {
	e := json.NewEncoder(w)
	for i := range rows {
		if err := e.Encode(&rows[i]); err != nil {
			return err
		}
	}
	return nil
}
