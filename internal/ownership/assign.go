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
	return policy.HighestRanked(u.Name, o.members.Alive(u.Spec.Hall)) == s.Name
}

// assign recomputes which upstreams this box owns, if the boxes or the configuration have
// changed since the last time. It creates the owners at once, so that their load is known before
// the first placement request.
func (o *Owners) assign(now time.Time) {
	boxes, revision := o.members.Version(), o.view.Version()
	if now.Sub(o.assignedAt) < assignInterval || (boxes == o.assignedMembers && revision == o.assignedView) {
		return
	}
	o.assignedAt = now
	o.assignedMembers, o.assignedView = boxes, revision
	s := o.members.Self()
	alive := policy.NewRendezvous(o.members.Alive(s.Hall))
	for _, u := range o.view.Upstreams(func(u *resource.Upstream) bool {
		return u.Spec.Type == resource.UpstreamEngine && u.Spec.Hall == s.Hall
	}) {
		if alive.HighestRanked(u.Name) == s.Name {
			o.getOrCreate(u.Name)
		}
	}
	for _, x := range o.list() {
		u := o.view.Upstream(x.owner.Upstream)
		assigned := u != nil && o.Owns(u)
		x.mutex.Lock()
		x.assigned = assigned
		x.applyEntry(u)
		x.mutex.Unlock()
	}
}
