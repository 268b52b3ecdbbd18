package linetiller

import (
	"context"
	"sync"
	"time"

	"github.com/linetiller/linetiller/internal/box"
	"github.com/linetiller/linetiller/internal/event"
	"github.com/linetiller/linetiller/internal/periodic"
	"github.com/linetiller/linetiller/internal/resource"
)

const (
	tickInterval     = 200 * time.Millisecond // between ticks, by which the box detects that its process was paused
	pauseThreshold   = time.Second            // time since the last tick from which the process counts as paused
	heartbeatTimeout = time.Second            // for the reply to a heartbeat or another short call
	refreshTimeout   = 500 * time.Millisecond // for renewing the views after a pause
	catchUpWait      = 300 * time.Millisecond // of a message for the changes of which it gave notice
)

// catchUp fetches the changes that the box at address has and this one does not, and records the age
// of that box's view. It waits for at most catchUpWait, and the changes go on being fetched: neither
// the other box nor this one may hold up its messages for a long list. On failure, the next message
// retries.
func (b *Box) catchUp(address string, r resource.Revisions, viewAge time.Duration) {
	if !b.view.Revisions().Behind(r) {
		b.follower.RecordPeerViewAge(viewAge)
		return
	}
	began, done := time.Now(), make(chan struct{})
	if !b.startWorker(func() {
		defer close(done)
		if b.follower.CatchUp(b.serveContext, address, r) == nil && viewAge > 0 {
			b.follower.RecordPeerViewAge(viewAge + time.Since(began))
		}
	}) {
		return
	}
	select {
	case <-done:
	case <-time.After(catchUpWait):
	}
}

// recordContact records a request from another box as a sign of life. It fetches the changes and
// crashes, and after a heartbeat also the limits, that the other box has and this one does not.
func (b *Box) recordContact(ctx context.Context, q *box.Request) {
	if b.members.RecordContact(q.From, time.Now()) {
		event.PeerReachable.Log(b.log, "box", q.From.Name)
	}
	b.limits.markResponsive(q.From.Name)
	b.recordLoads(q.Loads)
	b.pushes.recordKnown(q.From.Name, q.Revisions)
	b.catchUp(q.From.Address, q.Revisions, q.ViewAge)
	b.fetchCrashes(ctx, q.From, q.CrashesDigest)
	if q.Kind == box.KindHeartbeat && !q.BusyLoadsOnly {
		b.pushes.recordInNeighbour(q.From, time.Now())
	}
	if q.Kind == box.KindHeartbeat {
		b.fetchLimits(ctx, q.From, q.LimitsDigest)
	}
}

// refreshAfterPause renews the views if the process was paused recently, because they then date
// from before the pause. It is called at every tick and before requests are sent to upstreams.
func (b *Box) refreshAfterPause(ctx context.Context) {
	sinceTick := time.Since(b.started) - time.Duration(b.lastTick.Load())
	if sinceTick < pauseThreshold {
		return
	}
	event.ClockJumped.Log(b.log, "late", sinceTick.String())
	b.members.ClearFailures(time.Now())
	ctx, cancel := context.WithTimeout(ctx, refreshTimeout)
	defer cancel()
	if b.follower.RefreshFromPeerOrStore(ctx) != nil {
		b.sendHeartbeats(ctx, b.members.Neighbours(time.Now()), false)
	}
	b.lastTick.Store(int64(time.Since(b.started)))
}

// runHeartbeats sends heartbeats at the configured interval and expires unreachable boxes.
func (b *Box) runHeartbeats(ctx context.Context) {
	periodic.Run(ctx, b.settings.Timeouts.Heartbeat.Duration, func(ctx context.Context) {
		b.sendHeartbeats(ctx, b.members.Neighbours(time.Now()), false)
		b.members.Expire(time.Now())
	})
}

// runTicks records the time of each tick. A late tick means that the process was paused.
func (b *Box) runTicks(ctx context.Context) {
	periodic.Run(ctx, tickInterval, func(ctx context.Context) {
		b.refreshAfterPause(ctx)
		b.lastTick.Store(int64(time.Since(b.started)))
	})
}

// sendHeartbeat sends a heartbeat to one box, records whether it replied, and fetches the changes,
// crashes and limits that this box lacks. With busyLoadsOnly, loads of idle upstreams are left out.
func (b *Box) sendHeartbeat(ctx context.Context, m box.Member, busyLoadsOnly bool) {
	ctx, cancel := context.WithTimeout(ctx, heartbeatTimeout)
	defer cancel()
	began := time.Now()
	q := box.Request{ViewAge: b.follower.ViewAge(), Kind: box.KindHeartbeat, LimitsDigest: b.relay.Limits().Digest(began), Loads: b.owners.Loads(busyLoadsOnly), BusyLoadsOnly: busyLoadsOnly, CrashesDigest: b.relay.Quarantine().Digest(began)}
	r, err := b.links.CallOnce(ctx, m.Address, b.newRequest(q))
	if err != nil {
		if b.members.RecordFailure(m.Name, began, time.Now()) {
			event.PeerUnreachable.Log(b.log, "box", m.Name, "error", err.Error())
		}
		return
	}
	m.State = r.State
	b.pushes.recordKnown(m.Name, r.Revisions)
	b.recordLoads(r.Loads)
	if b.members.RecordContact(m, time.Now()) {
		event.PeerReachable.Log(b.log, "box", m.Name)
	}
	b.catchUp(m.Address, r.Revisions, r.ViewAge)
	b.fetchCrashes(ctx, m, r.CrashesDigest)
	b.fetchLimits(ctx, m, r.LimitsDigest)
}

// sendHeartbeats sends a heartbeat to each of the boxes and waits for the replies.
func (b *Box) sendHeartbeats(ctx context.Context, l []box.Member, busyLoadsOnly bool) {
	var g sync.WaitGroup
	for _, m := range l {
		g.Go(func() { b.sendHeartbeat(ctx, m, busyLoadsOnly) })
	}
	g.Wait()
}
