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
	beatEvery       = 200 * time.Millisecond // between beats, by which a pause of the box is noticed
	beatLate        = time.Second            // after which a box takes itself to have been paused
	heartbeatPeriod = time.Second            // for one heartbeat to be answered
	refreshPeriod   = 500 * time.Millisecond // for the views to be renewed after a pause
)

// fresh makes sure, before something is sent, that the box was not paused a
// moment ago; if it was, its views are of before the pause and are renewed.
func (b *Box) fresh(ctx context.Context) {
	late := time.Since(b.started) - time.Duration(b.beat.Load())
	if late < beatLate {
		return
	}
	event.ClockJumped.Log(b.log, "late", late.String())
	b.members.ClearFailures(time.Now())
	ctx, cancel := context.WithTimeout(ctx, refreshPeriod)
	defer cancel()
	if b.follower.RefreshFromPeerOrStore(ctx) != nil {
		b.heartbeats(ctx)
	}
	b.beat.Store(int64(time.Since(b.started)))
}

// heard marks a peer as alive and fetches what it is ahead by.
func (b *Box) heard(ctx context.Context, q *box.Request) {
	if b.members.RecordContact(q.From, time.Now()) {
		event.PeerReachable.Log(b.log, "box", q.From.Name)
	}
	b.limits.heard(q.From.Name)
	b.learnAll(q.Loads)
	if b.follower.CatchUp(ctx, q.From.Address, q.Revisions) == nil { // or the next message tries again
		b.follower.RecordPeerViewAge(q.ViewAge)
	}
	b.fetchCrashes(ctx, q.From, q.CrashesDigest)
	if q.Kind == box.KindHeartbeat {
		b.fetchLimits(ctx, q.From, q.LimitsDigest)
	}
}

// heartbeat sends a heartbeat to one peer.
func (b *Box) heartbeat(ctx context.Context, m box.Member) {
	ctx, cancel := context.WithTimeout(ctx, heartbeatPeriod)
	defer cancel()
	began := time.Now()
	q := box.Request{ViewAge: b.follower.ViewAge(), Kind: box.KindHeartbeat, LimitsDigest: b.relay.Limits().Digest(began), Loads: b.owners.Loads(), CrashesDigest: b.relay.Quarantine().Digest(began)}
	r, err := b.links.CallOnce(ctx, m.Address, b.request(q))
	if err != nil {
		if b.members.RecordFailure(m.Name, began, time.Now()) {
			event.PeerUnreachable.Log(b.log, "box", m.Name, "error", err.Error())
		}
		return
	}
	m.State = r.State
	b.learnAll(r.Loads)
	if b.members.RecordContact(m, time.Now()) {
		event.PeerReachable.Log(b.log, "box", m.Name)
	}
	if b.follower.CatchUp(ctx, m.Address, r.Revisions) == nil { // or the next heartbeat tries again
		b.follower.RecordPeerViewAge(r.ViewAge)
	}
	b.fetchCrashes(ctx, m, r.CrashesDigest)
	b.fetchLimits(ctx, m, r.LimitsDigest)
}

// heartbeats sends a heartbeat to each neighbour and waits for the answers.
func (b *Box) heartbeats(ctx context.Context) {
	var g sync.WaitGroup
	for _, m := range b.members.Neighbours(time.Now()) {
		g.Go(func() { b.heartbeat(ctx, m) })
	}
	g.Wait()
}

// runBeat beats while the box runs; a late beat tells that it was paused.
func (b *Box) runBeat(ctx context.Context) {
	periodic.Run(ctx, beatEvery, func(ctx context.Context) {
		b.fresh(ctx)
		b.beat.Store(int64(time.Since(b.started)))
	})
}

func (b *Box) runHeartbeats(ctx context.Context) {
	periodic.Run(ctx, b.settings.Timeouts.Heartbeat.Duration, func(ctx context.Context) {
		b.heartbeats(ctx)
		b.members.Expire(time.Now())
	})
}

// runPush passes a new configuration, what was fetched of crashes, or that this box leaves, on at
// once, by a heartbeat to each neighbour, who then asks for what is new. It begins with what the
// box learned as it started: neighbours may have started with it and know nothing.
func (b *Box) runPush(ctx context.Context) {
	left := b.left
	b.heartbeats(ctx)
	for {
		c := b.view.Changed()
		select {
		case <-ctx.Done():
			return
		case <-b.learned:
		case <-c:
		case <-left:
			left = nil
		}
		b.heartbeats(ctx)
	}
}
