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

// limitState is this box's part in enforcing the rate limits of upstreams. For each limited
// upstream, one box, its allocator, grants the permits to send requests to it, and all boxes know
// that it is limited.
type limitState struct {
	allocator *ratelimit.Allocator
	limiter   *ratelimit.Limiter

	mutex           sync.Mutex
	announcementDue bool                          // an announcement of pending is scheduled
	announcedAt     time.Time                     // time of the last announcement
	pending         map[string]ratelimit.Limit    // changed limits to announce, by upstream
	unresponsive    map[string]unresponsivePeriod // boxes that did not reply to a permit request, by name
}

// unresponsivePeriod is the time for which a box that did not reply to a permit request is skipped.
type unresponsivePeriod struct {
	since time.Time // of the first request without a reply
	until time.Time // when permits may be requested from the box again
}

const (
	// announceInterval is the minimum time between two announcements of limits: an upstream may
	// change its limit in every other response. Boxes that miss an announcement fetch the limits
	// after a heartbeat.
	announceInterval = 200 * time.Millisecond
	// forwardTimeout limits a permit request that is forwarded to the allocator, permitTimeout
	// one that is sent directly. The forwarding box falls back to its own allocation early enough
	// for the requesting box to get the reply.
	forwardTimeout = 40 * time.Millisecond
	permitTimeout  = 300 * time.Millisecond
	// preferredHallAllocators is how many boxes of an upstream's hall are ranked before those of
	// other halls.
	preferredHallAllocators = 2
	// maxPermitAttempts is how many boxes a permit is requested from, one after another.
	maxPermitAttempts = 3
	// notifyThreshold is the relative change of a limit from which the allocator is notified at
	// once, instead of learning of it with the next permit request.
	notifyThreshold = 0.1
	// A box that did not reply to a permit request is skipped for as long as it has been
	// unresponsive, but for at least minUnresponsivePeriod and at most maxUnresponsivePeriod.
	minUnresponsivePeriod = time.Second
	maxUnresponsivePeriod = 8 * time.Second
)

// newLimitState returns a limitState without limits.
func newLimitState() *limitState {
	return &limitState{
		allocator: ratelimit.NewAllocator(), limiter: ratelimit.NewLimiter(ratelimit.NewLimits()),
		pending: make(map[string]ratelimit.Limit), unresponsive: make(map[string]unresponsivePeriod),
	}
}

// allocate allocates permits for a box. If this box is not the preferred allocator, it grants only
// a share of the limit.
func (b *Box) allocate(from string, q *ratelimit.PermitRequest, preferred bool) *ratelimit.Grant {
	now := time.Now()
	if !q.Limit.ReportedAt.IsZero() {
		b.relay.RecordLimit(q.Limit, from)
	}
	l := b.limits.limiter.Limits().Get(q.Limit.Upstream, q.Limit.StartedAtMS, now)
	switch {
	case l != nil:
		q.Limit = *l
	case q.ColdRate <= 0: // the limit was lifted in the meantime
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

// allocatorFor returns the allocator of an upstream, and whether it is the preferred one. Boxes
// that were unresponsive recently are skipped. The first two candidates are in the upstream's data
// hall, so that a hall which is cut off still allocates permits. If both are unresponsive, the next
// is in another hall, because their hall may have failed as a whole.
func (b *Box) allocatorFor(upstream string, now time.Time) (name string, preferred bool) {
	l := rankAllocators(upstream, b.members.Active(b.hallOfUpstream(upstream)), b.members.Active(""))
	s := b.limits
	s.mutex.Lock()
	defer s.mutex.Unlock()
	for i, n := range l {
		if !now.Before(s.unresponsive[n].until) {
			return n, i == 0
		}
	}
	return b.settings.Box, false // all boxes are unresponsive
}

// announceLimit announces to all other boxes that an upstream has become limited or is no longer
// limited. If a limit has only changed its value, it notifies the allocator alone, and only of a
// change by more than notifyThreshold.
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
		case <-b.serveContext.Done(): // Serve has ended: the calls of the broadcast fail at once
		case <-time.After(wait):
		}
		b.broadcast("", box.Request{Kind: box.KindLimits, Limits: s.takePending()})
	})
}

