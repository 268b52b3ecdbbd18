package linetiller

import (
	"context"
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/linetiller/linetiller/internal/box"
	"github.com/linetiller/linetiller/internal/resource"
)

const (
	// pushBurst is how many pushes may follow each other without a delay. A burst of changes is
	// passed on at once.
	pushBurst = 8
	// pushInterval is the mean time between pushes beyond a burst. In a large fleet some upstream
	// changes all the time, and a push for each change would take more than all other work of an
	// idle box. A change passes one box in at most this time, so that it crosses the 6 hops of a
	// fleet of 1,000 boxes in 1.5 s at worst.
	pushInterval = 250 * time.Millisecond
	// pushWait is how long a push delays the next one. Neighbours that have not replied by then
	// are not waited for: one that lost power replies only at heartbeatTimeout.
	pushWait = 50 * time.Millisecond
	// callerHeartbeats is the number of heartbeat intervals without a heartbeat after which a box
	// no longer counts as a caller.
	callerHeartbeats = 3
)

// pushes limits how often a box pushes, and knows which boxes need no push. It is safe for
// concurrent use.
type pushes struct {
	mutex      sync.Mutex
	callers    map[string]caller             // by box: the boxes that have this one as their neighbour
	known      map[string]resource.Revisions // by box: the revisions that it had, by its last message
	tokens     float64                       // pushes that may follow without a delay
	tokensAt   time.Time                     // when tokens was computed
	configured int64                         // revision of the configuration that was pushed last
}

// caller is a box that sends its regular heartbeats to this one.
type caller struct {
	at     time.Time // of the last heartbeat
	member box.Member
}

func newPushes(now time.Time) *pushes {
	return &pushes{callers: make(map[string]caller), known: make(map[string]resource.Revisions), tokens: pushBurst, tokensAt: now}
}

// recordKnown records the revisions that another box has.
func (p *pushes) recordKnown(name string, r resource.Revisions) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	p.known[name] = r
}

// recordCaller records a regular heartbeat of another box.
func (p *pushes) recordCaller(m box.Member, now time.Time) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	p.callers[m.Name] = caller{now, m}
}

// withCallers returns the boxes of a list and those whose last heartbeat came after a time. A box
// that nobody chose as a neighbour would otherwise learn of each change only by its own next
// heartbeat: one in 50, where each chooses four of many.
func (p *pushes) withCallers(l []box.Member, after time.Time) []box.Member {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	maps.DeleteFunc(p.callers, func(_ string, c caller) bool { return c.at.Before(after) })
	all := slices.Clone(l)
	for n, c := range p.callers {
		if !slices.ContainsFunc(l, func(m box.Member) bool { return m.Name == n }) {
			all = append(all, c.member)
		}
	}
	return all
}

// lacking returns the boxes that may lack a change of the given revisions, and forgets the boxes
// that are not in the list.
func (p *pushes) lacking(l []box.Member, r resource.Revisions) []box.Member {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	known := make(map[string]resource.Revisions, len(l))
	var lacking []box.Member
	for _, m := range l {
		have, ok := p.known[m.Name]
		if ok {
			known[m.Name] = have
		}
		if !ok || have.Behind(r) {
			lacking = append(lacking, m)
		}
	}
	p.known = known
	return lacking
}

// take takes a token for a push and returns when the push may be sent.
func (p *pushes) take(now time.Time) time.Time {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	p.tokens = min(pushBurst, p.tokens+now.Sub(p.tokensAt).Seconds()/pushInterval.Seconds())
	p.tokensAt = now
	p.tokens--
	if p.tokens >= 0 {
		return now
	}
	return now.Add(time.Duration(-p.tokens * float64(pushInterval)))
}

// urgent reports whether revisions contain a configuration that was not pushed yet.
func (p *pushes) urgent(r resource.Revisions) bool {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	return r[resource.SourceConfiguration] > p.configured
}

// recordPush records the revisions that are pushed.
func (p *pushes) recordPush(r resource.Revisions) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	p.configured = max(p.configured, r[resource.SourceConfiguration])
}

// awaitPush waits until the next push may be sent. The wait ends at once if a crash becomes known,
// this box begins to leave or there is a new configuration. It reports whether the push has to go
// to all neighbours.
func (b *Box) awaitPush(ctx context.Context, leaveRequested <-chan struct{}) (all bool) {
	t := time.NewTimer(time.Until(b.pushes.take(time.Now())))
	defer t.Stop()
	for {
		c := b.view.Changed()
		if b.pushes.urgent(b.view.Revisions()) {
			return false
		}
		select {
		case <-ctx.Done():
			return false
		case <-t.C:
			return false
		case <-leaveRequested:
			return false // runPush then pushes once more, to all
		case <-b.pushRequested:
			return true
		case <-c:
		}
	}
}

// push sends heartbeats to the boxes that may lack what this box knows, or to all, among its
// neighbours and the boxes whose neighbour it is.
func (b *Box) push(ctx context.Context, all bool) {
	now, r := time.Now(), b.view.Revisions()
	l := b.pushes.withCallers(b.members.Neighbours(now), now.Add(-callerHeartbeats*b.settings.Timeouts.Heartbeat.Duration))
	b.pushes.recordPush(r)
	if lacking := b.pushes.lacking(l, r); !all {
		l = lacking
	}
	replied := make(chan struct{})
	if !b.startWorker(func() { defer close(replied); b.sendHeartbeats(ctx, l, true) }) {
		return
	}
	select {
	case <-replied:
	case <-time.After(pushWait):
	}
}

// runPush sends heartbeats to other boxes soon after the view changes, a crash becomes known or
// this box begins to leave, instead of waiting for the next interval. They then fetch what is new. The first heartbeats are sent at once, because neighbours that started at the same time
// lack what this box learned while it joined.
func (b *Box) runPush(ctx context.Context) {
	leaveRequested := b.leaveRequested
	for all := true; ctx.Err() == nil; {
		c := b.view.Changed() // before the push, which does not contain later changes
		b.push(ctx, all)
		all = false
		select {
		case <-ctx.Done():
		case <-b.pushRequested:
			all = true
		case <-c:
			all = b.awaitPush(ctx, leaveRequested)
		case <-leaveRequested:
			leaveRequested, all = nil, true
		}
	}
}
