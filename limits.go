package linetiller

import (
	"context"
	"sync"
	"time"

	"github.com/linetiller/linetiller/internal/box"
	"github.com/linetiller/linetiller/internal/policy"
	"github.com/linetiller/linetiller/internal/ratelimit"
)

// limits is this box's part in keeping to the rate limits of upstreams: one box allocates the permits
// to send to each, and all boxes know which have one.
type limits struct {
	allocator *ratelimit.Allocator
	limiter   *ratelimit.Limiter

	mutex     sync.Mutex
	announces bool // changes are about to be announced
	announced time.Time
	pending   map[string]ratelimit.Limit // not announced yet, by upstream
	silent    map[string]time.Time       // until when boxes are passed over that did not answer an ask
}

const (
	// announceEvery is the least time between two announcements of limits: an upstream may name one
	// in every other answer. What boxes have missed they fetch after a heartbeat.
	announceEvery = 200 * time.Millisecond
	// forwardPeriod bounds an ask that is passed on to the box which allocates the permits, and
	// permitPeriod any ask, so that the asking box hears of it in time.
	forwardPeriod = 150 * time.Millisecond
	permitPeriod  = 300 * time.Millisecond
	// permitBoxes is how many boxes are asked for a permit, one after another.
	permitBoxes = 2
	// rateChange is the share by which a limit has to change for its allocator to hear of it before
	// the next ask.
	rateChange = 0.1
	// silentPeriod is how long a box that did not answer an ask is passed over.
	silentPeriod = time.Second
)

// newLimits returns a box's part in the limits of no upstream.
func newLimits() *limits {
	return &limits{
		allocator: ratelimit.NewAllocator(), limiter: ratelimit.NewLimiter(ratelimit.NewLimits()),
		pending: make(map[string]ratelimit.Limit), silent: make(map[string]time.Time),
	}
}

// allocatorOf returns the box that allocates the permits of an upstream, and whether it is the only
// one that may do so: boxes that were silent a moment ago are passed over. It is one of the upstream's
// data hall, so that a hall which is cut off goes on.
func (b *Box) allocatorOf(upstream string, now time.Time) (name string, only bool) {
	l := b.members.Alive(b.hallOfUpstream(upstream))
	if len(l) == 0 {
		l = b.members.Alive("")
	}
	if len(l) == 0 {
		return b.settings.Box, false // it is leaving, as are all that it knows
	}
	s := b.limits
	s.mutex.Lock()
	defer s.mutex.Unlock()
	for i, n := range policy.Rank(upstream, l) {
		if !now.Before(s.silent[n]) {
			return n, i == 0
		}
	}
	return b.settings.Box, false
}

// allocate allocates permits for a box, as the only one that does so or not.
func (b *Box) allocate(from string, q *ratelimit.Ask, only bool) *ratelimit.Grant {
	now := time.Now()
	if !q.Limit.At.IsZero() {
		b.relay.NoteLimit(q.Limit, from)
	}
	l := b.limits.limiter.Limits().Of(q.Limit.Upstream, q.Limit.Born, now)
	switch {
	case l != nil:
		q.Limit = *l
	case q.Cold <= 0: // lifted meanwhile
		return &ratelimit.Grant{Count: 1, From: now, Until: now}
	default:
		q.Limit.At = time.Time{}
	}
	share := 1.0
	if !only {
		share = ratelimit.DeputyShare
	}
	g := b.limits.allocator.Allocate(q, share, b.members.Count(), now)
	return &g
}

// announceLimit tells the other boxes that an upstream has a limit, or has none any more. Of a limit
// that has only changed, the box hears that allocates its permits.
func (b *Box) announceLimit(c *ratelimit.Change) {
	if !c.Announced() {
		if d := c.After.PerSecond - c.Before.PerSecond; d > rateChange*c.Before.PerSecond || -d > rateChange*c.Before.PerSecond {
			b.tellAllocator(c.After)
		}
		return
	}
	s := b.limits
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.pending[c.After.Upstream] = c.After
	if s.announces {
		return
	}
	s.announces = true
	wait := time.Until(s.announced.Add(announceEvery))
	b.workers.Go(func() {
		if wait > 0 {
			time.Sleep(wait)
		}
		b.tell("", box.Request{Kind: box.KindLimits, Limits: s.takePending()})
	})
}

