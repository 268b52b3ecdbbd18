package linetiller

import (
	"github.com/linetiller/linetiller/internal/box"
	"github.com/linetiller/linetiller/internal/event"
	"github.com/linetiller/linetiller/internal/policy"
)

// learn takes in the load of an upstream, as its owner told it.
func (b *Box) learn(l *policy.Load) {
	b.reserved.Learn(l)
	if l != nil && l.Leaving {
		b.noteLeaving(l.Upstream, "its owner")
	}
}

// learnAll takes in the loads of upstreams, as their owner told them.
func (b *Box) learnAll(l []policy.Load) {
	for i := range l {
		b.learn(&l[i])
	}
}

// noteLeaving takes in that an upstream told that it is leaving, and reports
// whether that is news.
func (b *Box) noteLeaving(upstream, from string) bool {
	if !b.view.NoteLeaving(upstream) {
		return false
	}
	event.LeavingHeard.Log(b.log, "upstream", upstream, "from", from)
	return true
}

// tellLeaving takes in that an upstream's report says that it is leaving, and
// tells all other boxes, unless the platform's list had said so before.
func (b *Box) tellLeaving(upstream string) {
	if !b.noteLeaving(upstream, "its report") {
		return
	}
	b.tell("", box.Request{Kind: box.KindLeaving, Leaving: upstream}) // owners' loads tell it again
}
