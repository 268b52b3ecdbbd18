package settings

import (
	"fmt"
	"math"
	"strconv"
	"strings"
	"time"
)

// Duration is a duration in the format of time.ParseDuration, such as "250ms". A number of seconds
// may also have an exponent, such as "1e3s".
type Duration struct{ time.Duration }

// UnmarshalText parses a duration such as "1.5s". A number of seconds that overflows a time.Duration
// is read as the longest one.
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

// parseSeconds parses a number of seconds, which may have an exponent. Values out of range are
// clamped.
func parseSeconds(text string) (time.Duration, error) {
	n, ok := strings.CutSuffix(text, "s")
	x, err := strconv.ParseFloat(n, 64)
	if !ok || err != nil || math.IsNaN(x) || math.IsInf(x, 0) {
		return 0, fmt.Errorf("%q is not a duration such as \"250ms\" or \"33.2s\"", text)
	}
	if x >= math.MaxInt64/float64(time.Second) {
		return math.MaxInt64, nil
	}
	return time.Duration(max(x*float64(time.Second), math.MinInt64)), nil
}
