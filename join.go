package linetiller

import (
	"context"
	"math"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/linetiller/linetiller/internal/box"
	"github.com/linetiller/linetiller/internal/resource"
)

const (
	// joinTimeout limits the whole join. After it, a box serves with whatever it has learned. A list
	// of 10,000 upstreams takes a small box two to three seconds.
	joinTimeout = 6 * time.Second
	// joinProgressWait is how long a starting box goes on waiting after a page of changes has arrived.
	joinProgressWait = 500 * time.Millisecond
	// neighbourWait is how long a starting box waits for its neighbours to send the configuration
	// before it reads everything from the store itself. If all boxes start at once, those that read
	// the store have the configuration within about 100 ms, and it reaches the others in three or
	// four hops.
	neighbourWait = 700 * time.Millisecond
	// neighbourWaitJitter is the random part of that wait. It differs between boxes, so that the
	// first one to give up passes on what it reads to those that still wait.
	neighbourWaitJitter = 800 * time.Millisecond
	// boxRowsWait is how long a box that the store does not list yet waits, after writing its own
	// row, for the rows of boxes that start at the same time. All boxes of a system may start
	// within 0.3 s of each other. Without their rows, each box would consider itself one of those
	// that read the whole store.
	boxRowsWait = 400 * time.Millisecond
	// membersInterval is the longest time between two updates of the member table from the list of
	// boxes.
	membersInterval = 5 * time.Second
	// maxBoxRowsJitter bounds the random part of that wait when the system starts for the first
	// time. The first box to read the rows sends them to the others, which then need not read them.
	maxBoxRowsJitter = 2 * time.Second
	// boxRowsSkew is the rate of the exponential distribution of that random part, counted from its
	// bound. Most boxes wait for nearly all of it and only few for a short time, so that the number
	// of boxes which read the rows before they get them hardly grows with the number of boxes, up
	// to e to its power. (Exponential feedback suppression, as for negative acknowledgements of
	// multicasts.)
	boxRowsSkew = 8
)

// contactPeers fetches the known boxes and the configuration from the peers named in the settings.
// Peers that do not reply are skipped.
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

// join discovers the other boxes and applies the latest configuration that they or the store hold,
// before the first request. Only a few boxes read the whole store: with 300 boxes and a list of
// 3,000 upstreams, a read by every box costs 0.03 of the value served.
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
	b.startWorker(func() { b.sendHeartbeats(b.serveContext, b.members.Neighbours(time.Now()), false) }) // not awaited: unreachable boxes must not delay the start
	b.startWorker(func() { b.follower.WatchPeers(b.serveContext) })
	if b.follower.ReadsStore() || !b.awaitNeighbours(ctx) {
		_ = b.follower.RefreshExceptBoxes(ctx) // the follower logs a failure and retries
	}
	b.updateMembers()
	g.Wait()
	b.lastTick.Store(int64(time.Since(b.started)))
}

// updateMembers adds the boxes listed in the store to the member table.
func (b *Box) updateMembers() {
	var l []box.Member
	for _, x := range b.view.Boxes() {
		s := box.StateServing
		if x.Spec.Lost() {
			s = box.StateLost
		}
		l = append(l, box.Member{Address: x.Spec.Address, Hall: x.Spec.Hall, Name: x.Name, State: s})
	}
	b.members.ApplyList(l, time.Now())
}

// awaitNeighbours waits until the neighbours have sent data of every source, for as long as pages of
// it arrive. It reports false if the wait or ctx ends first.
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
			left := time.Until(b.follower.FetchedChangesAt().Add(joinProgressWait))
			if left <= 0 {
				return false
			}
			t.Reset(left)
		}
	}
}

// listed reports whether the store lists this box as serving.
func (b *Box) listed() bool {
	r := b.view.Get(resource.KindBox, b.settings.Box)
	if r == nil {
		return false
	}
	s, err := resource.Decode[resource.BoxSpec](r)
	return err == nil && !s.Lost()
}

// readBoxes reads the list of boxes from the store. If this box is not listed, it writes its row
// and reads the list again, to find boxes that start at the same time.
func (b *Box) readBoxes(ctx context.Context) {
	err := b.follower.RefreshSource(ctx, resource.SourceBoxes) // the follower logs a failure and retries
	if err != nil || b.listed() {
		return
	}
	if b.register(ctx) != nil {
		return // runRegister retries
	}
	select {
	case <-ctx.Done():
	case <-time.After(boxRowsWait):
	}
	_ = b.follower.RefreshSource(ctx, resource.SourceBoxes) // logged and retried, too
}

// awaitBoxes writes this box's row and waits until one of the boxes that start at the same time has
// sent the list of boxes. It reports whether one has: all but the first few boxes need not read the
// list themselves.
func (b *Box) awaitBoxes(ctx context.Context) bool {
	_ = b.register(ctx) // runRegister retries
	t := time.NewTimer(boxRowsWait + boxRowsJitter(rand.Float64()))
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

// boxRowsJitter returns the random part of the wait for the list of boxes, for a random number in
// [0, 1).
func boxRowsJitter(random float64) time.Duration {
	return time.Duration(max(0, 1+math.Log(random)/boxRowsSkew) * float64(maxBoxRowsJitter))
}

// runMembers updates the member table whenever the list of boxes changes, and regularly, since the
// list takes precedence over what a box reported about itself once that is old.
func (b *Box) runMembers(ctx context.Context) {
	t := time.NewTicker(membersInterval)
	defer t.Stop()
	for updated := uint64(0); ; {
		c, version := b.view.Changed(), b.view.BoxesVersion()
		if version != updated {
			b.updateMembers()
			updated = version
		}
		select {
		case <-ctx.Done():
			return
		case <-c:
		case <-t.C:
			b.updateMembers()
		}
	}
}
