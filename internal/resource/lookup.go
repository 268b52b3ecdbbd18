package resource

import (
	"net/netip"
	"slices"
	"strings"
)

// Boxes returns the boxes that have published their address, sorted by name.
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

// BoxesVersion returns a number that increases whenever the result of Boxes may have changed.
func (v *View) BoxesVersion() uint64 {
	v.mutex.RLock()
	defer v.mutex.RUnlock()
	return v.index.boxesVersion
}

// HasWorkspaces reports whether any workspace is declared.
func (v *View) HasWorkspaces() bool {
	v.mutex.RLock()
	defer v.mutex.RUnlock()
	return len(v.index.workspaces) > 0
}

// Limits returns the declared limits, or the zero value, which limits nothing.
func (v *View) Limits() LimitsSpec {
	v.mutex.RLock()
	defer v.mutex.RUnlock()
	return v.index.limits[LimitsName]
}

// Route returns the route for a host and path, or nil.
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

// Service returns the service of the given name, or nil.
func (v *View) Service(name string) *Service {
	v.mutex.RLock()
	defer v.mutex.RUnlock()
	return v.index.services[name]
}

// Upstream returns the upstream of the given name, or nil.
func (v *View) Upstream(name string) *Upstream {
	v.mutex.RLock()
	defer v.mutex.RUnlock()
	return v.index.joined[name]
}

// ChangedUpstreams returns the names of the upstreams that changed after a version of the view, and
// false if they are not known individually, so that all may have changed. current is the version
// up to which they are returned.
func (v *View) ChangedUpstreams(after uint64) (names []string, current uint64, ok bool) {
	v.mutex.RLock()
	defer v.mutex.RUnlock()
	names, ok = v.upstreamChanges.after(after)
	return names, v.version, ok
}

// Upstreams returns the upstreams for which keep returns true, sorted by name.
func (v *View) Upstreams(keep func(*Upstream) bool) []*Upstream {
	v.mutex.RLock()
	defer v.mutex.RUnlock()
	return v.index.list(keep)
}

// UpstreamsOfModel returns the engines that serve a model, sorted by name. Callers must not modify
// the slice.
func (v *View) UpstreamsOfModel(model string) []*Upstream {
	return v.cached(model, func(x *index) *upstreamLists { return &x.byModel })
}

// UpstreamsOfService returns the upstreams of a service, sorted by name. Callers must not modify
// the slice.
func (v *View) UpstreamsOfService(name string) []*Upstream {
	return v.cached(name, func(x *index) *upstreamLists { return &x.byService })
}

// Workspace returns the workspace of the given name, or nil.
func (v *View) Workspace(name string) *Workspace {
	v.mutex.RLock()
	defer v.mutex.RUnlock()
	return v.index.workspaces[name]
}

// WorkspaceByKey returns the workspace of a bearer key, or nil.
//
// The hash is looked up in a map and then compared in constant time, so that response times reveal
// nothing about a key.
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

// cached returns the upstreams under a key, from lists that are kept up to date from their first
// use on.
func (v *View) cached(key string, lists func(*index) *upstreamLists) []*Upstream {
	v.mutex.RLock()
	l, ok := lists(&v.index).get(key)
	v.mutex.RUnlock()
	if ok {
		return l
	}
	v.mutex.Lock()
	defer v.mutex.Unlock()
	x := lists(&v.index)
	l = v.index.list(func(u *Upstream) bool { return slices.Contains(x.keys(u), key) })
	x.put(key, l)
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
