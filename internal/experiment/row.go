// Package experiment stores the measures of runs as rows, compares the rows of two versions and draws
// them. Rows come from reports of the users' benchmark, or from simulations in virtual time.
//
// The benchmark runs days of traffic on a site. Each request has a worth; the score of a day is the
// share of the worth owed to clients that was earned, net of prices for costs such as calls.
package experiment

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"os"
)

// Row is the value of one measure in one run.
type Row struct {
	Day     string  `json:"day"` // day of the benchmark, or scenario of a simulation
	Measure string  `json:"measure"`
	Seed    int64   `json:"seed"`
	Site    string  `json:"site"`
	Value   float64 `json:"value"`
	Version string  `json:"version"` // version of the code
}

// ReadRows decodes rows from a sequence of JSON objects.
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

// ReadFiles returns the rows of files, each of which contains rows or a report of the benchmark. It
// detects the kind of a file from its contents.
func ReadFiles(paths []string) ([]Row, error) {
	var all []Row
	for _, p := range paths {
		b, err := os.ReadFile(p)
		if err != nil {
			return nil, err
		}
		l, err := parseRows(b)
		if err != nil {
			return nil, fmt.Errorf("%s: %w", p, err)
		}
		all = append(all, l...)
	}
	return all, nil
}

// WriteRows writes rows as JSON objects, one per line.
func WriteRows(w io.Writer, rows []Row) error {
	e := json.NewEncoder(w)
	for i := range rows {
		if err := e.Encode(&rows[i]); err != nil {
			return err
		}
	}
	return nil
}
