package account

import (
	"encoding/json"
	"os"
)

// Report is what is read of a day's report by the users' bench.
type Report struct {
	Classes []Class `json:"classes"`
}

// Class is what became of the requests of one kind.
type Class struct {
	Failed  int     `json:"failed"`
	Late    int     `json:"late"`
	Name    string  `json:"name"`
	NotOwed int     `json:"not_owed"`
	Count   int     `json:"n"`
	Refused int     `json:"refused"`
	Worth   float64 `json:"worth"` // share of the worth owed that it earned
}

// ReadReport reads a report.
func ReadReport(path string) (*Report, error) {
	b, err := os.ReadFile(path)
	if err != nil {
		return nil, err
	}
	r := new(Report)
	if err := json.Unmarshal(b, r); err != nil {
		return nil, err
	}
	return r, nil
}
