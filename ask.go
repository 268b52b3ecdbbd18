package linetiller

import (
	"context"
	"time"

	"github.com/linetiller/linetiller/internal/box"
	"github.com/linetiller/linetiller/internal/policy"
	"github.com/linetiller/linetiller/internal/resource"
)

const placementTimeout = time.Second // for an owner's first answer

// requestPlacement makes an ask of another box and passes its replies on until the last.
func (b *Box) requestPlacement(ctx context.Context, owner string, a *box.PlacementRequest, onReply func(*box.Reply) error) error {
	c, err := b.links.Call(ctx, b.members.Address(owner), b.newRequest(box.Request{Placement: a, Kind: box.KindPlacement}))
	if err != nil {
		return err
	}
	defer func() { _ = c.Close() }()
	for first := true; ; first = false {
		if first {
			c.SetReadDeadline(time.Now().Add(placementTimeout))
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
		if err := onReply(r); err != nil || (r.Answer != nil && r.Answer.Verdict != policy.VerdictQueue) {
			return err
		}
	}
}

// acquireMoveTurn takes the turn to move a run away from an upstream, or there, at its owner.
// The owner is found from u itself: an engine that leaves may be listed no more.
func (b *Box) acquireMoveTurn(ctx context.Context, u *resource.Upstream, inbound bool, r *policy.Run) (func(), error) {
	o := policy.First(u.Name, b.members.Alive(u.Spec.Hall))
	if o == b.settings.Box {
		return b.moveTurns.Acquire(ctx, u.Name, inbound, r)
	}
	// The wait ends with ctx; the turn, once it has come, only with its release.
	callCtx, cancelCall := context.WithCancel(context.WithoutCancel(ctx))
	stop := context.AfterFunc(ctx, cancelCall)
	c, err := b.links.Call(callCtx, b.members.Address(o), b.newRequest(box.Request{Kind: box.KindMoveSlot, MoveSlot: &box.MoveSlotRequest{Inbound: inbound, Run: *r, Upstream: u.Name}}))
	if err != nil {
		cancelCall()
		return nil, err
	}
	release := func() {
		_ = c.Close()
		cancelCall()
	}
	if _, err := c.Next(); err != nil {
		release()
		return nil, err
	}
	stop()
	return release, nil
}

// sendProgress sends an update to the owner of its upstream.
func (b *Box) sendProgress(ctx context.Context, u *box.ProgressReport) (*box.Reply, error) {
	x := b.view.Upstream(u.Upstream)
	if x == nil {
		return &box.Reply{}, nil
	}
	o := policy.First(x.Name, b.members.Alive(x.Spec.Hall))
	if o == b.settings.Box {
		return b.owners.Update(u), nil
	}
	return b.links.CallOnce(ctx, b.members.Address(o), b.newRequest(box.Request{Kind: box.KindProgress, Progress: u}))
}
