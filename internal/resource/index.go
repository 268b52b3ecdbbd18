package resource

import (
	"cmp"
	"maps"
	"slices"
	"strings"
	"time"
)

// index holds decoded resources, so that handling a request decodes none. It is guarded by the
// lock of View.
type index struct {
	boxes       map[string]*Box
	evacuations evacuations
	leaving     leavingNotices
	limits      map[string]LimitsSpec
	priorities  map[string]int
	routeSpecs  map[string]RouteSpec
	services    map[string]*Service
	upstreams   map[string]*Upstream
	workspaces  map[string]*Workspace

	// Derived from the above by rebuild.
	byKey     map[string]*Workspace  // by key hash
	byModel   map[string][]*Upstream // by model, sorted by name; filled on demand
	byHost    map[string][]*Route    // by host, longest prefix first
	byService map[string][]*Upstream // by service, sorted by name; filled on demand
	joined    map[string]*Upstream   // by name: upstreams completed with their services

	// What rebuild has to recompute.
	changedUpstreams []string // by name
	hallsOutdated    bool
	keysOutdated     bool
	routesOutdated   bool
	servicesChanged  bool
}

func newIndex() index {
	return index{
		boxes: make(map[string]*Box), evacuations: newEvacuations(), leaving: newLeavingNotices(), limits: make(map[string]LimitsSpec), priorities: make(map[string]int), routeSpecs: make(map[string]RouteSpec),
		services: make(map[string]*Service), upstreams: make(map[string]*Upstream), workspaces: make(map[string]*Workspace),
		byModel: make(map[string][]*Upstream), byService: make(map[string][]*Upstream), joined: make(map[string]*Upstream),
	}
}

// join returns an upstream completed with the defaults of its service, if declared, and with the
// time since which its hall is evacuated.
func (x *index) join(u *Upstream) *Upstream {
	s, evacuatedAt := x.services[u.Spec.Service], x.evacuations.halls[u.Spec.Hall]
	if s == nil && evacuatedAt.IsZero() {
		return u
	}
	v := *u
	v.EvacuatedAt = evacuatedAt
	if s == nil {
		return &v
	}
	v.Service = s
	if v.Spec.Type == "" {
		v.Spec.Type = UpstreamService
		if s.Spec.Engine != nil {
			v.Spec.Type = UpstreamEngine
		}
	}
	if e := s.Spec.Engine; e != nil {
		v.Spec.KVTokens = cmp.Or(v.Spec.KVTokens, e.KVTokens)
		v.Spec.MaxBatch = cmp.Or(v.Spec.MaxBatch, e.MaxBatch)
	}
	return &v
}

// list returns the upstreams for which keep returns true, sorted by name.
func (x *index) list(keep func(*Upstream) bool) []*Upstream {
	var l []*Upstream
	for _, u := range x.joined {
		if keep(u) {
			l = append(l, u)
		}
	}
	slices.SortFunc(l, func(a, b *Upstream) int { return strings.Compare(a.Name, b.Name) })
	return l
}

