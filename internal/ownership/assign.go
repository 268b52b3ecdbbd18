package ownership

import (
	"time"

	"github.com/linetiller/linetiller/internal/policy"
	"github.com/linetiller/linetiller/internal/resource"
)

// Mine reports whether an upstream falls to this box, as far as it knows.
func (o *Owners) Mine(u *resource.Upstream) bool {
	s := o.members.Self()
	return policy.First(u.Name, o.members.Alive(u.Spec.Hall)) == s.Name
}

// assign finds out which upstreams fall to this box, where the boxes or the
// configuration have changed since it last did. It starts owners for them, so
// that their load is known before the first ask.
func (o *Owners) assign(now time.Time) {
	boxes, revision := o.members.Version(), o.view.Version()
	if now.Sub(o.assignedAt) < assignEvery || (boxes == o.assignedBoxes && revision == o.assignedView) {
		return
	}
	o.assignedAt = now
	o.assignedBoxes, o.assignedView = boxes, revision
	s := o.members.Self()
	alive := policy.NewRendezvous(o.members.Alive(s.Hall))
	for _, u := range o.view.Upstreams(func(u *resource.Upstream) bool {
		return u.Spec.Type == resource.UpstreamEngine && u.Spec.Hall == s.Hall
	}) {
		if alive.First(u.Name) == s.Name {
			o.get(u.Name)
		}
	}
	for _, x := range o.list() {
		u := o.view.Upstream(x.owner.Upstream)
		mine := u != nil && o.Mine(u)
		x.mutex.Lock()
		x.mine = mine
		x.see(u)
		x.mutex.Unlock()
	}
}
