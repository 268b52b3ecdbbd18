package account

import (
	"math"
	"os"
	"time"

	"github.com/pelletier/go-toml/v2"
)

// Site holds the fields of the benchmark's site file that this package uses.
type Site struct {
	Classes []SiteClass `toml:"classes"`
}

// SiteClass describes a class of requests.
type SiteClass struct {
	TargetMS   float64     `toml:"aim_ms"` // target time to the response, or to the first event of a stream
	DeadlineMS float64     `toml:"deadline_ms"`
	LateWorth  float64     `toml:"late_worth"`
	Name       string      `toml:"name"`
	Stream     *SiteStream `toml:"stream"`
	Worth      float64     `toml:"worth"`
}

// SiteStream describes the streams of a class whose responses are streams.
type SiteStream struct {
	GapTargetMS float64 `toml:"gap_aim_ms"` // target for the longest gap between two events
	Events      struct {
		Mean float64 `toml:"mean"`
	} `toml:"pieces"` // number of events in a stream
}

// latencyTarget is the class of the requests on a route, with its target times to the response or
// first event, and between two events of a stream. The latter is 0 for calls.
type latencyTarget struct {
	response, gap time.Duration
	class         string
}

// tokensPerEvent is the number of tokens in an event of a stream. It converts the lengths of the site
// file, in events, to the callers' estimates, in tokens.
const tokensPerEvent = 4

// ReadSite reads a site file in TOML.
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

// class returns the class of the given name. For one that is not in the site file, it returns an
// empty class, to which nothing is owed.
func (s *Site) class(name string) *SiteClass {
	for i := range s.Classes {
		if s.Classes[i].Name == name {
			return &s.Classes[i]
		}
	}
	return new(SiteClass)
}

// closestClass returns the class whose ratio is closest to 1 on a logarithmic scale, leaving out those
// of ratio 0; nil if there is none.
func (s *Site) closestClass(ratio func(c *SiteClass) float64) *SiteClass {
	var best *SiteClass
	least := math.Inf(1)
	for i := range s.Classes {
		c := &s.Classes[i]
		if x := ratio(c); x > 0 && math.Abs(math.Log(x)) < least {
			best, least = c, math.Abs(math.Log(x))
		}
	}
	return best
}

// lossFraction returns the share of the worth of a request that is lost by the cause.
func (s *Site) lossFraction(class string, cause Cause) float64 {
	if c := s.class(class); cause.isLate() && c.Worth > 0 {
		return 1 - c.LateWorth/c.Worth
	}
	return 1
}

// owedShares returns, by class, the share of the worth owed in the day.
func (s *Site) owedShares(r *Report) map[string]float64 {
	m, sum := make(map[string]float64), s.totalOwedWorth(r)
	for _, c := range r.Classes {
		m[c.Name] = s.class(c.Name).Worth * float64(c.Count-c.NotOwed) / sum
	}
	return m
}

// targets finds the class of the requests on each route. The names of routes change every day and a
// class may have several routes, so they are matched by their traffic. A route of streams belongs to
// the class whose mean stream length is closest to the callers' estimates. A class of calls gets the
// route whose number of attempts is closest to its number of requests in the report.
func (s *Site) targets(r *Report, l *Log) map[string]latencyTarget {
	m := make(map[string]latencyTarget)
	for route, x := range l.routes() {
		if x.hintTokens == 0 {
			continue
		}
		if c := s.closestClass(func(c *SiteClass) float64 {
			if c.Stream == nil {
				return 0
			}
			return c.Stream.Events.Mean * tokensPerEvent / (x.hintTokens / float64(x.attempts))
		}); c != nil {
			m[route] = latencyTarget{response: milliseconds(c.TargetMS), class: c.Name, gap: milliseconds(c.Stream.GapTargetMS)}
		}
	}
	for _, c := range r.Classes {
		x := s.class(c.Name)
		if x.Stream != nil {
			continue
		}
		if route := l.closestCallRoute(c.Count, m); route != "" {
			m[route] = latencyTarget{response: milliseconds(x.TargetMS), class: c.Name}
		}
	}
	return m
}

// totalOwedWorth returns the worth owed in the day, over all classes.
func (s *Site) totalOwedWorth(r *Report) float64 {
	sum := 0.0
	for _, c := range r.Classes {
		sum += s.class(c.Name).Worth * float64(c.Count-c.NotOwed)
	}
	return sum
}

// unservedWaitShare returns the penalty for waits that ended unserved, as a share of the worth owed.
// It follows the stricter measure of the users: a request that was held, never sent to an upstream
// and not served costs its worth times the fraction of its deadline that it waited, linearly and not
// in steps. Each attempt of a caller is charged separately.
func (s *Site) unservedWaitShare(r *Report, attempts []Attempt) float64 {
	penalty := 0.0
	for i := range attempts {
		t := &attempts[i]
		c := s.class(t.Class)
		if !t.Sent && !t.Cause.isLate() && c.DeadlineMS > 0 {
			penalty += c.Worth * min(1, float64(t.Duration)/float64(milliseconds(c.DeadlineMS)))
		}
	}
	return penalty / s.totalOwedWorth(r)
}

func milliseconds(n float64) time.Duration {
	return time.Duration(n * float64(time.Millisecond))
}