// callPermit sends a permit request to a box. It returns nil if the box does not reply in time; the
// box is then skipped for a while.
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
	unreachable := call.Err() == nil && fail.Reason(err) == box.ReasonUnreachable
	if unreachable && b.members.RecordFailure(name, began, now) {
		event.PeerUnreachable.Log(b.log, "box", name, "error", err.Error())
	}
	if ctx.Err() == nil || now.Sub(began) >= forwardTimeout { // otherwise the caller cancelled before the box had time to reply
		b.limits.markUnresponsive(name, now)
	}
	return nil
}

// fetchLimits fetches the limits that a box knows, if the digests differ.
func (b *Box) fetchLimits(ctx context.Context, m box.Member, digest uint64) {
	if digest == b.limits.limiter.Limits().Digest(time.Now()) {
		return
	}
	r, err := b.links.CallOnce(ctx, m.Address, b.newRequest(box.Request{Kind: box.KindLimits}))
	if err != nil {
		return // retried at the next heartbeat
	}
	b.recordLimits(r.Limits, m.Name)
}

// hallOfUpstream returns the data hall of an upstream, or "" if the upstream is not listed.
func (b *Box) hallOfUpstream(name string) string {
	if u := b.view.Upstream(name); u != nil {
		return u.Spec.Hall
	}
	return ""
}

// handleLimits handles a request that announces limits, asks for permits, or asks for the known
// limits.
func (b *Box) handleLimits(ctx context.Context, q *box.Request) *box.Reply {
	if q.Kind == box.KindPermit {
		return &box.Reply{Grant: b.handlePermit(ctx, q.From.Name, q.Permit)}
	}
	b.recordLimits(q.Limits, q.From.Name)
	return &box.Reply{Limits: b.limits.limiter.Limits().All(time.Now())}
}

// handlePermit allocates permits for another box, or forwards its request to the allocator. If the
// allocator does not reply, or the request was forwarded already, this box allocates the permits as
// a fallback.
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

// notifyAllocator sends an upstream's new limit to its allocator.
func (b *Box) notifyAllocator(l ratelimit.Limit) {
	o, _ := b.allocatorFor(l.Upstream, time.Now())
	if o == b.settings.Box {
		return
	}
	b.startWorker(func() {
		ctx, cancel := context.WithTimeout(b.serveContext, heartbeatTimeout)
		defer cancel()
		_, _ = b.links.CallOnce(ctx, b.members.Address(o), b.newRequest(box.Request{Kind: box.KindLimits, Limits: []ratelimit.Limit{l}})) // not retried: the next permit request contains the limit, too
	})
}

// recordLimits records limits received from another box.
func (b *Box) recordLimits(l []ratelimit.Limit, from string) {
	for _, x := range l {
		b.relay.RecordLimit(x, from)
	}
}

// requestPermit requests permits from the allocator of an upstream and, if it does not reply, from
// the next candidates, up to maxPermitAttempts in total. It returns an error if none replies or ctx
// ends.
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
	return nil, fail.New(fail.Unavailable, fail.Origin{Peer: "boxes", Step: "ask for a permit"}, "no_allocator", "no box answered a permit request for %s", q.Limit.Upstream)
}

// markResponsive records that a box replies again.
func (s *limitState) markResponsive(name string) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	delete(s.unresponsive, name)
}

// markUnresponsive records that a box did not reply to a permit request. The box is skipped for a
// while, and for longer if it does not reply afterwards either.
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
		return // a concurrent request has recorded it
	}
	if x.since.IsZero() {
		x.since = now
	}
	x.until = now.Add(min(maxUnresponsivePeriod, max(minUnresponsivePeriod, now.Sub(x.since))))
	s.unresponsive[name] = x
}

// takePending returns the limits to announce and clears them.
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

// rankAllocators returns the boxes that may allocate the permits of an upstream in order of
// preference: preferredHallAllocators boxes of its hall, the boxes of other halls, and the rest of
// its hall.
func rankAllocators(upstream string, hall, all []string) []string {
	l := policy.Rank(upstream, hall)
	n := min(preferredHallAllocators, len(l))
	preferred, rest := l[:n], l[n:]
	otherHalls := slices.DeleteFunc(policy.Rank(upstream, all), func(x string) bool { return slices.Contains(hall, x) })
	return slices.Concat(preferred, otherHalls, rest)
}
