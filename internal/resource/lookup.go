package resource

import (
	"net/netip"
	"slices"
	"strings"
)

// maxNamesCached bounds the names whose lists of upstreams are kept: callers name models,
// and unknown names must not fill the memory.
const maxNamesCached = 1024

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

// Limits returns the limits in force; where none are declared, nothing is bounded.
func (v *View) Limits() LimitsSpec {
	v.mutex.RLock()
	defer v.mutex.RUnlock()
	return v.index.limits[LimitsName]
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

// UpstreamsOfModel returns the engines that run a model, by name. Callers must not
// change the list.
func (v *View) UpstreamsOfModel(model string) []*Upstream {
	return v.cached(model, func(x *index) map[string][]*Upstream { return x.byModel }, func(u *Upstream) bool { return slices.Contains(u.Spec.Models, model) })
}

// UpstreamsOfService returns the upstreams of a service, by name. Callers must not
// change the list.
func (v *View) UpstreamsOfService(name string) []*Upstream {
	return v.cached(name, func(x *index) map[string][]*Upstream { return x.byService }, func(u *Upstream) bool { return u.Spec.Service == name })
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

// cached returns the upstreams for which keep says so, from a list that is made once
// after each change.
func (v *View) cached(key string, lists func(*index) map[string][]*Upstream, keep func(*Upstream) bool) []*Upstream {
	v.mutex.RLock()
	l, ok := lists(&v.index)[key]
	v.mutex.RUnlock()
	if ok {
		return l
	}
	v.mutex.Lock()
	defer v.mutex.Unlock()
	l = v.index.list(keep)
	if m := lists(&v.index); len(m) < maxNamesCached {
		m[key] = l
	}
	return l
}

// HostOf returns the host of a Host header, without its port.
func HostOf(header string) string {
	if a, err := netip.ParseAddrPort(header); err == nil {
		return a.Addr().String()
	}
	h, _, _ := strings.Cut(header, ":")
	return h
}
