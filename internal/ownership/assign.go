package ownership

import (
	"time"

	"github.com/linetiller/linetiller/internal/policy"
	"github.com/linetiller/linetiller/internal/resource"
)

// Owns reports whether this box owns the upstream, judged by the boxes that it currently
// considers alive.
func (o *Owners) Owns(u *resource.Upstream) bool {
	s := o.members.Self()
	return policy.HighestRanked(u.Name, o.members.Active(u.Spec.Hall)) == s.Name
}

// assign recomputes which upstreams this box owns, if the boxes or the configuration have
// changed since the last time. It creates the owners at once, so that their load is known before
// the first placement request. As long as the boxes are the same it looks only at the upstreams
// that changed: in a large hall some change all the time.
func (o *Owners) assign(now time.Time) {
	boxes, revision := o.members.Version(), o.view.Version()
	if now.Sub(o.assignedAt) < assignInterval || (boxes == o.assignedMembers && revision == o.assignedView) {
		return
	}
	o.assignedAt = now
	names, revision, known := o.view.ChangedUpstreams(o.assignedView)
	if boxes != o.assignedMembers || o.hallBoxes == nil {
		o.hallBoxes = policy.NewRendezvous(o.members.Active(o.members.Self().Hall))
		known = false
	}
	o.assignedMembers, o.assignedView = boxes, revision
	if !known {
		names = o.hallUpstreamsAndOwned()
	}
	for _, n := range names {
		o.assignUpstream(n)
	}
}

// assignUpstream recomputes whether this box owns one upstream.
func (o *Owners) assignUpstream(name string) {
	u := o.view.Upstream(name)
	s := o.members.Self()
	assigned := u != nil && u.Spec.Hall == s.Hall && o.hallBoxes.HighestRanked(name) == s.Name
	x := o.get(name)
	if x == nil && assigned && u.Spec.Type == resource.UpstreamEngine {
		x = o.getOrCreate(name)
	}
	if x == nil {
		return
	}
	x.mutex.Lock()
	defer x.mutex.Unlock()
	x.assigned = assigned
	x.applyEntry(u)
}

// hallUpstreamsAndOwned returns the names of the engines of this box's hall and of all upstreams
// that have an owner here.
func (o *Owners) hallUpstreamsAndOwned() []string {
	hall := o.members.Self().Hall
	var l []string
	for _, u := range o.view.Upstreams(func(u *resource.Upstream) bool {
		return u.Spec.Type == resource.UpstreamEngine && u.Spec.Hall == hall
	}) {
		l = append(l, u.Name)
	}
	for _, x := range o.list() {
		l = append(l, x.owner.Upstream)
	}
	return l
}
