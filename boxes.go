package linetiller

import (
	"context"
	"crypto/tls"
	"sync"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/linetiller/linetiller/internal/box"
	"github.com/linetiller/linetiller/internal/event"
	"github.com/linetiller/linetiller/internal/periodic"
	"github.com/linetiller/linetiller/internal/platform"
	"github.com/linetiller/linetiller/internal/policy"
)

type tlsConfig = tls.Config

const (
	beatEvery       = 200 * time.Millisecond
	beatLate        = time.Second           // after which a box takes itself to have been paused
	heartbeatPeriod = time.Second           // for one heartbeat to be answered
	inForceCalls    = 64                    // at once
	listEvery       = 2 * time.Second       // between reads of the platform's list, and more
	listEveryBox    = 20 * time.Millisecond // for each box known, so that all boxes together make about 50 a second
	refreshPeriod   = 500 * time.Millisecond
)

// answer answers one request of another box.
func (b *Box) answer(ctx context.Context, q *box.Request, answer func(*box.Reply) error) {
	b.heard(ctx, q)
	reply := answer
	answer = func(r *box.Reply) error {
		r.State = b.members.Self().State
		return reply(r)
	}
	switch q.Kind {
	case box.KindAsk:
		b.owners.Ask(ctx, q.Ask, answer)
	case box.KindChanges:
		c, r := b.view.Since(q.After)
		_ = answer(&box.Reply{Changes: c, Revision: r})
	case box.KindHeartbeat:
		_ = answer(&box.Reply{Revision: b.view.Revision()})
	case box.KindInForce:
		_ = answer(&box.Reply{Halls: b.inForceHere(ctx, q.Forward), Revision: b.view.Revision()})
	case box.KindMembers:
		_ = answer(&box.Reply{Members: b.members.Members(), Revision: b.view.Revision()})
	case box.KindUpdate:
		_ = answer(b.owners.Update(q.Update))
	default:
		_ = answer(&box.Reply{Error: "bad_message"})
	}
}

// callAsk makes an ask of another box and passes its replies on until the last.
func (b *Box) callAsk(ctx context.Context, owner string, a *box.Ask, answer func(*box.Reply) error) error {
	c, err := b.links.Call(ctx, b.members.Address(owner), b.request(box.Request{Ask: a, Kind: box.KindAsk}))
	if err != nil {
		return err
	}
	defer func() { _ = c.Close() }()
	for first := true; ; first = false {
		if first {
			c.ReadTill(time.Now().Add(heartbeatPeriod))
		} else {
			c.ReadTill(a.Work.Deadline)
		}
		r, err := c.Next()
		if err != nil {
			return err
		}
		if r.State == box.StateLeaving {
			b.members.Left(owner)
		}
		if err := answer(r); err != nil || (r.Answer != nil && r.Answer.Verdict != policy.VerdictQueue) {
			return err
		}
	}
}

// fresh makes sure, before something is sent, that the box was not paused a
// moment ago; if it was, its views are of before the pause and are renewed.
func (b *Box) fresh(ctx context.Context) {
	late := time.Since(b.started) - time.Duration(b.beat.Load())
	if late < beatLate {
		return
	}
	event.ClockJumped.Log(b.log, "late", late.String())
	b.members.Reconsider()
	ctx, cancel := context.WithTimeout(ctx, refreshPeriod)
	defer cancel()
	if b.follower.Refresh(ctx) != nil {
		b.heartbeats(ctx)
	}
	b.beat.Store(int64(time.Since(b.started)))
}

// heard takes in that another box lives, and catches up where it is ahead.
func (b *Box) heard(ctx context.Context, q *box.Request) {
	if b.members.Heard(q.From, time.Now()) {
		event.PeerBack.Log(b.log, "box", q.From.Name)
	}
	if q.Revision > b.view.Revision() {
		_ = b.follower.CatchUp(ctx, q.From.Address, q.Revision)
	}
}

// heartbeat tells one box that this one lives.
func (b *Box) heartbeat(ctx context.Context, m box.Member) {
	ctx, cancel := context.WithTimeout(ctx, heartbeatPeriod)
	defer cancel()
	r, err := b.links.Once(ctx, m.Address, b.request(box.Request{Kind: box.KindHeartbeat}))
	if err != nil {
		if b.members.Failed(m.Name, time.Now()) {
			event.PeerLost.Log(b.log, "box", m.Name, "error", err.Error())
		}
		return
	}
	m.State = r.State
	if b.members.Heard(m, time.Now()) {
		event.PeerBack.Log(b.log, "box", m.Name)
	}
	if r.Revision > b.view.Revision() {
		_ = b.follower.CatchUp(ctx, m.Address, r.Revision)
	}
}

// heartbeats sends a heartbeat to each neighbour and waits for the answers.
func (b *Box) heartbeats(ctx context.Context) {
	var g sync.WaitGroup
	for _, m := range b.members.Neighbours(time.Now()) {
		g.Go(func() { b.heartbeat(ctx, m) })
	}
	g.Wait()
}

