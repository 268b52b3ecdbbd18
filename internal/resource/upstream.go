package resource

import (
	"encoding/json"
	"strconv"
	"strings"
	"time"
)

// Upstream is an upstream with its decoded spec, completed with the defaults of its service.
type Upstream struct {
	ColdUntil       time.Time // end of its cold-start period, according to its entry
	EvacuatedAt     time.Time // when this box learned that its hall is evacuated; zero if it is not
	LapsedAt        time.Time // when this box learned that its entry has lapsed; zero if it has not
	Name            string
	Service         *Service // nil if its service is not declared
	Spec            UpstreamSpec
	ReportedLeaving bool // it announced itself that it is leaving; see View.RecordLeaving
}

// UpstreamSpec declares an engine or a plain service.
type UpstreamSpec struct {
	Address          string       `json:"address"`                    // http://IP:port
	StartedAtMS      int64        `json:"born,omitempty"`             // start time of its process in Unix milliseconds, 0 if unknown; distinguishes successive processes of one name
	ChecksFence      bool         `json:"checksFence,omitempty"`      // it rejects orders with an outdated fencing token
	ColdRemaining    Milliseconds `json:"coldMilliseconds,omitempty"` // time left of the cold-start period when the entry was written
	Hall             string       `json:"hall"`                       // the data hall in which it runs
	KVTokens         int          `json:"kvTokens,omitempty"`         // engine: memory for prompts and outputs, in tokens
	Lapsed           bool         `json:"lapsed,omitempty"`           // its entry was removed while the store was unavailable; it may return
	Leaving          bool         `json:"leaving,omitempty"`          // it gets no new work
	MaxBatch         int          `json:"maxBatch,omitempty"`         // engine: concurrent generations within the inter-token latency target
	Models           []string     `json:"models,omitempty"`           // engine: the models that it serves
	RetryableMethods []string     `json:"repeatable,omitempty"`       // service: methods that may be retried
	Service          string       `json:"service,omitempty"`          // service: the NAME in the path /services/NAME/
	Type             UpstreamType `json:"type"`
}

// UpstreamType distinguishes model engines from other services.
type UpstreamType string

// The types of upstreams.
const (
	UpstreamEngine  UpstreamType = "engine"
	UpstreamService UpstreamType = "service"
)

// LapseGracePeriod is how long an upstream stays in use after its entry disappeared during an
// outage of the store. Live upstreams write their entries again within about two seconds.
const LapseGracePeriod = 1800 * time.Millisecond

// MarkLapsed returns a copy of an upstream's resource, marked as lapsed at a revision: its entry
// disappeared during an outage of the store.
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

// isLapsed reports whether a resource is a lapsed upstream; see MarkLapsed.
func isLapsed(r *Resource) bool {
	if r.Kind != KindUpstream {
		return false
	}
	s, err := Decode[UpstreamSpec](r)
	return err == nil && s.Lapsed
}

// AcceptsWork reports whether the upstream may be given new work.
func (u *Upstream) AcceptsWork(now time.Time) bool {
	return !u.Evacuated() && u.KeepsWork(now)
}

// Engine returns the engine settings of the upstream's service, or nil.
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

// Cold reports whether the upstream is in its cold-start period, in which it can handle only few
// requests.
func (u *Upstream) Cold(now time.Time) bool {
	return now.Before(u.ColdUntil)
}

// ColdPerSecond returns how many requests per second the upstream can handle during its cold-start
// period; 0 means no limit.
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

// IsLeaving reports whether the upstream is leaving, by its entry or by its own announcement.
func (u *Upstream) IsLeaving() bool {
	return u.Spec.Leaving || u.ReportedLeaving
}

// KeepsWork reports whether running work may continue at the upstream.
func (u *Upstream) KeepsWork(now time.Time) bool {
	if u.IsLeaving() {
		return false
	}
	return u.LapsedAt.IsZero() || now.Sub(u.LapsedAt) < LapseGracePeriod
}