// answerLimits answers a box that tells of limits, asks for a permit, or asks which limits there are.
func (b *Box) answerLimits(ctx context.Context, q *box.Request) *box.Reply {
	if q.Kind == box.KindPermit {
		return &box.Reply{Grant: b.answerPermit(ctx, q.From.Name, q.Permit)}
	}
	b.noteLimits(q.Limits, q.From.Name)
	return &box.Reply{Limits: b.limits.limiter.Limits().All(time.Now())}
}

// answerPermit allocates permits for another box, or passes its ask on to the box that does.
func (b *Box) answerPermit(ctx context.Context, from string, q *ratelimit.Ask) *ratelimit.Grant {
	o, only := b.allocatorOf(q.Limit.Upstream, time.Now())
	switch {
	case o == b.settings.Box:
		return b.allocate(from, q, only)
	case q.Forwarded:
		return b.allocate(from, q, false)
	}
	q.Forwarded = true
	if g := b.callPermit(ctx, o, q, forwardPeriod); g != nil {
		return g
	}
	return b.allocate(from, q, false)
}

// askPermit asks the box that allocates the permits of an upstream for some, and, where it does not
// answer, the next one.
func (b *Box) askPermit(ctx context.Context, q *ratelimit.Ask) (*ratelimit.Grant, error) {
	for range permitBoxes {
		o, only := b.allocatorOf(q.Limit.Upstream, time.Now())
		if o == b.settings.Box {
			return b.allocate(b.settings.Box, q, only), nil
		}
		if g := b.callPermit(ctx, o, q, permitPeriod); g != nil {
			return g, nil
		}
		if ctx.Err() != nil {
			return nil, ctx.Err()
		}
	}
	return b.allocate(b.settings.Box, q, false), nil
}

// callPermit asks a box for permits. It returns nil where that does not answer in time, which is then
// passed over for a while.
func (b *Box) callPermit(ctx context.Context, name string, q *ratelimit.Ask, limit time.Duration) *ratelimit.Grant {
	call, cancel := context.WithTimeout(ctx, limit)
	defer cancel()
	r, err := b.links.Once(call, b.members.Address(name), b.request(box.Request{Kind: box.KindPermit, Permit: q}))
	if err == nil && r.Grant != nil {
		return r.Grant
	}
	if ctx.Err() == nil {
		b.limits.passOver(name, time.Now())
	}
	return nil
}

// fetchLimits asks a box which limits it knows, where its digest differs.
func (b *Box) fetchLimits(ctx context.Context, m box.Member, digest uint64) {
	if digest == b.limits.limiter.Limits().Digest(time.Now()) {
		return
	}
	r, err := b.links.Once(ctx, m.Address, b.request(box.Request{Kind: box.KindLimits}))
	if err != nil {
		return // the next heartbeat tries again
	}
	b.noteLimits(r.Limits, m.Name)
}

// hallOfUpstream returns the data hall of an upstream, "" where it is not listed.
func (b *Box) hallOfUpstream(name string) string {
	if u := b.view.Upstream(name); u != nil {
		return u.Spec.Hall
	}
	return ""
}

// noteLimits records what another box knows of limits.
func (b *Box) noteLimits(l []ratelimit.Limit, from string) {
	for _, x := range l {
		b.relay.NoteLimit(x, from)
	}
}

// tellAllocator tells the box that allocates the permits of an upstream of its new limit.
func (b *Box) tellAllocator(l ratelimit.Limit) {
	o, _ := b.allocatorOf(l.Upstream, time.Now())
	if o == b.settings.Box {
		return
	}
	b.workers.Go(func() {
		ctx, cancel := context.WithTimeout(b.running, heartbeatPeriod)
		defer cancel()
		_, _ = b.links.Once(ctx, b.members.Address(o), b.request(box.Request{Kind: box.KindLimits, Limits: []ratelimit.Limit{l}})) // the next ask tells it, too
	})
}

// passOver records that a box did not answer an ask.
func (s *limits) passOver(name string, now time.Time) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	for n, t := range s.silent {
		if !now.Before(t) {
			delete(s.silent, n)
		}
	}
	s.silent[name] = now.Add(silentPeriod)
}

// takePending returns what is to be announced now.
func (s *limits) takePending() []ratelimit.Limit {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	var l []ratelimit.Limit
	for n, x := range s.pending {
		l = append(l, x)
		delete(s.pending, n)
	}
	s.announces, s.announced = false, time.Now()
	return l
}
