package linetiller

import (
	"github.com/linetiller/linetiller/internal/box"
	"github.com/linetiller/linetiller/internal/event"
	"github.com/linetiller/linetiller/internal/policy"
	"github.com/linetiller/linetiller/internal/resource"
)

// recordLoad records the load of an upstream, as its owner reported it.
func (b *Box) recordLoad(l *policy.Load) {
	b.reserved.RecordLoad(l)
	if l != nil && l.Leaving {
		b.recordLeaving(l.Upstream, l.StartedAtMS, "its owner")
	}
}

// recordLoads records the loads of upstreams, as their owner reported them.
func (b *Box) recordLoads(l []policy.Load) {
	for i := range l {
		b.recordLoad(&l[i])
	}
}

// recordLeaving records the shutdown notice of an upstream which was born at a time, and
// reports whether that is news.
func (b *Box) recordLeaving(upstream string, startedAtMS int64, from string) bool {
	if !b.view.NoteLeaving(upstream, startedAtMS) {
		return false
	}
	event.LeavingNoticeReceived.Log(b.log, "upstream", upstream, "from", from)
	return true
}

// announceLeaving records an upstream's own shutdown notice, and announces it to all other
// boxes, unless the platform's list or another box had said so before: the list may be out of
// reach for long, and each box would go on sending there until an answer said so, too. An
// announcement costs a message to each box.
func (b *Box) announceLeaving(u *resource.Upstream, from string) {
	if !b.recordLeaving(u.Name, u.Spec.Born, from) {
		return
	}
	b.broadcast("", box.Request{Born: u.Spec.Born, Kind: box.KindLeaving, LeavingUpstream: u.Name}) // owners' loads repeat it
}
