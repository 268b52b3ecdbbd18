package account

import (
	"math"
	"os"
	"time"

	"github.com/pelletier/go-toml/v2"
)

// Site is what is read of a site's file.
type Site struct {
	Classes []SiteClass `toml:"classes"`
}

// SiteClass is one kind of request.
type SiteClass struct {
	AimMS      float64 `toml:"aim_ms"` // within which the answer, or its first event, is wanted
	DeadlineMS float64 `toml:"deadline_ms"`
	LateWorth  float64 `toml:"late_worth"`
	Name       string  `toml:"name"`
	Stream     *struct {
		PauseMS float64 `toml:"gap_aim_ms"` // between two events
	} `toml:"stream"`
	Worth float64 `toml:"worth"`
}

// aim is the kind of request of a route, with what is wanted of it.
type aim struct {
	answer, pause time.Duration
	kind          string
}

// ReadSite reads a site's file.
func ReadSite(path string) (*Site, error) {
	b, err := os.ReadFile(path)
	if err != nil {
		return nil, err
	}
	s := new(Site)
	if err := toml.Unmarshal(b, s); err != nil {
		return nil, err
	}
	return s, nil
}

// aims finds the kind of request of each route. Routes have other names each day: of
// streams and of other requests apart, each kind is that of the route whose number of
// tries is nearest to the report's.
func (s *Site) aims(r *Report, l *Log) map[string]aim {
	number := make(map[string]int)
	for _, c := range r.Classes {
		number[c.Name] = c.Number
	}
	m := make(map[string]aim)
	for _, c := range s.Classes {
		best, least := "", math.Inf(1)
		for route, n := range l.routes(c.Stream != nil) {
			if d := math.Abs(math.Log(float64(n) / float64(max(1, number[c.Name])))); d < least && m[route].kind == "" {
				best, least = route, d
			}
		}
		if best == "" {
			continue
		}
		a := aim{answer: milliseconds(c.AimMS), kind: c.Name}
		if c.Stream != nil {
			a.pause = milliseconds(c.Stream.PauseMS)
		}
		m[best] = a
	}
	return m
}

// class returns a kind of request; of one that the site does not have, nothing is owed.
func (s *Site) class(name string) *SiteClass {
	for i := range s.Classes {
		if s.Classes[i].Name == name {
			return &s.Classes[i]
		}
	}
	return new(SiteClass)
}

// owed returns the share of the day's worth that each kind was owed.
func (s *Site) owed(r *Report) map[string]float64 {
	m, sum := make(map[string]float64), s.owedWorth(r)
	for _, c := range r.Classes {
		m[c.Name] = s.class(c.Name).Worth * float64(c.Number-c.NotOwed) / sum
	}
	return m
}

// owedWorth returns the day's worth.
func (s *Site) owedWorth(r *Report) float64 {
	sum := 0.0
	for _, c := range r.Classes {
		sum += s.class(c.Name).Worth * float64(c.Number-c.NotOwed)
	}
	return sum
}

// waited returns what the users' stricter measure charges for waits, as a share of the
// worth owed: a request that is held, never sent to an upstream and not served costs the
// share of its worth that its wait was of the time it had, without steps; each try of a
// caller by itself.
func (s *Site) waited(r *Report, tries []Try) float64 {
	charged := 0.0
	for i := range tries {
		t := &tries[i]
		c := s.class(t.Kind)
		if !t.Offered && !t.Cause.late() && c.DeadlineMS > 0 {
			charged += c.Worth * min(1, float64(t.Took)/float64(milliseconds(c.DeadlineMS)))
		}
	}
	return charged / s.owedWorth(r)
}

// weight returns which share of a request's worth a cause costs.
func (s *Site) weight(kind string, cause Cause) float64 {
	if c := s.class(kind); cause.late() && c.Worth > 0 {
		return 1 - c.LateWorth/c.Worth
	}
	return 1
}

func milliseconds(n float64) time.Duration {
	return time.Duration(n * float64(time.Millisecond))
}
