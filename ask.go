package linetiller

import (
	"context"
	"time"

	"github.com/linetiller/linetiller/internal/box"
	"github.com/linetiller/linetiller/internal/policy"
	"github.com/linetiller/linetiller/internal/resource"
)

const askPeriod = time.Second // for an owner's first answer

// callAsk makes an ask of another box and passes its replies on until the last.
func (b *Box) callAsk(ctx context.Context, owner string, a *box.PlacementRequest, answer func(*box.Reply) error) error {
	c, err := b.links.Call(ctx, b.members.Address(owner), b.request(box.Request{Placement: a, Kind: box.KindPlacement}))
	if err != nil {
		return err
	}
	defer func() { _ = c.Close() }()
	for first := true; ; first = false {
		if first {
			c.SetReadDeadline(time.Now().Add(askPeriod))
		} else {
			c.SetReadDeadline(a.Work.Deadline)
		}
		r, err := c.Next()
		if err != nil {
			return err
		}
		if r.State == box.StateLeaving {
			b.members.MarkLeaving(owner)
		}
		if err := answer(r); err != nil || (r.Answer != nil && r.Answer.Verdict != policy.VerdictQueue) {
			return err
		}
	}
}

// takeTurn takes the turn to move a run away from an upstream, or there, at its owner.
// The owner is found from u itself: an engine that leaves may be listed no more.
func (b *Box) takeTurn(ctx context.Context, u *resource.Upstream, arriving bool, r *policy.Run) (func(), error) {
	o := policy.First(u.Name, b.members.Alive(u.Spec.Hall))
	if o == b.settings.Box {
		return b.turns.Acquire(ctx, u.Name, arriving, r)
	}
	// The wait ends with ctx; the turn, once it has come, only with its release.
	call, hangUp := context.WithCancel(context.WithoutCancel(ctx))
	stop := context.AfterFunc(ctx, hangUp)
	c, err := b.links.Call(call, b.members.Address(o), b.request(box.Request{Kind: box.KindMoveSlot, MoveSlot: &box.MoveSlotRequest{Inbound: arriving, Run: *r, Upstream: u.Name}}))
	if err != nil {
		hangUp()
		return nil, err
	}
	release := func() {
		_ = c.Close()
		hangUp()
	}
	if _, err := c.Next(); err != nil {
		release()
		return nil, err
	}
	stop()
	return release, nil
}

// sendUpdate sends an update to the owner of its upstream.
func (b *Box) sendUpdate(ctx context.Context, u *box.ProgressReport) (*box.Reply, error) {
	x := b.view.Upstream(u.Upstream)
	if x == nil {
		return &box.Reply{}, nil
	}
	o := policy.First(x.Name, b.members.Alive(x.Spec.Hall))
	if o == b.settings.Box {
		return b.owners.Update(u), nil
	}
	return b.links.CallOnce(ctx, b.members.Address(o), b.request(box.Request{Kind: box.KindProgress, Progress: u}))
}
