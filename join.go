package linetiller

import (
	"context"
	"time"

	"github.com/linetiller/linetiller/internal/box"
)

// join learns of the other boxes and takes in the highest configuration that
// they or the table hold, before the first request.
func (b *Box) join(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, 2*heartbeatPeriod)
	defer cancel()
	for _, a := range b.settings.Peers {
		r, err := b.links.Once(ctx, a, b.request(box.Request{Kind: box.KindMembers}))
		if err != nil {
			continue
		}
		for _, m := range r.Members {
			b.members.Heard(m, time.Now())
		}
		_ = b.follower.CatchUp(ctx, a, r.Revisions)
	}
	_ = b.follower.Refresh(ctx) // the follower logs a failure, and tries again
	b.listMembers()
	b.workers.Go(func() { b.heartbeats(b.running) }) // boxes that are gone must not hold up the start
	b.beat.Store(int64(time.Since(b.started)))
}

// listMembers takes in the boxes that wrote where they are.
func (b *Box) listMembers() {
	var l []box.Member
	for _, x := range b.view.Boxes() {
		l = append(l, box.Member{Address: x.Spec.Address, Hall: x.Spec.Hall, Name: x.Name, State: box.StateServing})
	}
	b.members.List(l, time.Now())
}

// runMembers takes in every change of the boxes that are known.
func (b *Box) runMembers(ctx context.Context) {
	for {
		c := b.view.Changed()
		b.listMembers()
		select {
		case <-ctx.Done():
			return
		case <-c:
		}
	}
}
