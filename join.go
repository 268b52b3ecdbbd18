package linetiller

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/linetiller/linetiller/internal/box"
	"github.com/linetiller/linetiller/internal/resource"
)

const (
	// listenPeriod is how long a box that starts waits for its neighbours' word before it
	// reads everything from the store itself: where all boxes start at once, those that
	// read have it within some 100 ms and pass it on in three or four steps.
	listenPeriod = 700 * time.Millisecond
	// listenSpread is by how much that differs between boxes: the first that gives up
	// listening passes on what it reads.
	listenSpread = 800 * time.Millisecond
	// settlePeriod is how long a box that the store does not list yet waits, once it has
	// written its own row, for those of boxes that start with it: on the users' platform
	// all start within 0.3 s of each other. Without their rows each box takes itself for
	// one of its hall's readers and reads everything.
	settlePeriod = 400 * time.Millisecond
)

// askPeers learns of other boxes and of their configuration from the peers that the
// settings name. One that does not answer is passed over.
func (b *Box) askPeers(ctx context.Context) {
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
}

// join learns of the other boxes and takes in the highest configuration that
// they or the table hold, before the first request. Only its hall's readers read all
// of the store: at 300 boxes with a list of 3,000 upstreams a read by each box cost
// 0.03 of the worth served.
func (b *Box) join(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, 2*heartbeatPeriod)
	defer cancel()
	b.askPeers(ctx)
	err := b.follower.RefreshSource(ctx, resource.SourceBoxes) // the follower logs a failure, and tries again
	b.listMembers()
	if err == nil && b.view.Get(resource.KindBox, b.settings.Box) == nil {
		b.settle(ctx)
	}
	reads := b.follower.Reads()                      // as listed: others may start at this moment, too
	b.workers.Go(func() { b.heartbeats(b.running) }) // boxes that are gone must not hold up the start
	if reads || !b.listenForNews(ctx) {
		_ = b.follower.Refresh(ctx) // as above
	}
	b.listMembers()
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

// listenForNews waits until the neighbours have told something of every source, and
// reports whether they have.
func (b *Box) listenForNews(ctx context.Context) bool {
	t := time.NewTimer(listenPeriod + rand.N(listenSpread))
	defer t.Stop()
	for {
		c := b.view.Changed()
		if b.follower.Complete() {
			return true
		}
		select {
		case <-ctx.Done():
			return false
		case <-c:
		case <-t.C:
			return false
		}
	}
}

// settle writes where this box is and learns of the boxes that start with it.
func (b *Box) settle(ctx context.Context) {
	if b.register(ctx) != nil {
		return // it is tried again while the box runs
	}
	select {
	case <-ctx.Done():
	case <-time.After(settlePeriod):
	}
	_ = b.follower.RefreshSource(ctx, resource.SourceBoxes) // as above
	b.listMembers()
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
