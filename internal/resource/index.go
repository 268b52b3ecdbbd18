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
	boxes        map[string]*Box
	boxesVersion uint64 // increases with each change of boxes
	evacuations  evacuations
	leaving      leavingNotices
	limits       map[string]LimitsSpec
	priorities   map[string]int
	routeSpecs   map[string]RouteSpec
	services     map[string]*Service
	upstreams    map[string]*Upstream
	workspaces   map[string]*Workspace

	// Derived from the above by rebuild.
	byKey     map[string]*Workspace // by key hash
	byModel   upstreamLists         // by model; filled on demand
	byHost    map[string][]*Route   // by host, longest prefix first
	byService upstreamLists         // by service; filled on demand
	joined    map[string]*Upstream  // by name: upstreams completed with their services

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
		byModel: newUpstreamLists(func(u *Upstream) []string { return u.Spec.Models }), byService: newUpstreamLists(func(u *Upstream) []string { return []string{u.Spec.Service} }), joined: make(map[string]*Upstream),
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
		x.boxesVersion++
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
// upstreams come and go every second, and there may be thousands. It returns the names of the
// changed upstreams, and whether all may have changed.
func (x *index) rebuild() (changed []string, all bool) {
	changed, all = x.rebuildUpstreams()
	if x.keysOutdated {
		x.keysOutdated = false
		x.rebuildKeys()
	}
	if x.routesOutdated {
		x.routesOutdated = false
		x.rebuildRoutes()
	}
	return changed, all
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
// changed or the evacuation of a hall began or ended. It returns the names of the changed ones, and
// whether all may have changed.
func (x *index) rebuildUpstreams() (changed []string, all bool) {
	if x.hallsOutdated {
		x.hallsOutdated = false
		x.servicesChanged = x.evacuations.rebuild() || x.servicesChanged
	}
	changed, all = x.changedUpstreams, x.servicesChanged
	x.changedUpstreams, x.servicesChanged = nil, false
	if all {
		x.byModel.clear()
		x.byService.clear()
		clear(x.joined)
		for n, u := range x.upstreams {
			x.joined[n] = x.join(u)
		}
		return nil, true
	}
	for _, n := range changed {
		before := x.joined[n]
		delete(x.joined, n)
		if u := x.upstreams[n]; u != nil {
			x.joined[n] = x.join(u)
		}
		x.byModel.replace(before, x.joined[n])
		x.byService.replace(before, x.joined[n])
	}
	return changed, false
}

// putSpec updates a map of decoded specs with one change.
func putSpec[S, T any](m map[string]T, c Change, decoded func(*S) T) {
	n := c.Resource.Metadata.Name
	delete(m, n)
	if s, err := Decode[S](c.Resource); err == nil && !c.Deleted {
		m[n] = decoded(s)
	}
}
