package settings

import (
	"fmt"
	"math"
	"strconv"
	"strings"
	"time"
)

// Duration is a length of time written as in "250ms". Seconds may be written as any number:
// "33.2s", "1e3s".
type Duration struct{ time.Duration }

// UnmarshalText reads a span such as "1.5s". One that is too long to hold is read as the
// longest there is.
func (s *Duration) UnmarshalText(b []byte) error {
	d, err := time.ParseDuration(string(b))
	if err != nil {
		d, err = parseSeconds(string(b))
	}
	if err != nil {
		return err
	}
	s.Duration = d
	return nil
}

// parseSeconds reads a number of seconds, which may have an exponent.
func parseSeconds(text string) (time.Duration, error) {
	n, ok := strings.CutSuffix(text, "s")
	x, err := strconv.ParseFloat(n, 64)
	if !ok || err != nil || math.IsNaN(x) || math.IsInf(x, 0) {
		return 0, fmt.Errorf("%q is no length of time such as \"250ms\" or \"33.2s\"", text)
	}
	if x >= math.MaxInt64/float64(time.Second) {
		return math.MaxInt64, nil
	}
	return time.Duration(max(x*float64(time.Second), math.MinInt64)), nil
}
