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

// tell sends a request to all other boxes of a hall, "" for all halls, without waiting
// for their answers.
func (b *Box) tell(ctx context.Context, hall string, q box.Request) {
	for _, m := range b.members.Members()[1:] {
		if hall != "" && m.Hall != hall {
			continue
		}
		b.workers.Go(func() {
			ctx, cancel := context.WithDeadline(ctx, time.Now().Add(heartbeatPeriod))
			defer cancel()
			_, _ = b.links.Once(ctx, m.Address, b.request(q)) // told again, or by others
		})
	}
}

// tellAway tells the boxes of the hall that the platform's list of upstreams cannot be
// read, or can be again: those that do not read it themselves own upstreams, too.
func (b *Box) tellAway(ctx context.Context, away bool) {
	b.tell(ctx, b.settings.Hall, box.Request{Away: away, Kind: box.KindAway})
}

// tellLeaving takes in that an upstream's report says that it is leaving, and
// tells all other boxes, unless the platform's list had said so before.
func (b *Box) tellLeaving(ctx context.Context, upstream string) {
	if !b.noteLeaving(upstream, "its report") {
		return
	}
	b.tell(ctx, "", box.Request{Kind: box.KindLeaving, Leaving: upstream}) // owners' loads tell it again
}
