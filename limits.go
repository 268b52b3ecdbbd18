package linetiller

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/linetiller/linetiller/internal/box"
	"github.com/linetiller/linetiller/internal/event"
	"github.com/linetiller/linetiller/internal/fail"
	"github.com/linetiller/linetiller/internal/policy"
	"github.com/linetiller/linetiller/internal/ratelimit"
)

// limitState is this box's part in keeping to the rate limits of upstreams: one box allocates the permits
// to send to each, and all boxes know which have one.
type limitState struct {
	allocator *ratelimit.Allocator
	limiter   *ratelimit.Limiter

	mutex           sync.Mutex
	announcementDue bool // changes are about to be announced
	announcedAt     time.Time
	pending         map[string]ratelimit.Limit    // not announced yet, by upstream
	unresponsive    map[string]unresponsivePeriod // of boxes that did not answer an ask
}

// unresponsivePeriod is of a box that did not answer an ask.
type unresponsivePeriod struct {
	since time.Time // it did not answer any
	until time.Time // it is passed over
}

const (
	// announceInterval is the least time between two announcements of limits: an upstream may name one
	// in every other answer. What boxes have missed they fetch after a heartbeat.
	announceInterval = 200 * time.Millisecond
	// forwardTimeout bounds an ask that is passed on to the box which should allocate the permits, and
	// permitTimeout any ask, so that the asking box hears of it in time.
	forwardTimeout = 40 * time.Millisecond
	permitTimeout  = 300 * time.Millisecond
	// preferredHallAllocators is how many boxes of an upstream's hall go before those of other halls.
	preferredHallAllocators = 2
	// maxPermitAttempts is how many boxes are asked for a permit, one after another.
	maxPermitAttempts = 3
	// notifyThreshold is the share by which a limit has to change for its allocator to hear of it before
	// the next ask.
	notifyThreshold = 0.1
	// minUnresponsivePeriod and maxUnresponsivePeriod are how long a box that did not answer an ask is passed over: as long
	// as it has been silent.
	minUnresponsivePeriod = time.Second
	maxUnresponsivePeriod = 8 * time.Second
)

// newLimitState returns a box's part in the limits of no upstream.
func newLimitState() *limitState {
	return &limitState{
		allocator: ratelimit.NewAllocator(), limiter: ratelimit.NewLimiter(ratelimit.NewLimits()),
		pending: make(map[string]ratelimit.Limit), unresponsive: make(map[string]unresponsivePeriod),
	}
}

// allocatorFor returns the box that allocates the permits of an upstream, and whether it is the one that
// should: boxes that were silent a moment ago are passed over. It is one of the upstream's data hall, so
// that a hall which is cut off goes on, and where two of them are silent one of another hall: theirs may
// be lost as a whole.
func (b *Box) allocatorFor(upstream string, now time.Time) (name string, preferred bool) {
	l := rankAllocators(upstream, b.members.Alive(b.hallOfUpstream(upstream)), b.members.Alive(""))
	s := b.limits
	s.mutex.Lock()
	defer s.mutex.Unlock()
	for i, n := range l {
		if !now.Before(s.unresponsive[n].until) {
			return n, i == 0
		}
	}
	return b.settings.Box, false // all are silent, or this box and all that it knows are leaving
}

// allocate allocates permits for a box, as the one that should or not.
func (b *Box) allocate(from string, q *ratelimit.PermitRequest, preferred bool) *ratelimit.Grant {
	now := time.Now()
	if !q.Limit.ReportedAt.IsZero() {
		b.relay.RecordLimit(q.Limit, from)
	}
	l := b.limits.limiter.Limits().Get(q.Limit.Upstream, q.Limit.StartedAt, now)
	switch {
	case l != nil:
		q.Limit = *l
	case q.ColdRate <= 0: // lifted meanwhile
		return &ratelimit.Grant{Count: 1, From: now, Until: now}
	default:
		q.Limit.ReportedAt = time.Time{}
	}
	share := 1.0
	if !preferred {
		share = ratelimit.FallbackShare
	}
	g := b.limits.allocator.Allocate(q, share, b.members.Count(), now)
	return &g
}

// announceLimit tells the other boxes that an upstream has a limit, or has none any more. Of a limit
// that has only changed, the box hears that allocates its permits.
func (b *Box) announceLimit(c *ratelimit.Change) {
	if !c.NeedsAnnouncement() {
		if d := c.After.PerSecond - c.Before.PerSecond; d > notifyThreshold*c.Before.PerSecond || -d > notifyThreshold*c.Before.PerSecond {
			b.notifyAllocator(c.After)
		}
		return
	}
	s := b.limits
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.pending[c.After.Upstream] = c.After
	if s.announcementDue {
		return
	}
	s.announcementDue = true
	wait := time.Until(s.announcedAt.Add(announceInterval))
	b.startWorker(func() {
		select {
		case <-b.serveContext.Done(): // nobody is told any more
		case <-time.After(wait):
		}
		b.broadcast("", box.Request{Kind: box.KindLimits, Limits: s.takePending()})
	})
}

// handleLimits answers a box that tells of limits, asks for a permit, or asks which limits there are.
func (b *Box) handleLimits(ctx context.Context, q *box.Request) *box.Reply {
	if q.Kind == box.KindPermit {
		return &box.Reply{Grant: b.handlePermit(ctx, q.From.Name, q.Permit)}
	}
	b.recordLimits(q.Limits, q.From.Name)
	return &box.Reply{Limits: b.limits.limiter.Limits().All(time.Now())}
}

