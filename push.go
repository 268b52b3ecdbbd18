package linetiller

import (
	"context"
	"time"
)

const (
	// pushWait is how long a push delays the next one. Neighbours that have not replied by then
	// are not waited for: one that lost power replies only at heartbeatTimeout.
	pushWait = 50 * time.Millisecond
	// inNeighbourHeartbeats is the number of heartbeat intervals without a heartbeat after which a box
	// no longer counts as having this one as its neighbour.
	inNeighbourHeartbeats = 3
)

// awaitPush waits until the next push may be sent. The wait ends at once if a crash becomes known,
// this box begins to leave or there is a new configuration. It reports whether the push has to go
// to all neighbours.
func (b *Box) awaitPush(ctx context.Context, leaveRequested <-chan struct{}) (all bool) {
	t := time.NewTimer(time.Until(b.pushes.take(time.Now())))
	defer t.Stop()
	for {
		c := b.view.Changed()
		if b.pushes.urgent(b.view.Revisions()) {
			return false
		}
		select {
		case <-ctx.Done():
			return false
		case <-t.C:
			return false
		case <-leaveRequested:
			return false // runPush then pushes once more, to all
		case <-b.pushRequested:
			return true
		case <-c:
		}
	}
}

// push sends heartbeats to the boxes that may lack what this box knows, or to all, among its
// neighbours and the boxes whose neighbour it is.
func (b *Box) push(ctx context.Context, all bool) {
	now, r := time.Now(), b.view.Revisions()
	l := b.pushes.withInNeighbours(b.members.Neighbours(now), now.Add(-inNeighbourHeartbeats*b.settings.Timeouts.Heartbeat.Duration))
	b.pushes.recordPush(r)
	if lacking := b.pushes.lacking(l, r); !all {
		l = lacking
	}
	replied := make(chan struct{})
	if !b.startWorker(func() { defer close(replied); b.sendHeartbeats(ctx, l, true) }) {
		return
	}
	select {
	case <-replied:
	case <-time.After(pushWait):
	}
}

// runPush sends heartbeats to other boxes soon after the view changes, a crash becomes known or
// this box begins to leave, instead of waiting for the next interval. They then fetch what is new.
// The first heartbeats are sent at once, because neighbours that started at the same time lack what
// this box learned while it joined.
func (b *Box) runPush(ctx context.Context) {
	leaveRequested := b.leaveRequested
	for all := true; ctx.Err() == nil; {
		c := b.view.Changed() // before the push, which does not contain later changes
		b.push(ctx, all)
		all = false
		select {
		case <-ctx.Done():
		case <-b.pushRequested:
			all = true
		case <-c:
			all = b.awaitPush(ctx, leaveRequested)
		case <-leaveRequested:
			leaveRequested, all = nil, true
		}
	}
}
