package resource

import (
	"slices"
	"strings"
)

// upstreamLists holds lists of upstreams by a key of theirs, each sorted by name. A list that was
// handed out is never modified. It is guarded by the lock of View.
type upstreamLists struct {
	keys  func(u *Upstream) []string // the lists that contain u
	lists map[string][]*Upstream
}

// maxNamesCached bounds the cached lists of upstreams. Clients choose the model names, so unknown
// names must not fill the memory.
const maxNamesCached = 1024

func newUpstreamLists(keys func(u *Upstream) []string) upstreamLists {
	return upstreamLists{keys: keys, lists: make(map[string][]*Upstream)}
}

func (x *upstreamLists) clear() {
	clear(x.lists)
}

func (x *upstreamLists) get(key string) ([]*Upstream, bool) {
	l, ok := x.lists[key]
	return l, ok
}

// put stores a complete list, unless there are too many.
func (x *upstreamLists) put(key string, l []*Upstream) {
	if len(x.lists) < maxNamesCached {
		x.lists[key] = l
	}
}

// replace replaces an upstream by its new version in the lists that contain either; nil stands for
// none. Sorting the lists anew would take as long as there are upstreams, at every change.
func (x *upstreamLists) replace(before, after *Upstream) {
	if before != nil {
		for _, k := range x.keys(before) {
			if after == nil || !slices.Contains(x.keys(after), k) {
				x.update(k, before.Name, nil)
			}
		}
	}
	if after != nil {
		for _, k := range x.keys(after) {
			x.update(k, after.Name, after)
		}
	}
}

// update sets the upstream of a name in one list, or removes it if u is nil.
func (x *upstreamLists) update(key, name string, u *Upstream) {
	l, ok := x.lists[key]
	if !ok {
		return
	}
	i, found := slices.BinarySearchFunc(l, name, func(u *Upstream, n string) int { return strings.Compare(u.Name, n) })
	to := i
	if found {
		to++
	}
	if u == nil {
		x.lists[key] = slices.Concat(l[:i], l[to:])
		return
	}
	x.lists[key] = slices.Concat(l[:i], []*Upstream{u}, l[to:])
}
