package linetiller

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/linetiller/linetiller/internal/box"
	"github.com/linetiller/linetiller/internal/resource"
)

const (
	// joinTimeout bounds all of it: a box that could not learn anything serves what it can.
	joinTimeout = 3 * time.Second
	// neighbourWait is how long a box that starts waits for its neighbours' word before it
	// reads everything from the store itself: where all boxes start at once, those that
	// read have it within some 100 ms and pass it on in three or four steps.
	neighbourWait = 700 * time.Millisecond
	// neighbourWaitJitter is by how much that differs between boxes: the first that gives up
	// listening passes on what it reads.
	neighbourWaitJitter = 800 * time.Millisecond
	// boxRowsWait is how long a box that the store does not list yet waits, once it has
	// written its own row, for those of boxes that start with it: on the users' platform all start
	// within 0.3 s of each other. Without their rows each box takes itself for one of those
	// that read everything.
	boxRowsWait = 400 * time.Millisecond
	// boxRowsWaitJitter is by how much that differs between boxes of a system that starts for the
	// first time: the first to read the rows tells the others, which then need not.
	boxRowsWaitJitter = 1200 * time.Millisecond
)

// contactPeers learns of other boxes and of their configuration from the peers that the
// settings name. One that does not answer is passed over.
func (b *Box) contactPeers(ctx context.Context) {
	for _, a := range b.settings.Peers {
		r, err := b.links.CallOnce(ctx, a, b.newRequest(box.Request{Kind: box.KindMembers}))
		if err != nil {
			continue
		}
		for _, m := range r.Members {
			b.members.RecordContact(m, time.Now())
		}
		_ = b.follower.CatchUp(ctx, a, r.Revisions)
	}
}

// join learns of the other boxes and applies the highest configuration that
// they or the table hold, before the first request. Only few boxes read all
// of the store: at 300 boxes with a list of 3,000 upstreams a read by each box cost
// 0.03 of the worth served.
func (b *Box) join(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, joinTimeout)
	defer cancel()
	b.contactPeers(ctx)
	if !b.settings.FirstStart || !b.awaitBoxes(ctx) {
		b.readBoxes(ctx)
	}
	b.updateMembers()
	var g sync.WaitGroup
	g.Go(func() { b.fetchFromNeighbours(ctx) })
	b.startWorker(func() { b.sendHeartbeats(b.serveContext) }) // boxes that are gone must not hold up the start
	b.startWorker(func() { b.follower.WatchPeers(b.serveContext) })
	if b.follower.ReadsStore() || !b.awaitNeighbours(ctx) {
		_ = b.follower.RefreshExceptBoxes(ctx) // as above
	}
	b.updateMembers()
	g.Wait()
	b.lastTick.Store(int64(time.Since(b.started)))
}

// updateMembers records the boxes that wrote where they are.
func (b *Box) updateMembers() {
	var l []box.Member
	for _, x := range b.view.Boxes() {
		l = append(l, box.Member{Address: x.Spec.Address, Hall: x.Spec.Hall, Name: x.Name, State: box.StateServing})
	}
	b.members.ApplyList(l, time.Now())
}

// awaitNeighbours waits until the neighbours have told something of every source, and
// reports whether they have.
func (b *Box) awaitNeighbours(ctx context.Context) bool {
	t := time.NewTimer(neighbourWait + rand.N(neighbourWaitJitter))
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

// readBoxes reads which boxes there are. A box that is not listed writes where it is, and
// looks again for those that start with it.
func (b *Box) readBoxes(ctx context.Context) {
	err := b.follower.RefreshSource(ctx, resource.SourceBoxes) // the follower logs a failure, and tries again
	if err != nil || b.view.Get(resource.KindBox, b.settings.Box) != nil {
		return
	}
	if b.register(ctx) != nil {
		return // it is tried again while the box runs
	}
	select {
	case <-ctx.Done():
	case <-time.After(boxRowsWait):
	}
	_ = b.follower.RefreshSource(ctx, resource.SourceBoxes) // as above
}

// awaitBoxes writes where this box is, and waits for one of the boxes that start with it
// to tell of them. It reports whether one has: all but the first few need not read the rows.
func (b *Box) awaitBoxes(ctx context.Context) bool {
	_ = b.register(ctx) // as in readBoxes
	t := time.NewTimer(boxRowsWait + rand.N(boxRowsWaitJitter))
	defer t.Stop()
	for {
		c := b.view.Changed()
		if b.view.Revisions()[resource.SourceBoxes] > 0 {
			return true
		}
		select {
		case <-c:
		case <-t.C:
			return false
		case <-ctx.Done():
			return false
		}
	}
}

// runMembers records every change of the boxes that are known.
func (b *Box) runMembers(ctx context.Context) {
	for {
		c := b.view.Changed()
		b.updateMembers()
		select {
		case <-ctx.Done():
			return
		case <-c:
		}
	}
}
