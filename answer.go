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
	case box.KindAsk:
		b.owners.Ask(ctx, q.Ask, answer)
	case box.KindAway, box.KindLeaving, box.KindServed:
		b.noteAnnouncement(q)
		_ = answer(&box.Reply{})
	case box.KindChanges:
		_ = answer(&box.Reply{Changes: b.view.Missing(q.Revisions)})
	case box.KindCleared, box.KindCrashed, box.KindCrashes:
		_ = answer(b.answerCrashes(q))
	case box.KindHeartbeat:
		now := time.Now()
		_ = answer(&box.Reply{Age: b.follower.Age(), Limited: b.relay.Limits().Digest(now), Loads: b.owners.Loads(), Quarantine: b.relay.Quarantine().Digest(now)})
	case box.KindInForce:
		_ = answer(&box.Reply{Halls: b.inForceHere(ctx, q.Forward)})
	case box.KindLimits, box.KindPermit:
		_ = answer(b.answerLimits(ctx, q))
	case box.KindMembers:
		_ = answer(&box.Reply{Members: b.members.Members()})
	case box.KindNews:
		_ = answer(b.follower.News(ctx, q.Revisions, q.Wait))
	case box.KindTurn:
		b.answerTurn(ctx, q.Turn, answer)
	case box.KindUpdate:
		_ = answer(b.owners.Update(q.Update))
	default:
		_ = answer(&box.Reply{Error: "bad_message"})
	}
}

// answerTurn tells a caller that its run's turn has come, and holds the turn until
// the caller hangs up.
func (b *Box) answerTurn(ctx context.Context, t *box.Turn, answer func(*box.Reply) error) {
	release, err := b.turns.Take(ctx, t.Upstream, t.Arriving, &t.Run)
	if err != nil {
		return
	}
	defer release()
	if answer(&box.Reply{Turn: &box.TurnAnswer{Granted: true}}) == nil {
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
	case box.KindAway:
		b.follower.HeardAway(q.From.Name, q.Away)
	case box.KindLeaving:
		b.noteLeaving(q.Leaving, q.Born, q.From.Name)
	case box.KindServed:
		b.addRuns(q.Served)
	}
}
