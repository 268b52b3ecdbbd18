package experiment

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
)

// report holds the fields of a report of the users' benchmark that become rows.
type report struct {
	Days   []reportDay `json:"days"`
	Error  *string     `json:"error"` // why the run did not complete, or nil
	Commit string      `json:"head"`  // commit that was measured
	Site   string      `json:"site"`
	Reason string      `json:"why"`
}

// reportDay is one day of a report.
type reportDay struct {
	ClassShares []*float64     `json:"by_class"` // share of its worth that each class of requests earned; nil for classes without requests
	Name        string         `json:"name"`
	Parts       []reportPart   `json:"parts"`
	Prices      []reportPrice  `json:"prices"`
	BrokenRules map[string]int `json:"rules"` // number of violations, by rule
	Seed        int64          `json:"seed"`
	Served      float64        `json:"served"` // share of the worth owed
	Worth       float64        `json:"G"`      // share of the worth owed, net of prices
}

// reportPart is a weighted component of the worth, decoded from [name, weight, share].
type reportPart struct {
	Name  string
	Share float64
}

// reportPrice is a cost that is deducted from the worth, decoded from [name, amount, share of the
// worth].
type reportPrice struct {
	Name  string
	Share float64
}

// Measures of a day, and prefixes of measures.
const (
	measureRules  = "broken rules"
	measureServed = "served"
	measureWorth  = "worth"
	prefixClass   = "class "
	prefixPart    = "part "
	prefixPrice   = "price "
)

// versionLength is the number of digits of a commit hash that name a version in rows.
const versionLength = 8

var errUnfinished = errors.New("the run did not finish")

// UnmarshalJSON decodes the list of a part.
func (p *reportPart) UnmarshalJSON(b []byte) error {
	var weight float64
	return unmarshalTriple(b, &p.Name, &weight, &p.Share)
}

// UnmarshalJSON decodes the list of a price.
func (p *reportPrice) UnmarshalJSON(b []byte) error {
	var amount float64
	return unmarshalTriple(b, &p.Name, &amount, &p.Share)
}

// parseRows decodes rows, or returns the rows of a report. Input that is a JSON object with a commit is
// a report.
func parseRows(b []byte) ([]Row, error) {
	var r report
	if err := json.Unmarshal(b, &r); err != nil || r.Commit == "" {
		return ReadRows(bytes.NewReader(b))
	}
	return r.rows()
}

// rows returns the measures of all days of the report. It returns errUnfinished if the run did not
// complete.
func (r *report) rows() ([]Row, error) {
	if r.Error != nil {
		return nil, fmt.Errorf("%w: %s", errUnfinished, *r.Error)
	}
	var l []Row
	for i := range r.Days {
		d := &r.Days[i]
		d.eachMeasure(func(measure string, value float64) {
			l = append(l, Row{Day: d.Name, Measure: measure, Seed: d.Seed, Site: r.Site, Value: value, Version: r.Commit[:min(versionLength, len(r.Commit))]})
		})
	}
	return l, nil
}

// brokenRules returns the number of violations of all rules.
func (d *reportDay) brokenRules() int {
	n := 0
	for _, x := range d.BrokenRules {
		n += x
	}
	return n
}

// eachMeasure calls add with every measure of the day.
func (d *reportDay) eachMeasure(add func(measure string, value float64)) {
	add(measureWorth, d.Worth)
	add(measureServed, d.Served)
	add(measureRules, float64(d.brokenRules()))
	for i, c := range d.ClassShares {
		if c != nil {
			add(fmt.Sprint(prefixClass, i+1), *c)
		}
	}
	for _, p := range d.Parts {
		add(prefixPart+p.Name, p.Share)
	}
	for _, p := range d.Prices {
		add(prefixPrice+p.Name, p.Share)
	}
}

// unmarshalTriple decodes a JSON list of a name and two numbers.
func unmarshalTriple(b []byte, name *string, first, second *float64) error {
	return json.Unmarshal(b, &[]any{name, first, second})
}
