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
	TargetMS   float64     `toml:"aim_ms"` // within which the answer, or its first event, is wanted
	DeadlineMS float64     `toml:"deadline_ms"`
	LateWorth  float64     `toml:"late_worth"`
	Name       string      `toml:"name"`
	Stream     *SiteStream `toml:"stream"`
	Worth      float64     `toml:"worth"`
}

// SiteStream describes the answers of a kind of request that are streams.
type SiteStream struct {
	GapTargetMS float64 `toml:"gap_aim_ms"` // between two events
	Events      struct {
		Mean float64 `toml:"mean"`
	} `toml:"pieces"` // events
}

// latencyTarget is the kind of request of a route, with what is wanted of it.
type latencyTarget struct {
	response, pause time.Duration
	class           string
}

// tokensPerEvent is how many tokens an event of a stream holds; callers'
// estimates are in tokens.
const tokensPerEvent = 4

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

// targets finds the kind of request of each route. Routes have other names each day, and a kind
// may have several. A route of streams is of the kind whose streams are about as long as its
// callers expect; another one is that whose number of tries is nearest to the report's.
func (s *Site) targets(r *Report, l *Log) map[string]latencyTarget {
	m := make(map[string]latencyTarget)
	for route, x := range l.routes() {
		if x.hint == 0 {
			continue
		}
		if c := s.closestClass(func(c *SiteClass) float64 {
			if c.Stream == nil {
				return 0
			}
			return c.Stream.Events.Mean * tokensPerEvent / (x.hint / float64(x.attempts))
		}); c != nil {
			m[route] = latencyTarget{response: milliseconds(c.TargetMS), class: c.Name, pause: milliseconds(c.Stream.GapTargetMS)}
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

// closestClass returns the kind of request whose ratio is nearest to 1, among those where it is
// not 0; nil where there is none.
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

// class returns a kind of request; of one that the site does not have, nothing is owed.
func (s *Site) class(name string) *SiteClass {
	for i := range s.Classes {
		if s.Classes[i].Name == name {
			return &s.Classes[i]
		}
	}
	return new(SiteClass)
}

// owedShares returns the share of the day's worth that each kind was owed.
func (s *Site) owedShares(r *Report) map[string]float64 {
	m, sum := make(map[string]float64), s.totalOwedWorth(r)
	for _, c := range r.Classes {
		m[c.Name] = s.class(c.Name).Worth * float64(c.Count-c.NotOwed) / sum
	}
	return m
}

// totalOwedWorth returns the day's worth.
func (s *Site) totalOwedWorth(r *Report) float64 {
	sum := 0.0
	for _, c := range r.Classes {
		sum += s.class(c.Name).Worth * float64(c.Count-c.NotOwed)
	}
	return sum
}

// unservedWaitShare returns what the users' stricter measure charges for waits, as a share of the
// worth owed: a request that is held, never sent to an upstream and not served costs the
// share of its worth that its wait was of the time it had, without steps; each try of a
// caller by itself.
func (s *Site) unservedWaitShare(r *Report, attempts []Attempt) float64 {
	charged := 0.0
	for i := range attempts {
		t := &attempts[i]
		c := s.class(t.Class)
		if !t.Sent && !t.Cause.late() && c.DeadlineMS > 0 {
			charged += c.Worth * min(1, float64(t.Duration)/float64(milliseconds(c.DeadlineMS)))
		}
	}
	return charged / s.totalOwedWorth(r)
}

// lossFraction returns which share of a request's worth a cause costs.
func (s *Site) lossFraction(class string, cause Cause) float64 {
	if c := s.class(class); cause.late() && c.Worth > 0 {
		return 1 - c.LateWorth/c.Worth
	}
	return 1
}

func milliseconds(n float64) time.Duration {
	return time.Duration(n * float64(time.Millisecond))
}
