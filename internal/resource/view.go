package resource

import (
	"cmp"
	"crypto/sha256"
	"crypto/subtle"
	"encoding/hex"
	"slices"
	"strings"
	"sync"
)

// Change is one write or removal of a resource at a revision.
type Change struct {
	Deleted  bool      `json:"deleted,omitempty"`
	Resource *Resource `json:"resource"`
	Revision int64     `json:"revision"`
}

// Upstream is an upstream with its decoded spec.
type Upstream struct {
	Name string
	Spec UpstreamSpec
}

// Workspace is a workspace with its decoded spec.
type Workspace struct {
	Name string
	Spec WorkspaceSpec
}

// View is the configuration that one box has in force.
//
// Its revision only rises. It is safe for concurrent use; readers get values
// that are never changed afterwards. View's lock is the innermost of a box: no
// other lock is taken while it is held.
type View struct {
	mutex     sync.RWMutex
	changed   chan struct{}
	log       []Change // every change after logFrom, in order of revision
	logFrom   int64
	revision  int64
	resources map[string]Change // by kind and name; removals stay as marks

	// Decoded copies, so that a request decodes nothing.
	byModel    map[string][]*Upstream // by model, in order of name; made when asked for
	upstreams  map[string]*Upstream   // by name
	workspaces map[string]*Workspace  // by key hash
}

const (
	maxModelsCached = 1024 // callers name models; unknown names must not fill the memory
	viewLogLength   = 4096
)

// NewView returns an empty view at revision 0.
func NewView() *View {
	return &View{
		byModel:    make(map[string][]*Upstream),
		changed:    make(chan struct{}),
		resources:  make(map[string]Change),
		upstreams:  make(map[string]*Upstream),
		workspaces: make(map[string]*Workspace),
	}
}

// Apply takes in changes and then stands at revision r.
//
// A change at or below the revision in force of its own resource is passed
// over, and r below the current revision leaves the revision as it is, so that
// neither ever falls. It reports whether anything was taken in.
func (v *View) Apply(changes []Change, r int64) bool {
	v.mutex.Lock()
	defer v.mutex.Unlock()
	moved := r > v.revision
	for _, c := range changes {
		k := key(c.Resource.Kind, c.Resource.Metadata.Name)
		if old, ok := v.resources[k]; ok && old.Revision >= c.Revision {
			continue
		}
		v.resources[k] = c
		v.index(c)
		v.appendLog(c)
		moved = true
	}
	v.revision = max(v.revision, r)
	if moved {
		close(v.changed)
		v.changed = make(chan struct{})
	}
	return moved
}

// Changed returns a channel that is closed at the next change.
func (v *View) Changed() <-chan struct{} {
	v.mutex.RLock()
	defer v.mutex.RUnlock()
	return v.changed
}

// Get returns the resource of that kind and name, or nil.
func (v *View) Get(k Kind, name string) *Resource {
	v.mutex.RLock()
	defer v.mutex.RUnlock()
	c, ok := v.resources[key(k, name)]
	if !ok || c.Deleted {
		return nil
	}
	return c.Resource
}

// List returns the resources of a kind in order of name; an empty kind means all.
func (v *View) List(k Kind) []*Resource {
	v.mutex.RLock()
	defer v.mutex.RUnlock()
	var l []*Resource
	for _, c := range v.resources {
		if !c.Deleted && (k == "" || c.Resource.Kind == k) {
			l = append(l, c.Resource)
		}
	}
	slices.SortFunc(l, func(a, b *Resource) int {
		return cmp.Or(strings.Compare(string(a.Kind), string(b.Kind)), strings.Compare(a.Metadata.Name, b.Metadata.Name))
	})
	return l
}

// Revision returns the revision in force.
func (v *View) Revision() int64 {
	v.mutex.RLock()
	defer v.mutex.RUnlock()
	return v.revision
}

