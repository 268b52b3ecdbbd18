package linetiller

import (
	"context"
	"sync"

	"golang.org/x/sync/errgroup"

	"github.com/linetiller/linetiller/internal/box"
	"github.com/linetiller/linetiller/internal/policy"
	"github.com/linetiller/linetiller/internal/resource"
)

// maxInForceCalls limits the number of concurrent calls to boxes of the hall.
const maxInForceCalls = 64

// inForce returns the current revisions of the boxes of every hall. It requests them from each box
// of its own hall, and from one box of each other hall for that whole hall.
func (b *Box) inForce(ctx context.Context) []box.HallRevisions {
	var mutex sync.Mutex
	l := b.inForceLocal(ctx, true)
	var g errgroup.Group
	for _, h := range b.members.Halls() {
		if h == b.settings.Hall {
			continue
		}
		g.Go(func() error {
			x := b.inForceRemote(ctx, h)
			mutex.Lock()
			defer mutex.Unlock()
			l = append(l, x...)
			return nil
		})
	}
	_ = g.Wait()
	return l
}

// inForceLocal returns this box's revision and, if wholeHall is set, those of the other boxes of
// its hall.
func (b *Box) inForceLocal(ctx context.Context, wholeHall bool) []box.HallRevisions {
	h := box.HallRevisions{Hall: b.settings.Hall, Revisions: []int64{b.view.Revision()}}
	if !wholeHall {
		return []box.HallRevisions{h}
	}
	ctx, cancel := context.WithTimeout(ctx, heartbeatTimeout)
	defer cancel()
	var mutex sync.Mutex
	var g errgroup.Group
	g.SetLimit(maxInForceCalls)
	for _, m := range b.members.Members()[1:] {
		if m.Hall != b.settings.Hall || m.State == box.StateLeaving {
			continue
		}
		g.Go(func() error {
			r, err := b.links.CallOnce(ctx, m.Address, b.newRequest(box.Request{Kind: box.KindInForce}))
			mutex.Lock()
			defer mutex.Unlock()
			if err != nil {
				h.Unanswered++
				return nil
			}
			h.Revisions = append(h.Revisions, r.Revisions[resource.SourceResources])
			return nil
		})
	}
	_ = g.Wait()
	return []box.HallRevisions{h}
}

// inForceRemote requests the revisions of another hall from the boxes of that hall, one after
// another until one replies.
func (b *Box) inForceRemote(ctx context.Context, hall string) []box.HallRevisions {
	boxes := b.members.Active(hall)
	for _, n := range policy.Rank(b.settings.Box, boxes) {
		r, err := b.links.CallOnce(ctx, b.members.Address(n), b.newRequest(box.Request{WholeHall: true, Kind: box.KindInForce}))
		if err == nil {
			return r.Halls
		}
		if ctx.Err() != nil {
			break
		}
	}
	return []box.HallRevisions{{Hall: hall, Unanswered: max(1, len(boxes))}}
}
