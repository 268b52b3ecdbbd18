package linetiller

import (
	"context"
	"time"

	"github.com/linetiller/linetiller/internal/box"
)

// answer answers one request of another box, once this one serves: it listens before its parts are
// there.
func (b *Box) answer(ctx context.Context, q *box.Request, answer func(*box.Reply) error) {
	if !b.awaitServing(ctx) {
		return
	}
	b.heard(ctx, q)
	reply := answer
	answer = func(r *box.Reply) error {
		r.Revisions = b.view.Revisions()
		r.SentAt = time.Now()
		r.State = b.members.Self().State
		return reply(r)
	}
	switch q.Kind {
	case box.KindPlacement:
		b.owners.Ask(ctx, q.Placement, answer)
	case box.KindListUnreadable, box.KindLeaving, box.KindServed:
		b.noteAnnouncement(q)
		_ = answer(&box.Reply{})
	case box.KindChanges:
		_ = answer(&box.Reply{Changes: b.view.Missing(q.Revisions)})
	case box.KindCleared, box.KindReportCrashes, box.KindListCrashes:
		_ = answer(b.answerCrashes(q))
	case box.KindHeartbeat:
		now := time.Now()
		_ = answer(&box.Reply{ViewAge: b.follower.ViewAge(), LimitsDigest: b.relay.Limits().Digest(now), Loads: b.owners.Loads(), CrashesDigest: b.relay.Quarantine().Digest(now)})
	case box.KindInForce:
		_ = answer(&box.Reply{Halls: b.inForceHere(ctx, q.Forward)})
	case box.KindLimits, box.KindPermit:
		_ = answer(b.answerLimits(ctx, q))
	case box.KindMembers:
		_ = answer(&box.Reply{Members: b.members.Members()})
	case box.KindWatchChanges:
		_ = answer(b.follower.WatchChanges(ctx, q.Revisions, q.Wait))
	case box.KindMoveSlot:
		b.answerTurn(ctx, q.MoveSlot, answer)
	case box.KindProgress:
		_ = answer(b.owners.Update(q.Progress))
	default:
		_ = answer(&box.Reply{Error: "bad_message"})
	}
}

// answerTurn tells a caller that its run's turn has come, and holds the turn until
// the caller hangs up.
func (b *Box) answerTurn(ctx context.Context, t *box.MoveSlotRequest, answer func(*box.Reply) error) {
	release, err := b.turns.Acquire(ctx, t.Upstream, t.Inbound, &t.Run)
	if err != nil {
		return
	}
	defer release()
	if answer(&box.Reply{MoveSlot: &box.MoveSlotReply{Granted: true}}) == nil {
		<-ctx.Done()
	}
}

// awaitServing waits until the box serves, and reports whether it does before the context ends.
func (b *Box) awaitServing(ctx context.Context) bool {
	select {
	case <-b.serving:
		return true
	case <-ctx.Done():
		return false
	}
}

// request fills in what every request carries.
func (b *Box) request(q box.Request) *box.Request {
	q.From = b.members.Self()
	q.Revisions = b.view.Revisions()
	q.SentAt = time.Now()
	return &q
}

// noteAnnouncement records what another box announces of the platform's list, of an upstream or of what
// it served.
func (b *Box) noteAnnouncement(q *box.Request) {
	switch q.Kind { //nolint:exhaustive // The others are answered elsewhere.
	case box.KindListUnreadable:
		b.follower.RecordPeerListUnavailable(q.From.Name, q.ListUnreadable)
	case box.KindLeaving:
		b.noteLeaving(q.LeavingUpstream, q.Born, q.From.Name)
	case box.KindServed:
		b.addRuns(q.Served)
	}
}
