package resource

import (
	"encoding/json"
	"strconv"
	"strings"
	"time"
)

// Upstream is an upstream with its decoded spec, completed from its service.
type Upstream struct {
	ColdUntil       time.Time // until when it is cold, as far as its entry told
	EvacuatedAt     time.Time // when this box learned that its hall is evacuated; zero where it is not
	LapsedAt        time.Time // when this box learned that its entry had gone; zero where it stands
	Name            string
	Service         *Service // nil where its service is not declared
	Spec            UpstreamSpec
	ReportedLeaving bool // it said itself that it is leaving; see View.NoteLeaving
}

// UpstreamSpec declares an engine or a plain service.
type UpstreamSpec struct {
	Address     string       `json:"address"`                    // http://IP:port
	Born        int64        `json:"born,omitempty"`             // when its process started, in Unix milliseconds; 0 where it is not told. It tells one start under a name from the next
	ChecksFence bool         `json:"checksFence,omitempty"`      // it refuses orders with an old fence
	Cold        Milliseconds `json:"coldMilliseconds,omitempty"` // how much longer it is cold, from when the entry was written
	Hall        string       `json:"hall"`                       // the data hall it stands in
	KVTokens    int          `json:"kvTokens,omitempty"`         // engine: memory for prompts and outputs, in tokens
	Lapsed      bool         `json:"lapsed,omitempty"`           // its entry went while the platform's store was away; it may be back
	Leaving     bool         `json:"leaving,omitempty"`          // it gets no new work
	MaxBatch    int          `json:"maxBatch,omitempty"`         // engine: generations at once within the inter-token target
	Models      []string     `json:"models,omitempty"`           // engine: the models it runs
	Repeatable  []string     `json:"repeatable,omitempty"`       // service: methods that may be repeated
	Service     string       `json:"service,omitempty"`          // service: the name in /services/NAME/
	Type        UpstreamType `json:"type"`
}

// UpstreamType tells a model engine from a plain service.
type UpstreamType string

// The types of upstreams.
const (
	UpstreamEngine  UpstreamType = "engine"
	UpstreamService UpstreamType = "service"
)

// LapseGracePeriod is how long an upstream whose entry went while the store was away
// is still used: entries of those that live are back within about two seconds.
const LapseGracePeriod = 1800 * time.Millisecond

// MarkLapsed returns a copy of an upstream's resource whose entry has gone while the
// platform's store was away.
func MarkLapsed(r *Resource, revision int64) (*Resource, error) {
	s, err := Decode[UpstreamSpec](r)
	if err != nil {
		return nil, err
	}
	s.Lapsed = true
	b, err := json.Marshal(s)
	if err != nil {
		return nil, err
	}
	c := *r
	c.Metadata.ResourceVersion = strconv.FormatInt(revision, 10)
	c.Spec = b
	return &c, nil
}

// isLapsed reports whether a resource is an upstream whose entry has gone; see Lapsed.
func isLapsed(r *Resource) bool {
	if r.Kind != KindUpstream {
		return false
	}
	s, err := Decode[UpstreamSpec](r)
	return err == nil && s.Lapsed
}

// Engine returns the description of the upstream's engines, or nil.
func (u *Upstream) Engine() *EngineSpec {
	if u.Service == nil {
		return nil
	}
	return u.Service.Spec.Engine
}

// HostPort returns the IP:port of the upstream.
func (u *Upstream) HostPort() string {
	_, a, _ := strings.Cut(u.Spec.Address, "://")
	return a
}

// Cold reports whether the upstream is known to be cold: it bears few requests.
func (u *Upstream) Cold(now time.Time) bool {
	return now.Before(u.ColdUntil)
}

// ColdPerSecond returns how many requests a second the upstream bears while it is cold; 0
// is no bound.
func (u *Upstream) ColdPerSecond() float64 {
	if u.Service == nil {
		return 0
	}
	return u.Service.Spec.ColdPerSecond
}

// Evacuated reports whether the upstream's hall is evacuated.
func (u *Upstream) Evacuated() bool {
	return !u.EvacuatedAt.IsZero()
}

// IsLeaving reports whether the upstream is leaving, by its entry or by its own word.
func (u *Upstream) IsLeaving() bool {
	return u.Spec.Leaving || u.ReportedLeaving
}

// AcceptsWork reports whether the upstream may be given new work.
func (u *Upstream) AcceptsWork(now time.Time) bool {
	return !u.Evacuated() && u.KeepsWork(now)
}

// KeepsWork reports whether what runs at the upstream may go on there.
func (u *Upstream) KeepsWork(now time.Time) bool {
	if u.IsLeaving() {
		return false
	}
	return u.LapsedAt.IsZero() || now.Sub(u.LapsedAt) < LapseGracePeriod
}