// put stores one change. The caller must call rebuild afterwards.
func (x *index) put(c Change, source Source, now time.Time) {
	n := c.Resource.Metadata.Name
	switch c.Resource.Kind {
	case KindBox:
		putSpec(x.boxes, c, func(s *BoxSpec) *Box { return &Box{Name: n, Spec: *s} })
	case KindEvacuation:
		x.hallsOutdated = true
		x.evacuations.learnedAt[n] = now
		putSpec(x.evacuations.hallOf, c, func(s *EvacuationSpec) string { return s.Hall })
	case KindLimits:
		putSpec(x.limits, c, func(s *LimitsSpec) LimitsSpec { return *s })
	case KindPriority:
		x.keysOutdated, x.routesOutdated = true, true
		putSpec(x.priorities, c, func(s *PrioritySpec) int { return s.Value })
	case KindRoute:
		x.routesOutdated = true
		putSpec(x.routeSpecs, c, func(s *RouteSpec) RouteSpec { return *s })
	case KindService:
		x.servicesChanged = true
		putSpec(x.services, c, func(s *ServiceSpec) *Service { return &Service{Name: n, Spec: *s} })
	case KindUpstream:
		x.changedUpstreams = append(x.changedUpstreams, n)
		before := x.upstreams[n]
		putSpec(x.upstreams, c, func(s *UpstreamSpec) *Upstream {
			u := &Upstream{Name: n, Spec: *s, ReportedLeaving: x.leaving.stillLeaving(n, before, s, source)}
			if s.ColdRemaining > 0 {
				u.ColdUntil = now.Add(s.ColdRemaining.Duration())
			}
			if s.Lapsed {
				u.LapsedAt = now
			}
			return u
		})
		if x.upstreams[n] == nil {
			x.leaving.markUnlisted(n, x.upstreams)
		}
	case KindWorkspace:
		x.keysOutdated = true
		putSpec(x.workspaces, c, func(s *WorkspaceSpec) *Workspace { return &Workspace{Name: n, Spec: *s} })
	case KindModel, KindVersion:
	}
}

// rebuild recomputes what is derived from several resources, but only the parts that changed:
// upstreams come and go every second, and there may be thousands.
func (x *index) rebuild() {
	x.rebuildUpstreams()
	if x.keysOutdated {
		x.keysOutdated = false
		x.rebuildKeys()
	}
	if x.routesOutdated {
		x.routesOutdated = false
		x.rebuildRoutes()
	}
}

// rebuildKeys recomputes the workspaces by key hash. If several workspaces declare one key, the
// first by name gets it, so that all boxes agree.
func (x *index) rebuildKeys() {
	x.byKey = make(map[string]*Workspace)
	for _, n := range slices.Sorted(maps.Keys(x.workspaces)) {
		v := *x.workspaces[n]
		v.Priority, v.HasPriority = x.priorities[v.Spec.Priority]
		for _, h := range v.Spec.KeyHashes {
			if x.byKey[h] == nil {
				x.byKey[h] = &v
			}
		}
	}
}

// rebuildRoutes recomputes the routes by host.
func (x *index) rebuildRoutes() {
	x.byHost = make(map[string][]*Route)
	for n, s := range x.routeSpecs {
		r := &Route{Name: n, Priority: x.priorities[s.Priority], Spec: s}
		x.byHost[s.Host] = append(x.byHost[s.Host], r)
	}
	for _, l := range x.byHost {
		slices.SortFunc(l, func(a, b *Route) int {
			return cmp.Or(cmp.Compare(len(b.Spec.PathPrefix), len(a.Spec.PathPrefix)), strings.Compare(a.Name, b.Name))
		})
	}
}

// rebuildUpstreams joins the changed upstreams with their services, or all upstreams if a service
// changed or the evacuation of a hall began or ended.
func (x *index) rebuildUpstreams() {
	if x.hallsOutdated {
		x.hallsOutdated = false
		x.servicesChanged = x.evacuations.rebuild() || x.servicesChanged
	}
	if !x.servicesChanged && len(x.changedUpstreams) == 0 {
		return
	}
	clear(x.byModel)
	clear(x.byService)
	if x.servicesChanged {
		clear(x.joined)
		for n, u := range x.upstreams {
			x.joined[n] = x.join(u)
		}
	}
	for _, n := range x.changedUpstreams {
		delete(x.joined, n)
		if u := x.upstreams[n]; u != nil {
			x.joined[n] = x.join(u)
		}
	}
	x.changedUpstreams, x.servicesChanged = nil, false
}

// putSpec updates a map of decoded specs with one change.
func putSpec[S, T any](m map[string]T, c Change, decoded func(*S) T) {
	n := c.Resource.Metadata.Name
	delete(m, n)
	if s, err := Decode[S](c.Resource); err == nil && !c.Deleted {
		m[n] = decoded(s)
	}
}
