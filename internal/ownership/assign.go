package ownership

import (
	"time"

	"github.com/linetiller/linetiller/internal/policy"
	"github.com/linetiller/linetiller/internal/resource"
)

// Owns reports whether an upstream falls to this box, as far as it knows.
func (o *Owners) Owns(u *resource.Upstream) bool {
	s := o.members.Self()
	return policy.First(u.Name, o.members.Alive(u.Spec.Hall)) == s.Name
}

// assign finds out which upstreams fall to this box, where the boxes or the
// configuration have changed since it last did. It starts owners for them, so
// that their load is known before the first ask.
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
		if alive.First(u.Name) == s.Name {
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