// inForce tells which revisions the boxes of every hall have in force: its own
// hall's boxes are asked one by one, of each other hall one box is asked for all.
func (b *Box) inForce(ctx context.Context) []box.HallRevisions {
	var mutex sync.Mutex
	l := b.inForceHere(ctx, true)
	var g errgroup.Group
	for _, h := range b.members.Halls() {
		if h == b.settings.Hall {
			continue
		}
		g.Go(func() error {
			x := b.inForceHall(ctx, h)
			mutex.Lock()
			defer mutex.Unlock()
			l = append(l, x...)
			return nil
		})
	}
	_ = g.Wait()
	return l
}

// inForceHall asks a box of another hall for that hall's revisions.
func (b *Box) inForceHall(ctx context.Context, hall string) []box.HallRevisions {
	boxes := b.members.Alive(hall)
	for _, n := range policy.Rank(b.settings.Box, boxes) {
		r, err := b.links.Once(ctx, b.members.Address(n), b.request(box.Request{Forward: true, Kind: box.KindInForce}))
		if err == nil {
			return r.Halls
		}
		if ctx.Err() != nil {
			break
		}
	}
	return []box.HallRevisions{{Hall: hall, Silent: max(1, len(boxes))}}
}

// inForceHere returns this box's revision, and where all is set those of the
// other boxes of its hall.
func (b *Box) inForceHere(ctx context.Context, all bool) []box.HallRevisions {
	h := box.HallRevisions{Hall: b.settings.Hall, Revisions: []int64{b.view.Revision()}}
	if !all {
		return []box.HallRevisions{h}
	}
	ctx, cancel := context.WithTimeout(ctx, heartbeatPeriod)
	defer cancel()
	var mutex sync.Mutex
	var g errgroup.Group
	g.SetLimit(inForceCalls)
	for _, m := range b.members.Members()[1:] {
		if m.Hall != b.settings.Hall || m.State == box.StateLeaving {
			continue
		}
		g.Go(func() error {
			r, err := b.links.Once(ctx, m.Address, b.request(box.Request{Kind: box.KindInForce}))
			mutex.Lock()
			defer mutex.Unlock()
			if err != nil {
				h.Silent++
				return nil
			}
			h.Revisions = append(h.Revisions, r.Revision)
			return nil
		})
	}
	_ = g.Wait()
	return []box.HallRevisions{h}
}

// join learns of the other boxes and takes in the highest configuration that
// they or the table hold, before the first request.
func (b *Box) join(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, 2*heartbeatPeriod)
	defer cancel()
	b.readList(ctx)
	for _, a := range b.settings.Peers {
		r, err := b.links.Once(ctx, a, b.request(box.Request{Kind: box.KindMembers}))
		if err != nil {
			continue
		}
		for _, m := range r.Members {
			b.members.Heard(m, time.Now())
		}
		_ = b.follower.CatchUp(ctx, a, r.Revision)
	}
	_ = b.follower.Refresh(ctx)
	b.heartbeats(ctx)
	b.beat.Store(int64(time.Since(b.started)))
}

func (b *Box) readList(ctx context.Context) {
	l, err := b.platform.Boxes(ctx)
	if err != nil {
		return
	}
	var m []box.Member
	for _, x := range l {
		s := box.StateServing
		if x.State == platform.BoxLeaving {
			s = box.StateLeaving
		}
		m = append(m, box.Member{Address: x.Address, Hall: x.Hall, Name: x.Name, State: s})
	}
	b.members.List(m, time.Now())
}

// request fills in what every request carries.
func (b *Box) request(q box.Request) *box.Request {
	q.From = b.members.Self()
	q.Revision = b.view.Revision()
	return &q
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

func (b *Box) runList(ctx context.Context) {
	for {
		wait := max(listEvery, time.Duration(len(b.members.Members()))*listEveryBox)
		select {
		case <-ctx.Done():
			return
		case <-time.After(wait):
			b.readList(ctx)
		}
	}
}

// runPush passes a new configuration, or that this box leaves, on at once, by a
// heartbeat to each neighbour, who then asks for what is new.
func (b *Box) runPush(ctx context.Context) {
	left := b.left
	for {
		c := b.view.Changed()
		select {
		case <-ctx.Done():
			return
		case <-c:
		case <-left:
			left = nil
		}
		b.heartbeats(ctx)
	}
}

// sendUpdate sends an update to the owner of its upstream.
func (b *Box) sendUpdate(ctx context.Context, u *box.Update) (*box.Reply, error) {
	x := b.view.Upstream(u.Upstream)
	if x == nil {
		return &box.Reply{}, nil
	}
	o := policy.First(x.Name, b.members.Alive(x.Spec.Hall))
	if o == b.settings.Box {
		return b.owners.Update(u), nil
	}
	return b.links.Once(ctx, b.members.Address(o), b.request(box.Request{Kind: box.KindUpdate, Update: u}))
}