// handlePermit allocates permits for another box, or passes its ask on to the box that does.
func (b *Box) handlePermit(ctx context.Context, from string, q *ratelimit.PermitRequest) *ratelimit.Grant {
	o, preferred := b.allocatorFor(q.Limit.Upstream, time.Now())
	switch {
	case o == b.settings.Box:
		return b.allocate(from, q, preferred)
	case q.NoForward:
		return b.allocate(from, q, false)
	}
	q.NoForward = true
	if g := b.callPermit(ctx, o, q, forwardTimeout); g != nil {
		return g
	}
	return b.allocate(from, q, false)
}

// requestPermit asks the box that allocates the permits of an upstream for some, and, where it does not
// answer, the next ones.
func (b *Box) requestPermit(ctx context.Context, q *ratelimit.PermitRequest) (*ratelimit.Grant, error) {
	for range maxPermitAttempts {
		o, preferred := b.allocatorFor(q.Limit.Upstream, time.Now())
		if o == b.settings.Box {
			return b.allocate(o, q, preferred), nil
		}
		q.NoForward = !preferred
		if g := b.callPermit(ctx, o, q, permitTimeout); g != nil {
			return g, nil
		}
		if ctx.Err() != nil {
			return nil, ctx.Err()
		}
	}
	return nil, fail.New(fail.Unavailable, fail.Origin{Peer: "boxes", Step: "ask for a permit"}, "no_allocator", "no box answered for %s", q.Limit.Upstream)
}

// callPermit asks a box for permits. It returns nil where that does not answer in time, which is then
// passed over for a while.
func (b *Box) callPermit(ctx context.Context, name string, q *ratelimit.PermitRequest, timeout time.Duration) *ratelimit.Grant {
	call, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	began := time.Now()
	r, err := b.links.CallOnce(call, b.members.Address(name), b.newRequest(box.Request{Kind: box.KindPermit, Permit: q}))
	now := time.Now()
	if err == nil && r.Grant != nil {
		b.limits.markResponsive(name)
		return r.Grant
	}
	refused := call.Err() == nil && fail.Reason(err) == box.ReasonUnreachable
	if refused && b.members.RecordFailure(name, began, now) {
		event.PeerUnreachable.Log(b.log, "box", name, "error", err.Error())
	}
	if ctx.Err() == nil || now.Sub(began) >= forwardTimeout { // or its caller has gone
		b.limits.markUnresponsive(name, now)
	}
	return nil
}

// fetchLimits asks a box which limits it knows, where its digest differs.
func (b *Box) fetchLimits(ctx context.Context, m box.Member, digest uint64) {
	if digest == b.limits.limiter.Limits().Digest(time.Now()) {
		return
	}
	r, err := b.links.CallOnce(ctx, m.Address, b.newRequest(box.Request{Kind: box.KindLimits}))
	if err != nil {
		return // the next heartbeat tries again
	}
	b.recordLimits(r.Limits, m.Name)
}

// hallOfUpstream returns the data hall of an upstream, "" where it is not listed.
func (b *Box) hallOfUpstream(name string) string {
	if u := b.view.Upstream(name); u != nil {
		return u.Spec.Hall
	}
	return ""
}

// recordLimits records what another box knows of limits.
func (b *Box) recordLimits(l []ratelimit.Limit, from string) {
	for _, x := range l {
		b.relay.RecordLimit(x, from)
	}
}

// notifyAllocator sends an upstream's new limit to the box that allocates its permits.
func (b *Box) notifyAllocator(l ratelimit.Limit) {
	o, _ := b.allocatorFor(l.Upstream, time.Now())
	if o == b.settings.Box {
		return
	}
	b.startWorker(func() {
		ctx, cancel := context.WithTimeout(b.serveContext, heartbeatTimeout)
		defer cancel()
		_, _ = b.links.CallOnce(ctx, b.members.Address(o), b.newRequest(box.Request{Kind: box.KindLimits, Limits: []ratelimit.Limit{l}})) // the next ask tells it, too
	})
}

// markResponsive records that a box answers.
func (s *limitState) markResponsive(name string) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	delete(s.unresponsive, name)
}

// markUnresponsive records that a box did not answer an ask: it is passed over for a while, and for longer
// where it does not answer then either.
func (s *limitState) markUnresponsive(name string, now time.Time) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	for n, x := range s.unresponsive {
		if now.Sub(x.until) > maxUnresponsivePeriod {
			delete(s.unresponsive, n)
		}
	}
	x := s.unresponsive[name]
	if now.Before(x.until) {
		return // another ask has found that out
	}
	if x.since.IsZero() {
		x.since = now
	}
	x.until = now.Add(min(maxUnresponsivePeriod, max(minUnresponsivePeriod, now.Sub(x.since))))
	s.unresponsive[name] = x
}

// takePending returns what is to be announced now.
func (s *limitState) takePending() []ratelimit.Limit {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	var l []ratelimit.Limit
	for n, x := range s.pending {
		l = append(l, x)
		delete(s.pending, n)
	}
	s.announcementDue, s.announcedAt = false, time.Now()
	return l
}

// rankAllocators returns the boxes that may allocate the permits of an upstream, the one that should
// first: two of its hall, those of other halls, and the rest of its hall.
func rankAllocators(upstream string, hall, all []string) []string {
	l := policy.Rank(upstream, hall)
	n := min(preferredHallAllocators, len(l))
	near, rest := l[:n], l[n:]
	far := slices.DeleteFunc(policy.Rank(upstream, all), func(x string) bool { return slices.Contains(hall, x) })
	return slices.Concat(near, far, rest)
}
