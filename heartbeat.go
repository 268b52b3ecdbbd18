package linetiller

import (
	"context"
	"sync"
	"time"

	"github.com/linetiller/linetiller/internal/box"
	"github.com/linetiller/linetiller/internal/event"
	"github.com/linetiller/linetiller/internal/periodic"
)

const (
	tickInterval     = 200 * time.Millisecond // between beats, by which a pause of the box is noticed
	pauseThreshold   = time.Second            // after which a box takes itself to have been paused
	heartbeatTimeout = time.Second            // for one heartbeat to be answered
	refreshTimeout   = 500 * time.Millisecond // for the views to be renewed after a pause
)

// refreshAfterPause makes sure, before something is sent, that the box was not paused a
// moment ago; if it was, its views are of before the pause and are renewed.
func (b *Box) refreshAfterPause(ctx context.Context) {
	late := time.Since(b.started) - time.Duration(b.lastTick.Load())
	if late < pauseThreshold {
		return
	}
	event.ClockJumped.Log(b.log, "late", late.String())
	b.members.ClearFailures(time.Now())
	ctx, cancel := context.WithTimeout(ctx, refreshTimeout)
	defer cancel()
	if b.follower.RefreshFromPeerOrStore(ctx) != nil {
		b.sendHeartbeats(ctx)
	}
	b.lastTick.Store(int64(time.Since(b.started)))
}

// recordContact marks a peer as alive and fetches what it is ahead by.
func (b *Box) recordContact(ctx context.Context, q *box.Request) {
	if b.members.RecordContact(q.From, time.Now()) {
		event.PeerReachable.Log(b.log, "box", q.From.Name)
	}
	b.limits.markResponsive(q.From.Name)
	b.recordLoads(q.Loads)
	if b.follower.CatchUp(ctx, q.From.Address, q.Revisions) == nil { // or the next message tries again
		b.follower.RecordPeerViewAge(q.ViewAge)
	}
	b.fetchCrashes(ctx, q.From, q.CrashesDigest)
	if q.Kind == box.KindHeartbeat {
		b.fetchLimits(ctx, q.From, q.LimitsDigest)
	}
}

// sendHeartbeat sends a heartbeat to one peer.
func (b *Box) sendHeartbeat(ctx context.Context, m box.Member) {
	ctx, cancel := context.WithTimeout(ctx, heartbeatTimeout)
	defer cancel()
	began := time.Now()
	q := box.Request{ViewAge: b.follower.ViewAge(), Kind: box.KindHeartbeat, LimitsDigest: b.relay.Limits().Digest(began), Loads: b.owners.Loads(), CrashesDigest: b.relay.Quarantine().Digest(began)}
	r, err := b.links.CallOnce(ctx, m.Address, b.newRequest(q))
	if err != nil {
		if b.members.RecordFailure(m.Name, began, time.Now()) {
			event.PeerUnreachable.Log(b.log, "box", m.Name, "error", err.Error())
		}
		return
	}
	m.State = r.State
	b.recordLoads(r.Loads)
	if b.members.RecordContact(m, time.Now()) {
		event.PeerReachable.Log(b.log, "box", m.Name)
	}
	if b.follower.CatchUp(ctx, m.Address, r.Revisions) == nil { // or the next heartbeat tries again
		b.follower.RecordPeerViewAge(r.ViewAge)
	}
	b.fetchCrashes(ctx, m, r.CrashesDigest)
	b.fetchLimits(ctx, m, r.LimitsDigest)
}

// sendHeartbeats sends a heartbeat to each neighbour and waits for the answers.
func (b *Box) sendHeartbeats(ctx context.Context) {
	var g sync.WaitGroup
	for _, m := range b.members.Neighbours(time.Now()) {
		g.Go(func() { b.sendHeartbeat(ctx, m) })
	}
	g.Wait()
}

// runTicks beats while the box runs; a late beat tells that it was paused.
func (b *Box) runTicks(ctx context.Context) {
	periodic.Run(ctx, tickInterval, func(ctx context.Context) {
		b.refreshAfterPause(ctx)
		b.lastTick.Store(int64(time.Since(b.started)))
	})
}

func (b *Box) runHeartbeats(ctx context.Context) {
	periodic.Run(ctx, b.settings.Timeouts.Heartbeat.Duration, func(ctx context.Context) {
		b.sendHeartbeats(ctx)
		b.members.Expire(time.Now())
	})
}

// runPush passes a new configuration, what was fetched of crashes, or that this box leaves, on at
// once, by a heartbeat to each neighbour, who then asks for what is new. It begins with what the
// box learned as it started: neighbours may have started with it and know nothing.
func (b *Box) runPush(ctx context.Context) {
	leaveRequested := b.leaveRequested
	b.sendHeartbeats(ctx)
	for {
		c := b.view.Changed()
		select {
		case <-ctx.Done():
			return
		case <-b.pushRequested:
		case <-c:
		case <-leaveRequested:
			leaveRequested = nil
		}
		b.sendHeartbeats(ctx)
	}
}
