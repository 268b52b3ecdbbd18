package linetiller

import (
	"context"
	"time"

	"github.com/linetiller/linetiller/internal/box"
	"github.com/linetiller/linetiller/internal/policy"
	"github.com/linetiller/linetiller/internal/resource"
)

// placementTimeout is how long to wait for an owner's first reply.
const placementTimeout = time.Second

// acquireMoveSlot requests a slot to move a run away from an upstream, or to it if inbound is set,
// from the upstream's owner, and waits until it is granted. The caller must call the returned
// function when the move has ended. It returns an error if the owner cannot be reached or ctx ends
// first. The owner is determined from u, not from the view, because a leaving engine may no longer
// be listed there.
func (b *Box) acquireMoveSlot(ctx context.Context, u *resource.Upstream, inbound bool, r *policy.Run) (func(), error) {
	o := policy.HighestRanked(u.Name, b.members.Active(u.Spec.Hall))
	if o == b.settings.Box {
		return b.moveSlots.Acquire(ctx, u.Name, inbound, r)
	}
	// ctx limits only the wait. Once granted, the slot is held until it is released.
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

// requestPlacement sends a placement request to another box, the owner of an upstream, and passes
// each reply to onReply until the placement is decided. It returns the error of the call or of
// onReply.
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
			b.members.MarkLeaving(owner, time.Now())
		}
		if err := onReply(r); err != nil || (r.Answer != nil && r.Answer.Verdict != policy.VerdictQueue) {
			return err
		}
	}
}

// sendProgress sends a progress report to the owner of its upstream. The reply is empty if the
// upstream is not listed.
func (b *Box) sendProgress(ctx context.Context, u *box.ProgressReport) (*box.Reply, error) {
	x := b.view.Upstream(u.Upstream)
	if x == nil {
		return &box.Reply{}, nil
	}
	o := policy.HighestRanked(x.Name, b.members.Active(x.Spec.Hall))
	if o == b.settings.Box {
		return b.owners.RecordProgress(u), nil
	}
	return b.links.CallOnce(ctx, b.members.Address(o), b.newRequest(box.Request{Kind: box.KindProgress, Progress: u}))
}