// Since returns the newest change of every resource changed after r, in order
// of revision, removals included, with the revision in force.
func (v *View) Since(r int64) ([]Change, int64) {
	v.mutex.RLock()
	defer v.mutex.RUnlock()
	if r >= v.logFrom {
		i, _ := slices.BinarySearchFunc(v.log, r+1, func(c Change, t int64) int { return cmp.Compare(c.Revision, t) })
		return slices.Clone(v.log[i:]), v.revision
	}
	var l []Change
	for _, c := range v.resources {
		if c.Revision > r {
			l = append(l, c)
		}
	}
	slices.SortFunc(l, func(a, b Change) int { return cmp.Compare(a.Revision, b.Revision) })
	return l, v.revision
}

// Upstream returns the decoded upstream of that name, or nil.
func (v *View) Upstream(name string) *Upstream {
	v.mutex.RLock()
	defer v.mutex.RUnlock()
	return v.upstreams[name]
}

// Upstreams returns the decoded upstreams for which keep says so, by name.
func (v *View) Upstreams(keep func(*Upstream) bool) []*Upstream {
	v.mutex.RLock()
	defer v.mutex.RUnlock()
	var l []*Upstream
	for _, u := range v.upstreams {
		if keep(u) {
			l = append(l, u)
		}
	}
	slices.SortFunc(l, func(a, b *Upstream) int { return strings.Compare(a.Name, b.Name) })
	return l
}

// UpstreamsOf returns the engines that run a model, by name. Callers must not
// change the list.
func (v *View) UpstreamsOf(model string) []*Upstream {
	v.mutex.RLock()
	l, ok := v.byModel[model]
	v.mutex.RUnlock()
	if ok {
		return l
	}
	v.mutex.Lock()
	defer v.mutex.Unlock()
	for _, u := range v.upstreams {
		if slices.Contains(u.Spec.Models, model) {
			l = append(l, u)
		}
	}
	slices.SortFunc(l, func(a, b *Upstream) int { return strings.Compare(a.Name, b.Name) })
	if len(v.byModel) < maxModelsCached {
		v.byModel[model] = l
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
	w := v.workspaces[h]
	if w == nil {
		return nil
	}
	for _, k := range w.Spec.KeyHashes {
		if subtle.ConstantTimeCompare([]byte(k), []byte(h)) == 1 {
			return w
		}
	}
	return nil
}

// HashKey returns the hex SHA-256 hash under which a bearer key is declared.
func HashKey(bearer string) string {
	h := sha256.Sum256([]byte(bearer))
	return hex.EncodeToString(h[:])
}

// appendLog keeps the newest changes, dropping the log where a change arrives
// out of order: readers then fall back to the resources themselves.
func (v *View) appendLog(c Change) {
	newest := v.logFrom
	if n := len(v.log); n > 0 {
		newest = v.log[n-1].Revision
	}
	if c.Revision <= newest {
		v.log, v.logFrom = nil, newest
		return
	}
	v.log = append(v.log, c)
	if drop := len(v.log) - viewLogLength/2; len(v.log) > viewLogLength {
		v.logFrom = v.log[drop-1].Revision
		v.log = slices.Clone(v.log[drop:])
	}
}

// index keeps the decoded copies in step with one change.
func (v *View) index(c Change) {
	n := c.Resource.Metadata.Name
	switch c.Resource.Kind {
	case KindUpstream:
		clear(v.byModel)
		delete(v.upstreams, n)
		if s, err := Decode[UpstreamSpec](c.Resource); err == nil && !c.Deleted {
			v.upstreams[n] = &Upstream{Name: n, Spec: *s}
		}
	case KindWorkspace:
		v.indexWorkspace(c, n)
	case KindModel, KindPriority, KindVersion:
	}
}

func (v *View) indexWorkspace(c Change, name string) {
	for h, w := range v.workspaces {
		if w.Name == name {
			delete(v.workspaces, h)
		}
	}
	s, err := Decode[WorkspaceSpec](c.Resource)
	if err != nil || c.Deleted {
		return
	}
	for _, h := range s.KeyHashes {
		v.workspaces[h] = &Workspace{Name: name, Spec: *s}
	}
}

func key(k Kind, name string) string {
	return string(k) + "/" + name
}
