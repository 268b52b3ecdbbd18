package account

import (
	"encoding/json"
	"os"
)

// Report holds the fields that this package uses of the report that the benchmark writes for a day.
type Report struct {
	Classes []Class `json:"classes"`
}

// Class counts the outcomes of the requests of one class.
type Class struct {
	Failed      int     `json:"failed"`
	Late        int     `json:"late"`
	Name        string  `json:"name"`
	NotOwed     int     `json:"not_owed"`
	Count       int     `json:"n"`
	Refused     int     `json:"refused"`
	EarnedShare float64 `json:"worth"` // share of the worth owed to the class that it earned
}

// ReadReport reads a report in JSON.
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
