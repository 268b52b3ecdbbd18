package linetiller

import (
	"context"
	"time"

	"github.com/linetiller/linetiller/internal/box"
)

// awaitServing waits until the box serves. It reports false if ctx ends first.
func (b *Box) awaitServing(ctx context.Context) bool {
	select {
	case <-b.serving:
		return true
	case <-ctx.Done():
		return false
	}
}

// changesAfter returns the changes that the sender of a request lacks, or one page of them.
func (b *Box) changesAfter(q *box.Request) *box.Reply {
	if q.MaxChanges <= 0 {
		return &box.Reply{Changes: b.view.Missing(q.Revisions)}
	}
	l, next := b.view.MissingPage(q.Revisions, q.PageAfter, q.MaxChanges)
	return &box.Reply{Changes: l, NextPage: next}
}

// handleMoveSlot waits until a move slot of the upstream is granted to the run, reports that to the
// caller, and holds the slot until the caller ends the call.
func (b *Box) handleMoveSlot(ctx context.Context, t *box.MoveSlotRequest, send func(*box.Reply) error) {
	release, err := b.moveSlots.Acquire(ctx, t.Upstream, t.Inbound, &t.Run)
	if err != nil {
		return
	}
	defer release()
	if send(&box.Reply{MoveSlot: &box.MoveSlotReply{Granted: true}}) == nil {
		<-ctx.Done()
	}
}

// handleRequest handles a request from another box. Requests that arrive before this box serves
// wait until it does, because the box listens before its components are built.
func (b *Box) handleRequest(ctx context.Context, q *box.Request, send func(*box.Reply) error) {
	if !b.awaitServing(ctx) {
		return
	}
	b.recordContact(ctx, q)
	sendPlain := send
	send = func(r *box.Reply) error {
		r.Revisions = b.view.Revisions()
		r.SentAt = time.Now()
		r.State = b.members.Self().State
		return sendPlain(r)
	}
	switch q.Kind {
	case box.KindPlacement:
		b.owners.RequestPlace(ctx, q.Placement, send)
	case box.KindListUnavailable, box.KindLeaving, box.KindReportCompleted:
		b.recordAnnouncement(q)
		_ = send(&box.Reply{})
	case box.KindChanges:
		_ = send(b.changesAfter(q))
	case box.KindReportCleared, box.KindReportCrashes, box.KindListCrashes:
		_ = send(b.handleCrashes(q))
	case box.KindHeartbeat:
		now := time.Now()
		_ = send(&box.Reply{ViewAge: b.follower.ViewAge(), LimitsDigest: b.relay.Limits().Digest(now), Loads: b.owners.Loads(q.BusyLoadsOnly), CrashesDigest: b.relay.Quarantine().Digest(now)})
	case box.KindInForce:
		_ = send(&box.Reply{Halls: b.inForceLocal(ctx, q.WholeHall)})
	case box.KindLimits, box.KindPermit:
		_ = send(b.handleLimits(ctx, q))
	case box.KindMembers:
		_ = send(&box.Reply{Members: b.members.Members()})
	case box.KindWatchChanges:
		_ = send(b.follower.WatchChanges(ctx, q.Revisions, q.Wait))
	case box.KindMoveSlot:
		b.handleMoveSlot(ctx, q.MoveSlot, send)
	case box.KindProgress:
		_ = send(b.owners.RecordProgress(q.Progress))
	default:
		_ = send(&box.Reply{Error: "bad_message"})
	}
}

// newRequest returns a copy of q with the fields that every request carries.
func (b *Box) newRequest(q box.Request) *box.Request {
	q.From = b.members.Self()
	q.Revisions = b.view.Revisions()
	q.SentAt = time.Now()
	return &q
}

// recordAnnouncement records what another box announces: whether it can read the platform's list of
// upstreams, that an upstream is leaving, or the requests that it completed.
func (b *Box) recordAnnouncement(q *box.Request) {
	switch q.Kind { //nolint:exhaustive // handleRequest handles the other kinds.
	case box.KindListUnavailable:
		b.follower.RecordPeerListUnavailable(q.From.Name, q.ListUnavailable)
	case box.KindLeaving:
		b.recordLeaving(q.LeavingUpstream, q.StartedAtMS, q.From.Name)
	case box.KindReportCompleted:
		b.addRuns(q.CompletedRuns)
	}
}
