package resource

import (
	"cmp"
	"net/netip"
	"slices"
	"strings"
	"time"
)

const maxModelsCached = 1024 // callers name models; unknown names must not fill the memory

// index holds decoded copies of resources, so that a request decodes nothing.
// View's lock guards it.
type index struct {
	boxes      map[string]*Box
	priorities map[string]int
	routeSpecs map[string]RouteSpec
	services   map[string]*Service
	upstreams  map[string]*Upstream
	workspaces map[string]*Workspace

	// Made by rebuild from the above.
	byKey    map[string]*Workspace  // by key hash
	byModel  map[string][]*Upstream // by model, in order of name; made when asked for
	byHost   map[string][]*Route    // the longest prefix first
	joined   map[string]*Upstream   // upstreams with their services
	outdated bool
}

func newIndex() index {
	return index{
		boxes: make(map[string]*Box), priorities: make(map[string]int), routeSpecs: make(map[string]RouteSpec),
		services: make(map[string]*Service), upstreams: make(map[string]*Upstream), workspaces: make(map[string]*Workspace),
		byModel: make(map[string][]*Upstream),
	}
}

// Boxes returns the boxes that wrote where they are, by name.
func (v *View) Boxes() []*Box {
	v.mutex.RLock()
	defer v.mutex.RUnlock()
	var l []*Box
	for _, b := range v.index.boxes {
		l = append(l, b)
	}
	slices.SortFunc(l, func(a, b *Box) int { return strings.Compare(a.Name, b.Name) })
	return l
}

// HasWorkspaces reports whether any workspace is declared.
func (v *View) HasWorkspaces() bool {
	v.mutex.RLock()
	defer v.mutex.RUnlock()
	return len(v.index.workspaces) > 0
}

// Route returns the route of a request to a host and path, or nil.
func (v *View) Route(host, path string) *Route {
	v.mutex.RLock()
	defer v.mutex.RUnlock()
	for _, r := range v.index.byHost[host] {
		if strings.HasPrefix(path, r.Spec.PathPrefix) {
			return r
		}
	}
	return nil
}

// Service returns the service of that name, or nil.
func (v *View) Service(name string) *Service {
	v.mutex.RLock()
	defer v.mutex.RUnlock()
	return v.index.services[name]
}

// Upstream returns the upstream of that name, or nil.
func (v *View) Upstream(name string) *Upstream {
	v.mutex.RLock()
	defer v.mutex.RUnlock()
	return v.index.joined[name]
}

// Upstreams returns the upstreams for which keep says so, by name.
func (v *View) Upstreams(keep func(*Upstream) bool) []*Upstream {
	v.mutex.RLock()
	defer v.mutex.RUnlock()
	return v.index.list(keep)
}

// UpstreamsOf returns the engines that run a model, by name. Callers must not
// change the list.
func (v *View) UpstreamsOf(model string) []*Upstream {
	v.mutex.RLock()
	l, ok := v.index.byModel[model]
	v.mutex.RUnlock()
	if ok {
		return l
	}
	v.mutex.Lock()
	defer v.mutex.Unlock()
	l = v.index.list(func(u *Upstream) bool { return slices.Contains(u.Spec.Models, model) })
	if len(v.index.byModel) < maxModelsCached {
		v.index.byModel[model] = l
	}
	return l
}

// WorkspaceByKey returns the workspace that bearer key opens, or nil.
//
// The hash is found by its value and then compared in constant time, so that
// the time taken tells nothing about a key.
func (v *View) WorkspaceByKey(bearer string) *Workspace {
	h := HashKey(bearer)
	v.mutex.RLock()
	defer v.mutex.RUnlock()
	w := v.index.byKey[h]
	if w == nil {
		return nil
	}
	for _, k := range w.Spec.KeyHashes {
		if sameKey(k, h) {
			return w
		}
	}
	return nil
}

// HostOf returns the host of a Host header, without its port.
func HostOf(header string) string {
	if a, err := netip.ParseAddrPort(header); err == nil {
		return a.Addr().String()
	}
	h, _, _ := strings.Cut(header, ":")
	return h
}

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

// put takes in one change; rebuild must follow.
func (x *index) put(c Change, now time.Time) {
	n := c.Resource.Metadata.Name
	switch c.Resource.Kind {
	case KindBox:
		putSpec(x.boxes, c, func(s *BoxSpec) *Box { return &Box{Name: n, Spec: *s} })
	case KindPriority:
		putSpec(x.priorities, c, func(s *PrioritySpec) int { return s.Value })
	case KindRoute:
		putSpec(x.routeSpecs, c, func(s *RouteSpec) RouteSpec { return *s })
	case KindService:
		putSpec(x.services, c, func(s *ServiceSpec) *Service { return &Service{Name: n, Spec: *s} })
	case KindUpstream:
		putSpec(x.upstreams, c, func(s *UpstreamSpec) *Upstream {
			u := &Upstream{Name: n, Spec: *s}
			if s.Lapsed {
				u.LapsedAt = now
			}
			return u
		})
	case KindWorkspace:
		putSpec(x.workspaces, c, func(s *WorkspaceSpec) *Workspace { return &Workspace{Name: n, Spec: *s} })
	case KindModel, KindVersion:
	}
	x.outdated = true
}

// rebuild makes what is derived from several resources.
func (x *index) rebuild() {
	if !x.outdated {
		return
	}
	x.outdated = false
	clear(x.byModel)
	x.joined = make(map[string]*Upstream, len(x.upstreams))
	for n, u := range x.upstreams {
		x.joined[n] = x.join(u)
	}
	x.byKey = make(map[string]*Workspace)
	for _, w := range x.workspaces {
		v := *w
		v.Priority, v.Ranked = x.priorities[w.Spec.Priority]
		for _, h := range w.Spec.KeyHashes {
			x.byKey[h] = &v
		}
	}
	x.rebuildRoutes()
}

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

// join completes an upstream from its service, where that is declared.
func (x *index) join(u *Upstream) *Upstream {
	s := x.services[u.Spec.Service]
	if s == nil {
		return u
	}
	v := *u
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

// putSpec keeps a decoded spec in step with one change.
func putSpec[S, T any](m map[string]T, c Change, decoded func(*S) T) {
	n := c.Resource.Metadata.Name
	delete(m, n)
	if s, err := Decode[S](c.Resource); err == nil && !c.Deleted {
		m[n] = decoded(s)
	}
}
