package linetiller

import (
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/linetiller/linetiller/internal/box"
	"github.com/linetiller/linetiller/internal/resource"
)

// pushes limits how often a box pushes, and knows which boxes need no push. It is safe for
// concurrent use.
type pushes struct {
	mutex        sync.Mutex
	inNeighbours map[string]inNeighbour        // by box: the boxes that have this one as their neighbour
	known        map[string]resource.Revisions // by box: the revisions that it had, by its last message
	tokens       float64                       // pushes that may follow without a delay
	tokensAt     time.Time                     // when tokens was computed
	configured   int64                         // revision of the configuration that was pushed last
}

// inNeighbour is a box that sends its regular heartbeats to this one.
type inNeighbour struct {
	at     time.Time // of the last heartbeat
	member box.Member
}

const (
	// pushBurst is how many pushes may follow each other without a delay. A burst of changes is
	// passed on at once.
	pushBurst = 8
	// pushInterval is the mean time between pushes beyond a burst. In a large fleet some upstream
	// changes all the time, and a push for each change would take more than all other work of an
	// idle box. A change passes one box in at most this time, so that it crosses the 6 hops of a
	// fleet of 1,000 boxes in 1.5 s at worst.
	pushInterval = 250 * time.Millisecond
)

func newPushes(now time.Time) *pushes {
	return &pushes{inNeighbours: make(map[string]inNeighbour), known: make(map[string]resource.Revisions), tokens: pushBurst, tokensAt: now}
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

// recordInNeighbour records a regular heartbeat of another box.
func (p *pushes) recordInNeighbour(m box.Member, now time.Time) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	p.inNeighbours[m.Name] = inNeighbour{now, m}
}

// recordKnown records the revisions that another box has.
func (p *pushes) recordKnown(name string, r resource.Revisions) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	p.known[name] = r
}

// recordPush records the revisions that are pushed.
func (p *pushes) recordPush(r resource.Revisions) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	p.configured = max(p.configured, r[resource.SourceConfiguration])
}

// take takes a token for a push and returns when the push may be sent.
func (p *pushes) take(now time.Time) time.Time {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	p.tokens = min(pushBurst, p.tokens+now.Sub(p.tokensAt).Seconds()/pushInterval.Seconds())
	p.tokensAt = now
	p.tokens = max(p.tokens, 0) - 1 // pushes that did not wait leave no debt
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

// withInNeighbours returns the boxes of a list and those whose last heartbeat came after a time. A box
// that nobody chose as a neighbour would otherwise learn of each change only by its own next
// heartbeat: one in 50, where each chooses four of many.
func (p *pushes) withInNeighbours(l []box.Member, after time.Time) []box.Member {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	maps.DeleteFunc(p.inNeighbours, func(_ string, c inNeighbour) bool { return c.at.Before(after) })
	all := slices.Clone(l)
	for n, c := range p.inNeighbours {
		if !slices.ContainsFunc(l, func(m box.Member) bool { return m.Name == n }) {
			all = append(all, c.member)
		}
	}
	return all
}
