package linetiller

import (
	"github.com/linetiller/linetiller/internal/box"
	"github.com/linetiller/linetiller/internal/event"
	"github.com/linetiller/linetiller/internal/policy"
	"github.com/linetiller/linetiller/internal/resource"
)

// announceLeaving records an upstream's own shutdown notice and announces it to all other boxes,
// unless the platform's list or another box reported it before. Without the announcement, each box
// would go on sending requests to the upstream until one of its own responses contained the notice,
// because the list may be unavailable for long. An announcement costs one message per box.
func (b *Box) announceLeaving(u *resource.Upstream, from string) {
	if !b.recordLeaving(u.Name, u.Spec.StartedAtMS, from) {
		return
	}
	b.broadcast("", box.Request{StartedAtMS: u.Spec.StartedAtMS, Kind: box.KindLeaving, LeavingUpstream: u.Name}) // not retried: the owner's load reports contain it, too
}

// recordLeaving records that an upstream, whose process started at startedAtMS (Unix milliseconds),
// is leaving, and logs it. It reports whether that was unknown.
func (b *Box) recordLeaving(upstream string, startedAtMS int64, from string) bool {
	if !b.view.RecordLeaving(upstream, startedAtMS) {
		return false
	}
	event.LeavingNoticeReceived.Log(b.log, "upstream", upstream, "from", from)
	return true
}

// recordLoad records the load of an upstream, as reported by its owner.
func (b *Box) recordLoad(l *policy.Load) {
	b.reserved.RecordLoad(l)
	if l != nil && l.Leaving {
		b.recordLeaving(l.Upstream, l.StartedAtMS, "its owner")
	}
}

// recordLoads records the loads of upstreams, as reported by their owner.
func (b *Box) recordLoads(l []policy.Load) {
	for i := range l {
		b.recordLoad(&l[i])
	}
}
