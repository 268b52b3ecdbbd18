package linetiller

import (
	"context"
	"time"

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
func (b *Box) tellLeaving(ctx context.Context, upstream string) {
	if !b.noteLeaving(upstream, "its report") {
		return
	}
	for _, m := range b.members.Members()[1:] {
		b.workers.Go(func() {
			ctx, cancel := context.WithDeadline(ctx, time.Now().Add(heartbeatPeriod))
			defer cancel()
			_, _ = b.links.Once(ctx, m.Address, b.request(box.Request{Kind: box.KindLeaving, Leaving: upstream})) // owners' loads tell it again
		})
	}
}
